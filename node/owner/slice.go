package owner

import (
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// slice is the state of a slice whose lease this node holds or has held. Owner.mu guards it,
// except for until.
type slice struct {
	lease  plane.Lease
	window *outcome.Window
	meter  balance.Meter
	grant  grantState
	// until is the lease's expiry on the boot-time clock, in nanoseconds; zero once the slice
	// is given up. It is read without the lock just before a request is sent.
	until atomic.Int64
	// closed is closed when the slice stops admitting requests; closeReason is set before that.
	closed      chan struct{}
	closeReason outcome.Reason
	// busy counts the requests that were admitted to the slice and have not ended.
	busy int
	// pending counts the unresolved calls, which may still run on the target.
	pending int
	// ends holds a channel for each running request ID; it is closed when that request ends.
	ends map[ulid.ULID]chan struct{}
	// former is the slice's state under an earlier lease on this node whose requests may still
	// be running.
	former *slice
	// drained is called with the encoded window once no request can be running any more; nil
	// unless the slice is being drained.
	drained func(window []byte)
}

func newSlice(lease plane.Lease, window *outcome.Window) *slice {
	s := &slice{
		lease:  lease,
		window: window,
		grant:  newGrantState(),
		closed: make(chan struct{}),
		ends:   map[ulid.ULID]chan struct{}{},
	}
	s.until.Store(int64(lease.Until))
	return s
}

// isClosed reports whether the slice has stopped admitting requests.
func (s *slice) isClosed() bool { return s.closeReason != "" }

// close stops admission. The reason of the first call is kept.
func (s *slice) close(reason outcome.Reason) {
	if s.isClosed() {
		return
	}
	s.closeReason = reason
	close(s.closed)
}

// remaining returns the time left on the lease. It does not need the lock.
func (s *slice) remaining(now time.Duration) time.Duration {
	return time.Duration(s.until.Load()) - now
}

// continues reports whether a lease under a higher fence directly continues the held one.
// Otherwise another owner may have served the slice in between, and this node's window of
// request IDs would be incomplete.
func (s *slice) continues(now time.Duration, next plane.Lease) bool {
	sameOwner := next.Window == nil && next.FirstAt.Equal(s.lease.FirstAt)
	return sameOwner && s.remaining(now) > 0
}

// quiet reports whether no request of the slice can be running, under this lease or an
// earlier one.
func (s *slice) quiet() bool {
	return s.busy == 0 && s.pending == 0 && (s.former == nil || s.former.quiet())
}

// grantState tracks whether the target has answered the grant under the slice's current fence.
type grantState struct {
	// known is closed once the target has acknowledged or refused the grant.
	known   chan struct{}
	refused bool
}

func newGrantState() grantState { return grantState{known: make(chan struct{})} }

// reset marks the grant as not yet answered, because it must be sent to the target again.
func (g *grantState) reset() {
	select {
	case <-g.known:
		*g = newGrantState()
	default:
		g.refused = false
	}
}

func (g *grantState) settle(refused bool) {
	g.refused = refused
	select {
	case <-g.known:
	default:
		close(g.known)
	}
}
