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

// trial is the state of one request's tries.
type trial struct {
	d         *Dispatcher
	ctx       context.Context
	request   *plane.Request
	answer    Answer
	holdUntil time.Time
	started   bool
	// last is the owner of the latest try, empty when none was known.
	last  string
	tried []string
}

// once makes one try and returns its result with the name of the node that was asked.
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

// firstNode returns the node to ask first for a key with an owner, and why it is that one.
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

// send carries the request to the peer and follows one redirect.
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

// again decides whether the request is tried once more, and waits until it should be.
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

// anotherReplica lets a shared request that one target refused try the next.
func (t *trial) anotherReplica(result plane.Result) bool {
	switch result.Reason {
	case outcome.ReasonTargetRefused, outcome.ReasonTargetShed, outcome.ReasonShed, outcome.ReasonKeyShare:
		return t.request.Range.Kind == keyspace.Shared && t.d.budget.Spend()
	default:
		return false
	}
}

// hold waits for a change of routes. Asking another owner than last time is free, for owners
// change rarely; asking the same one again costs the retry budget.
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

// wait returns false when the caller went away or its time ended first.
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

// spread lets the requests that waited for one change of routes go on one after another, over
// a time that grows with their number, so that they do not fill the new owner's queue at once.
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

// misplaced tells whether a request did not run for a reason that another owner, or the same
// one a little later, may not have.
func misplaced(result plane.Result) bool {
	end := outcome.End{Outcome: result.Outcome, Reason: result.Reason}
	return end.Retryable() || result.Reason == outcome.ReasonHops
}

// watchedSink notes whether an answer has started.
type watchedSink struct {
	sink    plane.Sink
	started bool
}

// Head passes the head on.
func (w *watchedSink) Head(head plane.Head) error {
	w.started = true
	return w.sink.Head(head)
}

// Write passes the chunk on.
func (w *watchedSink) Write(chunk []byte) error { return w.sink.Write(chunk) }
