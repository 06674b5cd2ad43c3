package owner

import (
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// slice is one held slice. Owner.mu guards it, except for until.
type slice struct {
	lease  plane.Lease
	window *outcome.Window
	meter  balance.Meter
	grant  grantState
	// until is when the lease lapses, on the boot-time clock in nanoseconds; zero once the
	// slice is given up. It is read without the lock just before a request is sent.
	until atomic.Int64
	// closed is closed when nothing more is admitted; closeReason is set before.
	closed      chan struct{}
	closeReason outcome.Reason
	// busy counts the requests between their admission to the slice and their end.
	busy int
	// pending counts calls that ended in doubt and may still run on the target.
	pending int
	// ends holds a channel for each running id, closed at its end.
	ends map[ulid.ULID]chan struct{}
	// former is an earlier lease of the slice on this node whose requests may still run.
	former *slice
	// drained is called with the encoded window once nothing runs any more; nil if no one
	// waits for it.
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

// isClosed reports whether the slice admits nothing more.
func (s *slice) isClosed() bool { return s.closeReason != "" }

// close stops admission for the reason.
func (s *slice) close(reason outcome.Reason) {
	if s.isClosed() {
		return
	}
	s.closeReason = reason
	close(s.closed)
}

// remaining returns the time left of the lease; the lock is not needed.
func (s *slice) remaining(now time.Duration) time.Duration {
	return time.Duration(s.until.Load()) - now
}

// continues reports whether a lease under a higher fence goes on where the held one stands.
// Otherwise another owner may have served in between, and what this one remembers is not
// enough.
func (s *slice) continues(now time.Duration, next plane.Lease) bool {
	sameOwner := next.Window == nil && next.FirstAt.Equal(s.lease.FirstAt)
	return sameOwner && s.remaining(now) > 0
}

// quiet reports whether nothing of the slice is running or may be, under this lease or an
// earlier one.
func (s *slice) quiet() bool {
	return s.busy == 0 && s.pending == 0 && (s.former == nil || s.former.quiet())
}

// grantState tells whether the target knows of the slice's current fence.
type grantState struct {
	// known is closed once the target has acknowledged or refused the grant.
	known   chan struct{}
	refused bool
}

func newGrantState() grantState { return grantState{known: make(chan struct{})} }

// reset begins anew: the target must be told again.
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
