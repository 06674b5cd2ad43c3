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

// attemptState is the retry state of one request.
type attemptState struct {
	d         *Dispatcher
	ctx       context.Context
	request   *plane.Request
	answer    Answer
	holdUntil time.Time
	started   bool
	// lastOwner is the owner to which the request was last sent; empty if none was known. tried are
	// the nodes of a shared service that have been chosen.
	lastOwner string
	tried     []string
}

// sendOnce sends the request once and returns the result and the name of the chosen node.
func (a *attemptState) sendOnce(route plane.Route) (plane.Result, string) {
	a.request.Attempt++
	if route.Range.Kind == keyspace.Shared {
		return a.sendShared(route)
	}
	owner, reason := a.firstNode(route)
	if owner.Name == "" {
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, ""
	}
	a.d.decisions.write(a.ctx, routed, a.request, owner.Name, reason)
	result := a.send(owner, route)
	if len(route.Contacts) > 0 && mayRunElsewhere(result) {
		a.d.router.CacheOwner(route.Slice, plane.Peer{})
	}
	return result, owner.Name
}

// firstNode returns the node to which a request of a keyed range is sent first, and the reason
// for the choice.
func (a *attemptState) firstNode(route plane.Route) (plane.Peer, string) {
	self := a.d.router.Self()
	switch {
	case route.Owner.Name == "" && len(route.Contacts) > 0:
		return route.Contacts[int(a.request.Attempt)%len(route.Contacts)], reasonContact
	case route.Owner.Name == self.Name:
		return route.Owner, reasonOwnSlice
	default:
		return route.Owner, reasonKnownOwner
	}
}

func (a *attemptState) sendShared(route plane.Route) (plane.Result, string) {
	peer, done, ok := a.d.chooser.Choose(route.Candidates, a.tried)
	if !ok {
		a.tried = nil
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetAbsent}, ""
	}
	a.tried = append(a.tried, peer.Name)
	a.d.decisions.write(a.ctx, routed, a.request, peer.Name, reasonBalance)
	result := a.send(peer, route)
	done(result)
	return result, peer.Name
}

// send sends the request to the peer and follows at most one redirect.
func (a *attemptState) send(to plane.Peer, route plane.Route) plane.Result {
	self := a.d.router.Self()
	if to.Name == self.Name && to.Incarnation == self.Incarnation {
		return a.serveLocally(self)
	}
	reply := a.forward(to, 0)
	if reply.Redirect == nil {
		return reply.Result
	}
	next := *reply.Redirect
	a.d.decisions.write(a.ctx, redirected, a.request, next.Name, to.Name+" does not own the slice")
	a.d.router.CacheOwner(route.Slice, next)
	if next.Name == self.Name && next.Incarnation == self.Incarnation {
		return a.serveLocally(self)
	}
	return a.forward(next, 1).Result
}

func (a *attemptState) serveLocally(self plane.Peer) plane.Result {
	a.request.CrossRegion = false
	a.answer.ServedBy(self)
	sink := &startTrackingSink{sink: a.answer}
	result := a.d.local.Serve(a.ctx, a.request, sink)
	a.started = sink.started
	return result
}

func (a *attemptState) forward(to plane.Peer, hops uint32) forward.Reply {
	a.request.CrossRegion = to.Region != "" && to.Region != a.d.router.Self().Region
	a.answer.ServedBy(to)
	reply := a.d.remote.Forward(a.ctx, to, hops, a.request, a.answer)
	a.started = reply.Started
	return reply
}

// shouldRetry reports whether the request is to be sent once more. It returns after the required
// delay.
func (a *attemptState) shouldRetry(result plane.Result, owner string, changed <-chan struct{}) bool {
	if a.started || result.Outcome == outcome.Answered || a.ctx.Err() != nil {
		return false
	}
	if result.Outcome != outcome.NotRun {
		return false
	}
	if !mayRunElsewhere(result) {
		return a.mayTryNextReplica(result)
	}
	if a.request.Range.Kind == keyspace.Shared && owner != "" {
		return a.d.budget.Spend()
	}
	return a.hold(owner, result, changed)
}

// mayTryNextReplica reports whether a request of a shared service that one target refused may be
// sent to the next one. It takes the retry from the budget.
func (a *attemptState) mayTryNextReplica(result plane.Result) bool {
	switch result.Reason {
	case outcome.ReasonTargetRefused, outcome.ReasonTargetShed, outcome.ReasonShed, outcome.ReasonKeyShare:
		return a.request.Range.Kind == keyspace.Shared && a.d.budget.Spend()
	default:
		return false
	}
}

// hold waits for a change of routes and reports whether to send the request again. Sending to a
// different owner than last time is not charged to the retry budget because owners change rarely;
// sending to the same owner is.
func (a *attemptState) hold(owner string, result plane.Result, changed <-chan struct{}) bool {
	now := time.Now()
	if !now.Before(a.holdUntil) || !now.Before(a.request.Deadline) {
		return false
	}
	if a.d.held.Add(1) > a.d.config.HoldLimit {
		a.d.held.Add(-1)
		return false
	}
	defer a.d.held.Add(-1)
	a.d.decisions.write(a.ctx, held, a.request, owner, string(result.Reason))
	sameOwner := owner != "" && owner == a.lastOwner
	a.lastOwner = owner
	if sameOwner && !a.d.budget.Spend() {
		return a.wait(changed, a.holdUntil)
	}
	return a.wait(changed, now.Add(a.d.config.RetryPause))
}

// wait waits for a change of routes, at most until the given time. It returns false if the caller
// has disconnected or the deadline has passed.
func (a *attemptState) wait(changed <-chan struct{}, until time.Time) bool {
	if a.request.Deadline.Before(until) {
		until = a.request.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return a.delayRelease()
	case <-timer.C:
		return time.Now().Before(a.request.Deadline)
	case <-a.ctx.Done():
		return false
	}
}

// delayRelease delays a held request by a random time after a change of routes. The requests
// released by the same change are thus spread over a window that grows with their number, so that
// they do not fill the new owner's queue at once.
func (a *attemptState) delayRelease() bool {
	window := min(time.Duration(a.d.held.Load())*a.d.config.ReleasePace, a.d.config.ReleaseMax)
	if window <= 0 {
		return true
	}
	timer := time.NewTimer(rand.N(window))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(a.request.Deadline)
	case <-a.ctx.Done():
		return false
	}
}

// mayRunElsewhere reports whether the request did not run and may succeed at another owner, or at
// the same one later.
func mayRunElsewhere(result plane.Result) bool {
	end := outcome.End{Outcome: result.Outcome, Reason: result.Reason}
	return end.Retryable() || result.Reason == outcome.ReasonHops
}

// startTrackingSink is a plane.Sink that records whether the answer has started.
type startTrackingSink struct {
	sink    plane.Sink
	started bool
}

// Head implements plane.Sink.
func (s *startTrackingSink) Head(head plane.Head) error {
	s.started = true
	return s.sink.Head(head)
}

// Write implements plane.Sink.
func (s *startTrackingSink) Write(chunk []byte) error { return s.sink.Write(chunk) }
