package ingress

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/hedge"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

const (
	// holdFraction is the fraction of a request's remaining time that it may wait for an owner of
	// its key to become available.
	holdFraction = 0.15
	// holdPollInterval is the interval at which a waiting request looks up the owner again.
	holdPollInterval = 25 * time.Millisecond
)

// Sender forwards a request to another node.
type Sender interface {
	Send(ctx context.Context, r *relay.Request, d ownership.Destination) relay.Result
}

// Dependencies are the dependencies of a Dispatcher.
type Dependencies struct {
	View  func() *ownership.View
	Local func(ctx context.Context, r *relay.Request) relay.Result
	Peers Sender
	// DrainGrace is how long the owner of a key is still sent requests after it has said that it leaves,
	// while its keys move to others.
	DrainGrace time.Duration
	// Evacuated reports whether requests, for keys or of shared services, may not be sent now to targets in a failure
	// domain; nil if that is not watched.
	Evacuated func(domain string, keyed bool) bool
	// Retry limits the sends after the first one over all nodes.
	Retry retry.Bound
	// Hedging configures second sends against slow answers; the zero value sends none.
	Hedging Hedging
	Region  string
	// Load configures the choice of targets by their load.
	Load Load
	Log  *telemetry.RequestLog
	// Metrics counts the repeated sends by reason.
	Metrics *telemetry.Metrics
}

// Dispatcher sends requests to targets and retries them until the outcome is final. It is safe
// for concurrent use.
type Dispatcher struct {
	deps  Dependencies
	start time.Time

	mu     sync.Mutex
	budget *retry.SharedBudget
	picker *balance.Picker
	states targetStates
	// hedger is nil if no request is sent a second time because of a slow answer.
	hedger *hedge.Hedger
	asking asking
	// stop is the shutdown of the process; zero before it begins.
	stop shutdown.Period
}

// Stop tells the dispatcher that the process shuts down.
func (d *Dispatcher) Stop(p shutdown.Period) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stop = p
}

// mayAccept reports whether the request may still be sent, as far as the end of the process allows.
func (d *Dispatcher) mayAccept(r *relay.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stop.MayAccept(time.Now(), r.Deadline.Add(deadlineMargin))
}

// NewDispatcher returns a dispatcher with a full retry budget and no load measurements of targets.
func NewDispatcher(deps Dependencies) *Dispatcher {
	policy := balance.DefaultPolicy()
	return &Dispatcher{
		deps: deps, start: time.Now(), budget: retry.NewShared(deps.Retry), picker: balance.New(policy), states: newTargetStates(),
		hedger: newHedger(deps.Hedging),
		asking: newAsking(),
	}
}

// dispatchState is the retry state of one request.
type dispatchState struct {
	*Dispatcher
	request *relay.Request
	route   *routing.Route
	// sends counts the sends that reached a target. tried names those targets and, for a shared
	// service, also the targets that were chosen but did not run the request.
	sends int
	tried []string
	// firstUnknown is the first result with the outcome Unknown: the request may have run.
	firstUnknown *relay.Result
	// holdUntil is when the request stops waiting for an owner.
	holdUntil time.Time
	// countedForHedging is set once the first send is counted, and hedged once the request is sent a second time because
	// of a slow answer.
	countedForHedging, hedged bool
	// onSend is called with the destination of a send of a shared service; may be nil.
	onSend func(ownership.Destination)
}

// Do sends the request, retries it as far as the route and the retry budget allow, and returns
// its final outcome.
func (d *Dispatcher) Do(ctx context.Context, r *relay.Request, route *routing.Route) relay.Result {
	d.countFirstSend(r.Service)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(deadlineMargin))
	result := d.sendUntilFinal(ctx, r, route)
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, cancel)
	} else {
		cancel()
	}
	return result
}

// sendUntilFinal sends the request until its outcome is final.
func (d *Dispatcher) sendUntilFinal(ctx context.Context, r *relay.Request, route *routing.Route) relay.Result {
	state := &dispatchState{Dispatcher: d, request: r, route: route, holdUntil: time.Now().Add(time.Duration(holdFraction * float64(r.Remaining())))}
	for {
		if !d.mayAccept(r) {
			return state.finalResult(relay.NotRun(outcome.ReasonStopping))
		}
		result := state.sendOnce(ctx)
		if result.Reached {
			state.sends++
			state.tried = append(state.tried, result.Target)
			r.Repeated = true
		}
		if result.Outcome == outcome.Unknown && state.firstUnknown == nil {
			state.firstUnknown = &result
		}
		if !state.shouldRetry(ctx, result, route) {
			return state.finalResult(result)
		}
		d.deps.Metrics.Resent(result.Reason)
		d.deps.Log.Unusual("request sent again", "id", r.ID, "outcome", result.Outcome.String(), "reason", string(result.Reason),
			"target", result.Target, "sends", state.sends, "table", r.TableVersion, "left_ms", r.Remaining().Milliseconds())
	}
}

// finalResult derives the result of the request from that of its last send. It never returns NotRun
// for a request that an earlier send may have run.
func (s *dispatchState) finalResult(last relay.Result) relay.Result {
	if last.Outcome == outcome.NotRun && s.firstUnknown != nil {
		return *s.firstUnknown
	}
	return last
}

// deadlineMargin is how long after its deadline a request still waits for the target's answer.
const deadlineMargin = 250 * time.Millisecond

// shouldRetry reports whether the request is sent once more. If the request has to wait for an
// owner, shouldRetry returns after holdPollInterval.
func (s *dispatchState) shouldRetry(ctx context.Context, result relay.Result, route *routing.Route) bool {
	if ctx.Err() != nil || !s.request.Body.Replayable() || s.request.Remaining() <= 0 {
		return false
	}
	switch {
	case result.Outcome == outcome.Answered:
		return false
	case result.Outcome == outcome.Unknown:
		return s.request.Kind.Repeatable() && result.Reason != outcome.ReasonDeadline && s.spendRetry(route)
	case result.Reached:
		return s.hasUntriedTarget() && s.spendRetry(route)
	case result.Reason == outcome.ReasonShed || result.Reason == outcome.ReasonTargetLimit || result.Reason == outcome.ReasonTargetUnhealthy ||
		result.Reason == outcome.ReasonMemory || result.Reason == outcome.ReasonStopping ||
		result.Reason == outcome.ReasonEvacuated && !s.request.Keyed:
		return s.hasUntriedTarget()
	case result.Retryable() && time.Now().Before(s.holdUntil):
		return sleep(ctx, holdPollInterval)
	default:
		return false
	}
}

// hasUntriedTarget reports whether a ready target is left that the request may use and has not
// tried.
func (s *dispatchState) hasUntriedTarget() bool {
	if s.request.Keyed {
		return false
	}
	for _, d := range s.allowedTargets(s.deps.View()) {
		if s.isReady(d) && !slices.Contains(s.tried, d.Target) {
			return true
		}
	}
	return false
}

// spendRetry takes one retry from the budget; it returns false when the budget or the attempts
// of the route are used up.
func (s *dispatchState) spendRetry(route *routing.Route) bool {
	if s.sends >= max(1, route.Attempts) {
		return false
	}
	nodes := s.deps.View().Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(s.request.Service, nodes, s.firstUnknown != nil)
}

func (d *Dispatcher) countFirstSend(service string) {
	nodes := d.deps.View().Nodes()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordFirstSend(service, nodes)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendOnce sends the request to the owner of its key, or to one target of its shared service.
func (s *dispatchState) sendOnce(ctx context.Context) relay.Result {
	view := s.deps.View()
	if s.request.Keyed {
		d, refusal, ok := s.owner(view)
		if !ok {
			return refusal
		}
		return s.send(ctx, d)
	}
	targets, refusal, ok := s.sharedTargets(view)
	if !ok {
		return refusal
	}
	return s.sendHedged(ctx, targets)
}

// owner returns the target that owns the request's key, or the result and false if the request may not be sent to it now.
func (s *dispatchState) owner(view *ownership.View) (ownership.Destination, relay.Result, bool) {
	d, version, ok := view.Owner(s.request.Service, s.request.Key)
	s.request.TableVersion = version
	evacuated := ok && s.isEvacuated(d)
	leavingFor, leaving := s.leavingFor(d)
	switch {
	case ok && !s.request.Homes.Allows(d.Region), (!ok || evacuated) && s.isHomeless(view):
		return d, refuseForHomes(), false
	case !ok:
		return d, relay.NotRun(outcome.ReasonNoOwner), false
	case evacuated:
		return d, relay.NotRun(outcome.ReasonEvacuated), false
	case leaving && leavingFor > s.deps.DrainGrace:
		return d, relay.NotRun(outcome.ReasonTargetDraining), false
	}
	return d, relay.Result{}, true
}

// sharedTargets returns the targets among which one is chosen for the request of a shared service, or the result and false
// if there are none.
func (s *dispatchState) sharedTargets(view *ownership.View) ([]ownership.Destination, relay.Result, bool) {
	if s.isHomeless(view) {
		return nil, refuseForHomes(), false
	}
	targets := s.allowedTargets(view)
	if len(targets) == 0 && len(view.Targets(s.request.Service)) > 0 {
		return nil, relay.NotRun(outcome.ReasonEvacuated), false
	}
	if len(targets) == 0 {
		return nil, relay.NotRun(outcome.ReasonNoOwner), false
	}
	return targets, relay.Result{}, true
}

// sendShared sends the request to one of the targets of a shared service and reports the result to
// the load balancer.
func (s *dispatchState) sendShared(ctx context.Context, targets []ownership.Destination) relay.Result {
	i, refusal := s.chooseTarget(ctx, targets)
	if i < 0 {
		return relay.Result{End: refusal}
	}
	target, candidate := targets[i], s.candidate(targets[i])
	now := time.Since(s.start)
	result := s.send(ctx, target)
	if result.Target == "" || result.Outcome == outcome.NotRun {
		s.tried = append(s.tried, target.Target)
	}
	finished := time.Since(s.start)
	reached := isNotNeeded(ctx) || result.Reason != outcome.ReasonPeerUnreachable && result.Reason != outcome.ReasonTargetUnreachable &&
		result.Reason != outcome.ReasonPeerLost
	s.mu.Lock()
	s.picker.Finished(finished, candidate, finished-now, result.Outcome == outcome.Answered || isOvertaken(ctx), reached)
	if result.Reason == outcome.ReasonTargetLimit {
		s.picker.Avoid(finished, candidate, result.RetryAfter)
	}
	if result.Load != nil {
		s.asking.reports.Record(finished, target.Node, result.Load, s.request.Service)
	}
	s.mu.Unlock()
	return result
}

// chooseTarget returns the index of the target to which the request is sent next, or negative and the refusal of the request.
// The targets are those that the request may use. The load balancer counts the send as started.
func (s *dispatchState) chooseTarget(ctx context.Context, targets []ownership.Destination) (int, outcome.End) {
	near, far, byLoad := s.choosesByLoad(targets)
	s.request.Asked = byLoad
	if byLoad {
		i, refusal := s.chooseByLoad(ctx, targets, near, far)
		if i >= 0 || refusal.Outcome != 0 {
			return i, refusal
		}
	}
	candidates := s.candidates(targets)
	now := time.Since(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.picker.Pick(now, candidates, rand.IntN)
	if !ok {
		return -1, outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}
	}
	s.picker.Started(now, candidates[i])
	return i, outcome.End{}
}

// leavingFor returns for how long a target has been known to leave by its answers, and whether it does.
func (d *Dispatcher) leavingFor(target ownership.Destination) (time.Duration, bool) {
	now := time.Since(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states.leavingFor(now, target)
}

// isReady reports whether a target accepts new requests of a shared service, as far as this node knows.
func (d *Dispatcher) isReady(target ownership.Destination) bool {
	_, leaving := d.leavingFor(target)
	return target.Ready && !leaving
}

// candidates returns the targets to choose from. Those already tried count as ready only if no
// other ready target is left.
func (s *dispatchState) candidates(targets []ownership.Destination) []balance.Candidate {
	untried := slices.ContainsFunc(targets, func(d ownership.Destination) bool {
		return s.isReady(d) && !slices.Contains(s.tried, d.Target)
	})
	candidates := make([]balance.Candidate, len(targets))
	for i, d := range targets {
		candidates[i] = s.candidate(d)
		candidates[i].Ready = s.isReady(d) && (!untried || !slices.Contains(s.tried, d.Target))
	}
	return candidates
}

func (d *Dispatcher) candidate(target ownership.Destination) balance.Candidate {
	return balance.Candidate{
		Name: target.Node, Incarnation: hash(target.Target), SameRegion: target.Region == d.deps.Region, Slots: target.Slots, Ready: true,
	}
}

func (s *dispatchState) send(ctx context.Context, d ownership.Destination) relay.Result {
	if s.onSend != nil {
		s.onSend(d)
	}
	now := time.Since(s.start)
	s.mu.Lock()
	s.request.Known = s.states.of(d)
	s.mu.Unlock()
	var result relay.Result
	if d.Local {
		result = s.deps.Local(ctx, s.request)
	} else {
		result = s.deps.Peers.Send(ctx, s.request, d)
	}
	if result.Target == "" {
		result.Target = d.Target
	}
	s.mu.Lock()
	s.states.record(now, result.State)
	s.mu.Unlock()
	return result
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
