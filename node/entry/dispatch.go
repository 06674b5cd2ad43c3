package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Answer takes an answer and the name of the node that served it.
type Answer interface {
	plane.Sink
	// ServedBy names the owner before the answer's head.
	ServedBy(owner plane.Peer)
}

// Budget limits retries to a share of the requests.
type Budget interface {
	// Earn records one first try.
	Earn()
	// Spend takes the cost of one retry and reports whether it was there.
	Spend() bool
}

// Chooser picks a node for a request of a shared service.
type Chooser interface {
	// Choose returns one of the candidates whose name is not in tried, and a function to call
	// with the result. It returns false when none is left.
	Choose(candidates []plane.Peer, tried []string) (plane.Peer, func(plane.Result), bool)
}

// Ledger counts the outcomes of callers' requests for the account.
type Ledger interface {
	Count(route plane.Route, result outcome.Outcome)
}

// Forwarder sends a request to another node.
type Forwarder interface {
	Forward(ctx context.Context, to plane.Peer, hops uint32, r *plane.Request, sink plane.Sink) forward.Reply
}

// DispatchConfig bounds how long and how often a request is tried.
type DispatchConfig struct {
	// HoldMax is the longest time that a request waits for an owner.
	HoldMax time.Duration
	// HoldLimit is the largest number of requests that wait at one time.
	HoldLimit int64
	// RetryPause is the wait before the same owner is asked again.
	RetryPause time.Duration
}

// Dispatcher finds the owner of a request and carries the request to it.
type Dispatcher struct {
	config  DispatchConfig
	router  plane.Router
	local   plane.Server
	remote  Forwarder
	chooser Chooser
	budget  Budget
	ledger  Ledger
	log     *slog.Logger
	held    atomic.Int64
}

// Parts are what a dispatcher works with; all are needed.
type Parts struct {
	Router  plane.Router
	Local   plane.Server
	Remote  Forwarder
	Chooser Chooser
	Budget  Budget
	Ledger  Ledger
	Log     *slog.Logger
}

// NewDispatcher returns a dispatcher over the parts.
func NewDispatcher(config DispatchConfig, parts Parts) *Dispatcher {
	return &Dispatcher{
		config:  config,
		router:  parts.Router,
		local:   parts.Local,
		remote:  parts.Remote,
		chooser: parts.Chooser,
		budget:  parts.Budget,
		ledger:  parts.Ledger,
		log:     parts.Log,
	}
}

// Held returns the number of requests that wait for an owner.
func (d *Dispatcher) Held() int64 { return d.held.Load() }

// Do carries one request to its end. It fails with the errors of package keyspace when no
// range holds the key; the outcome is then not run.
func (d *Dispatcher) Do(ctx context.Context, r *plane.Request, answer Answer) (plane.Result, error) {
	d.budget.Earn()
	t := &trial{d: d, ctx: ctx, request: r, answer: answer, holdUntil: time.Now().Add(d.config.HoldMax)}
	for {
		changed := d.router.Changed()
		route, err := d.router.Locate(r.Service, r.Key)
		if errors.Is(err, plane.ErrNotReady) && t.hold("", notReady, changed) {
			continue
		}
		if err != nil {
			return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, err
		}
		r.Range = route.Range
		r.Slice = route.Slice
		result, owner := t.once(route)
		if !t.again(result, owner, changed) {
			d.ledger.Count(route, result.Outcome)
			return result, nil
		}
	}
}

// notReady ends a request while the node knows no sheet.
var notReady = plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}

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
	owner := route.Owner
	switch {
	case owner.Name == "" && len(route.Contacts) > 0:
		contact := route.Contacts[int(t.request.Attempt)%len(route.Contacts)]
		return t.send(contact, route), contact.Name
	case owner.Name == "":
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, ""
	default:
		return t.send(owner, route), owner.Name
	}
}

func (t *trial) shared(route plane.Route) (plane.Result, string) {
	peer, done, ok := t.d.chooser.Choose(route.Candidates, t.tried)
	if !ok {
		t.tried = nil
		return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetAbsent}, ""
	}
	t.tried = append(t.tried, peer.Name)
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
	t.d.log.Debug("followed a redirect", "slice", route.Slice.String(), "from", to.Name, "owner", next.Name,
		"reason", outcome.ReasonNotOwner)
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
	if result.Outcome == outcome.Unknown && (t.request.NonIdempotent || !lostOnTheWay(result.Reason)) {
		return false
	}
	if result.Outcome == outcome.NotRun && !misplaced(result.Reason) {
		return t.anotherReplica(result)
	}
	if t.request.Range.Kind == keyspace.Shared && owner != "" {
		return t.d.budget.Spend()
	}
	return t.hold(owner, result, changed)
}

// anotherReplica lets a shared request that one target refused try the next.
func (t *trial) anotherReplica(result plane.Result) bool {
	refused := result.Reason == outcome.ReasonTargetRefused || result.Reason == outcome.ReasonShed
	return refused && t.request.Range.Kind == keyspace.Shared && t.d.budget.Spend()
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
	t.d.log.Debug("held", "service", t.request.Service, "key", t.request.Key, "owner", owner, "reason", result.Reason)
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
		return true
	case <-timer.C:
		return time.Now().Before(t.request.Deadline)
	case <-t.ctx.Done():
		return false
	}
}

// lostOnTheWay tells whether an idempotent request may be tried again after the reason.
func lostOnTheWay(reason outcome.Reason) bool {
	return reason == outcome.ReasonPeerLost || reason == outcome.ReasonTargetLost
}

// misplaced tells whether the reason is a matter of who owns the key now.
func misplaced(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonMoving, outcome.ReasonLeaseLapsed,
		outcome.ReasonFence, outcome.ReasonHops, outcome.ReasonPeerIdentity, outcome.ReasonPeerUnreachable,
		outcome.ReasonTargetAbsent, outcome.ReasonStopping, outcome.ReasonPeerLost, outcome.ReasonTargetLost:
		return true
	default:
		return false
	}
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
