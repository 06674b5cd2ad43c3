// Package shutdown decides which requests a process may still take while it shuts down, so that they end before it does.
//
// It reads no clock: times are passed in.
package shutdown

import "time"

// Period is the time in which a process shuts down: from the request to stop until the process ends, at which requests
// that are still at work are cut. The zero Period is that of a process that does not shut down.
type Period struct{ Began, End time.Time }

// MaySend reports whether a request of any node may be sent to the local target. Other nodes and their callers cannot know
// how long this process stays, so the request must end before it however long the target works: by its deadline.
//
// A request with more time left than the whole period lasts would be refused from the first moment on, whatever it needs.
// It may be sent in the first half.
func (p Period) MaySend(now, deadline time.Time) bool {
	if p.Began.IsZero() || !deadline.After(p.End) {
		return true
	}
	return deadline.Sub(now) > p.length() && p.isFirstHalf(now)
}

// MayAccept reports whether a request of a caller of this node may be sent on, to whichever node. These callers see that
// the node is not ready and leave it early in the period, so in the first half all their requests are served; later, only
// those that end before the process by their deadline.
func (p Period) MayAccept(now, deadline time.Time) bool {
	return p.Began.IsZero() || !deadline.After(p.End) || p.isFirstHalf(now)
}

func (p Period) isFirstHalf(now time.Time) bool { return p.End.Sub(now) >= p.length()/2 }

func (p Period) length() time.Duration { return p.End.Sub(p.Began) }
