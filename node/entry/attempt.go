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

// dispatchState is the retry state of one request.
type dispatchState struct {
	d         *Dispatcher
	ctx       context.Context
	request   *plane.Request
	answer    AnswerSink
	holdUntil time.Time
	started   bool
	// lastOwner is the owner to which the request was last sent; empty if none was known. tried are
	// the nodes of a shared service that have been chosen.
	lastOwner string
	tried     []string
}

// sendOnce sends the request once and returns the result and the name of the chosen node.
func (s *dispatchState) sendOnce(route plane.Route) (plane.Result, string) {
	s.request.Attempt++
	if route.Range.Kind == keyspace.Shared {
		return s.sendShared(route)
	}
	owner, reason := s.firstNode(route)
	if owner.Name == "" {
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, ""
	}
	s.d.decisions.write(s.ctx, routed, s.request, owner.Name, reason)
	result := s.send(owner, route)
	if len(route.Contacts) > 0 && mayRunElsewhere(result) {
		s.d.router.CacheOwner(route.Slice, plane.Peer{})
	}
	return result, owner.Name
}

// firstNode returns the node to which a request of a keyed range is sent first, and the reason
// for the choice.
func (s *dispatchState) firstNode(route plane.Route) (plane.Peer, string) {
	self := s.d.router.Self()
	switch {
	case route.Owner.Name == "" && len(route.Contacts) > 0:
		return route.Contacts[int(s.request.Attempt)%len(route.Contacts)], reasonContact
	case route.Owner.Name == self.Name:
		return route.Owner, reasonOwnSlice
	default:
		return route.Owner, reasonKnownOwner
	}
}

func (s *dispatchState) sendShared(route plane.Route) (plane.Result, string) {
	peer, done, ok := s.d.chooser.Choose(route.Candidates, s.tried)
	if !ok {
		s.tried = nil
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetAbsent}, ""
	}
	s.tried = append(s.tried, peer.Name)
	s.d.decisions.write(s.ctx, routed, s.request, peer.Name, reasonBalance)
	result := s.send(peer, route)
	done(result)
	return result, peer.Name
}

// send sends the request to the peer and follows at most one redirect.
func (s *dispatchState) send(to plane.Peer, route plane.Route) plane.Result {
	self := s.d.router.Self()
	if to.Name == self.Name && to.Incarnation == self.Incarnation {
		return s.serveLocally(self)
	}
	reply := s.forward(to, 0)
	if reply.Redirect == nil {
		return reply.Result
	}
	next := *reply.Redirect
	s.d.decisions.write(s.ctx, redirected, s.request, next.Name, to.Name+" does not own the slice")
	s.d.router.CacheOwner(route.Slice, next)
	if next.Name == self.Name && next.Incarnation == self.Incarnation {
		return s.serveLocally(self)
	}
	return s.forward(next, 1).Result
}

func (s *dispatchState) serveLocally(self plane.Peer) plane.Result {
	s.request.CrossRegion = false
	s.answer.ServedBy(self)
	sink := &startTrackingSink{sink: s.answer}
	result := s.d.local.Serve(s.ctx, s.request, sink)
	s.started = sink.started
	return result
}

func (s *dispatchState) forward(to plane.Peer, hops uint32) forward.Reply {
	s.request.CrossRegion = to.Region != "" && to.Region != s.d.router.Self().Region
	s.answer.ServedBy(to)
	reply := s.d.remote.Forward(s.ctx, to, hops, s.request, s.answer)
	s.started = reply.Started
	return reply
}

// shouldRetry reports whether the request is to be sent once more. It returns after the required
// delay.
func (s *dispatchState) shouldRetry(result plane.Result, owner string, changed <-chan struct{}) bool {
	if s.started || result.Outcome == outcome.Answered || s.ctx.Err() != nil {
		return false
	}
	if result.Outcome != outcome.NotRun {
		return false
	}
	if !mayRunElsewhere(result) {
		return s.mayTryNextReplica(result)
	}
	if s.request.Range.Kind == keyspace.Shared && owner != "" {
		return s.d.budget.Spend()
	}
	return s.hold(owner, result, changed)
}

// mayTryNextReplica reports whether a request of a shared service that one target refused may be
// sent to the next one. It takes the retry from the budget.
func (s *dispatchState) mayTryNextReplica(result plane.Result) bool {
	switch result.Reason {
	case outcome.ReasonTargetRefused, outcome.ReasonTargetShed, outcome.ReasonShed, outcome.ReasonKeyShare:
		return s.request.Range.Kind == keyspace.Shared && s.d.budget.Spend()
	default:
		return false
	}
}

// hold waits for a change of routes and reports whether to send the request again. Sending to a
// different owner than last time is not charged to the retry budget because owners change rarely;
// sending to the same owner is.
func (s *dispatchState) hold(owner string, result plane.Result, changed <-chan struct{}) bool {
	now := time.Now()
	if !now.Before(s.holdUntil) || !now.Before(s.request.Deadline) {
		return false
	}
	if s.d.held.Add(1) > s.d.config.HoldLimit {
		s.d.held.Add(-1)
		return false
	}
	defer s.d.held.Add(-1)
	s.d.decisions.write(s.ctx, held, s.request, owner, string(result.Reason))
	sameOwner := owner != "" && owner == s.lastOwner
	s.lastOwner = owner
	if sameOwner && !s.d.budget.Spend() {
		return s.wait(changed, s.holdUntil)
	}
	return s.wait(changed, now.Add(s.d.config.RetryPause))
}

// wait waits for a change of routes, at most until the given time. It returns false if the caller
// has disconnected or the deadline has passed.
func (s *dispatchState) wait(changed <-chan struct{}, until time.Time) bool {
	if s.request.Deadline.Before(until) {
		until = s.request.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return s.delayRelease()
	case <-timer.C:
		return time.Now().Before(s.request.Deadline)
	case <-s.ctx.Done():
		return false
	}
}

// delayRelease delays a held request by a random time after a change of routes. The requests
// released by the same change are thus spread over a window that grows with their number, so that
// they do not fill the new owner's queue at once.
func (s *dispatchState) delayRelease() bool {
	window := min(time.Duration(s.d.held.Load())*s.d.config.ReleasePace, s.d.config.ReleaseMax)
	if window <= 0 {
		return true
	}
	timer := time.NewTimer(rand.N(window))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(s.request.Deadline)
	case <-s.ctx.Done():
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
