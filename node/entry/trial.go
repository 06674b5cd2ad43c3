package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// trial is the retry state of one request.
type trial struct {
	d         *Dispatcher
	ctx       context.Context
	request   *plane.Request
	answer    Answer
	holdUntil time.Time
	started   bool
	// last is the owner to which the request was last sent; empty if none was known. tried are the
	// nodes of a shared service that have been chosen.
	last  string
	tried []string
}

// once sends the request once and returns the result and the name of the chosen node.
func (t *trial) once(route plane.Route) (plane.Result, string) {
	t.request.Attempt++
	if route.Range.Kind == keyspace.Shared {
		return t.shared(route)
	}
	owner, reason := t.firstNode(route)
	if owner.Name == "" {
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, ""
	}
	t.d.log.write(t.ctx, routed, t.request, owner.Name, reason)
	result := t.send(owner, route)
	if len(route.Contacts) > 0 && misplaced(result) {
		t.d.router.Learn(route.Slice, plane.Peer{})
	}
	return result, owner.Name
}

// firstNode returns the node to which a request of a keyed range is sent first, and the reason
// for the choice.
func (t *trial) firstNode(route plane.Route) (plane.Peer, string) {
	self := t.d.router.Self()
	switch {
	case route.Owner.Name == "" && len(route.Contacts) > 0:
		return route.Contacts[int(t.request.Attempt)%len(route.Contacts)], reasonContact
	case route.Owner.Name == self.Name:
		return route.Owner, reasonOwnSlice
	default:
		return route.Owner, reasonKnownOwner
	}
}

func (t *trial) shared(route plane.Route) (plane.Result, string) {
	peer, done, ok := t.d.chooser.Choose(route.Candidates, t.tried)
	if !ok {
		t.tried = nil
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetAbsent}, ""
	}
	t.tried = append(t.tried, peer.Name)
	t.d.log.write(t.ctx, routed, t.request, peer.Name, reasonBalance)
	result := t.send(peer, route)
	done(result)
	return result, peer.Name
}

// send sends the request to the peer and follows at most one redirect.
func (t *trial) send(to plane.Peer, route plane.Route) plane.Result {
	self := t.d.router.Self()
	if to.Name == self.Name && to.Incarnation == self.Incarnation {
		return t.serveLocally(self)
	}
	reply := t.forward(to, 0)
	if reply.Redirect == nil {
		return reply.Result
	}
	next := *reply.Redirect
	t.d.log.write(t.ctx, redirected, t.request, next.Name, to.Name+" does not own the slice")
	t.d.router.Learn(route.Slice, next)
	if next.Name == self.Name && next.Incarnation == self.Incarnation {
		return t.serveLocally(self)
	}
	return t.forward(next, 1).Result
}

func (t *trial) serveLocally(self plane.Peer) plane.Result {
	t.request.CrossRegion = false
	t.answer.ServedBy(self)
	sink := &watchedSink{sink: t.answer}
	result := t.d.local.Serve(t.ctx, t.request, sink)
	t.started = sink.started
	return result
}

func (t *trial) forward(to plane.Peer, hops uint32) forward.Reply {
	t.request.CrossRegion = to.Region != "" && to.Region != t.d.router.Self().Region
	t.answer.ServedBy(to)
	reply := t.d.remote.Forward(t.ctx, to, hops, t.request, t.answer)
	t.started = reply.Started
	return reply
}

// again reports whether the request is to be sent once more. It returns after the required delay.
func (t *trial) again(result plane.Result, owner string, changed <-chan struct{}) bool {
	if t.started || result.Outcome == outcome.Answered || t.ctx.Err() != nil {
		return false
	}
	if result.Outcome != outcome.NotRun {
		return false
	}
	if !misplaced(result) {
		return t.anotherReplica(result)
	}
	if t.request.Range.Kind == keyspace.Shared && owner != "" {
		return t.d.budget.Spend()
	}
	return t.hold(owner, result, changed)
}

// anotherReplica reports whether a request of a shared service that one target refused may be sent
// to the next one. It takes the retry from the budget.
func (t *trial) anotherReplica(result plane.Result) bool {
	switch result.Reason {
	case outcome.ReasonTargetRefused, outcome.ReasonTargetShed, outcome.ReasonShed, outcome.ReasonKeyShare:
		return t.request.Range.Kind == keyspace.Shared && t.d.budget.Spend()
	default:
		return false
	}
}

// hold waits for a change of routes and reports whether to send the request again. Sending to a
// different owner than last time is not charged to the retry budget because owners change rarely;
// sending to the same owner is.
func (t *trial) hold(owner string, result plane.Result, changed <-chan struct{}) bool {
	now := time.Now()
	if !now.Before(t.holdUntil) || !now.Before(t.request.Deadline) {
		return false
	}
	if t.d.held.Add(1) > t.d.config.HoldLimit {
		t.d.held.Add(-1)
		return false
	}
	defer t.d.held.Add(-1)
	t.d.log.write(t.ctx, held, t.request, owner, string(result.Reason))
	sameOwner := owner != "" && owner == t.last
	t.last = owner
	if sameOwner && !t.d.budget.Spend() {
		return t.wait(changed, t.holdUntil)
	}
	return t.wait(changed, now.Add(t.d.config.RetryPause))
}

// wait waits for a change of routes, at most until the given time. It returns false if the caller
// has disconnected or the deadline has passed.
func (t *trial) wait(changed <-chan struct{}, until time.Time) bool {
	if t.request.Deadline.Before(until) {
		until = t.request.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return t.spread()
	case <-timer.C:
		return time.Now().Before(t.request.Deadline)
	case <-t.ctx.Done():
		return false
	}
}

// spread delays a held request by a random time after a change of routes. The requests released by
// the same change are thus spread over a window that grows with their number, so that they do not
// fill the new owner's queue at once.
func (t *trial) spread() bool {
	window := min(time.Duration(t.d.held.Load())*t.d.config.ReleasePace, t.d.config.ReleaseMax)
	if window <= 0 {
		return true
	}
	timer := time.NewTimer(rand.N(window))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(t.request.Deadline)
	case <-t.ctx.Done():
		return false
	}
}

// misplaced reports whether the request did not run and may succeed at another owner, or at the
// same one later.
func misplaced(result plane.Result) bool {
	end := outcome.End{Outcome: result.Outcome, Reason: result.Reason}
	return end.Retryable() || result.Reason == outcome.ReasonHops
}

// watchedSink is a plane.Sink that records whether the answer has started.
type watchedSink struct {
	sink    plane.Sink
	started bool
}

// Head implements plane.Sink.
func (w *watchedSink) Head(head plane.Head) error {
	w.started = true
	return w.sink.Head(head)
}

// Write implements plane.Sink.
func (w *watchedSink) Write(chunk []byte) error { return w.sink.Write(chunk) }
