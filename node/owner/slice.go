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
	// active counts the requests that were admitted to the slice and have not ended.
	active int
	// unresolved counts the unresolved calls, which may still run on the target.
	unresolved int
	// running holds a channel for each running request ID; it is closed when that request ends.
	running map[ulid.ULID]chan struct{}
	// previous is the slice's state under an earlier lease on this node whose requests may still
	// be running.
	previous *slice
	// onDrained is called with the encoded window once no request can be running any more; nil
	// unless the slice is being drained.
	onDrained func(window []byte)
}

func newSlice(lease plane.Lease, window *outcome.Window) *slice {
	s := &slice{
		lease:   lease,
		window:  window,
		grant:   newGrantState(),
		closed:  make(chan struct{}),
		running: map[ulid.ULID]chan struct{}{},
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

// continuedBy reports whether a lease under a higher fence directly continues the held one.
// Otherwise another owner may have served the slice in between, and this node's window of
// request IDs would be incomplete.
func (s *slice) continuedBy(now time.Duration, next plane.Lease) bool {
	sameOwner := next.Window == nil && next.FirstAt.Equal(s.lease.FirstAt)
	return sameOwner && s.remaining(now) > 0
}

// isIdle reports whether no request of the slice can be running, under this lease or an
// earlier one.
func (s *slice) isIdle() bool {
	return s.active == 0 && s.unresolved == 0 && (s.previous == nil || s.previous.isIdle())
}

// grantState tracks whether the target has answered the grant under the slice's current fence.
type grantState struct {
	// answered is closed once the target has acknowledged or refused the grant.
	answered chan struct{}
	refused  bool
}

func newGrantState() grantState { return grantState{answered: make(chan struct{})} }

// reset marks the grant as not yet answered, because it must be sent to the target again.
func (g *grantState) reset() {
	select {
	case <-g.answered:
		*g = newGrantState()
	default:
		g.refused = false
	}
}

// setAnswered records the target's answer to the grant and wakes the requests that wait for it.
func (g *grantState) setAnswered(refused bool) {
	g.refused = refused
	select {
	case <-g.answered:
	default:
		close(g.answered)
	}
}
