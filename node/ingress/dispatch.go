package ingress

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

const (
	// holdShare is the fraction of a request's remaining time that it may wait for an owner of
	// its key to become available.
	holdShare = 0.15
	// holdPause is the interval at which a waiting request looks up the owner again.
	holdPause = 25 * time.Millisecond
)

// Sender forwards a request to another node.
type Sender interface {
	Send(ctx context.Context, r *relay.Request, d ownership.Destination) relay.Result
}

// Parts are the dependencies of a Dispatcher.
type Parts struct {
	View  func() *ownership.View
	Local func(ctx context.Context, r *relay.Request) relay.Result
	Peers Sender
	// Retry limits the sends after the first one.
	Retry  retry.Policy
	Region string
	Log    *telemetry.RequestLog
	// Metrics counts the repeated sends by reason.
	Metrics *telemetry.Metrics
}

// Dispatcher sends requests to targets and retries them until the outcome is final. It is safe
// for concurrent use.
type Dispatcher struct {
	parts Parts
	begin time.Time

	mu     sync.Mutex
	budget *retry.Budget
	picker *balance.Picker
}

// NewDispatcher returns a dispatcher with a full retry budget and no load measurements of targets.
func NewDispatcher(p Parts) *Dispatcher {
	policy := balance.DefaultPolicy()
	return &Dispatcher{parts: p, begin: time.Now(), budget: retry.New(p.Retry), picker: balance.New(policy)}
}

// run is the retry state of one request.
type run struct {
	*Dispatcher
	request *relay.Request
	// sends counts the sends that reached a target. tried names those targets and, for a shared
	// service, also the targets that were chosen but did not run the request.
	sends int
	tried []string
	// doubt is the first result with the outcome Unknown: the request may have run.
	doubt *relay.Result
	// holdUntil is when the request stops waiting for an owner.
	holdUntil time.Time
}

// Do sends the request, retries it as far as the route and the retry budget allow, and returns
// its final outcome.
func (d *Dispatcher) Do(ctx context.Context, r *relay.Request, route *routing.Route) relay.Result {
	d.first()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(endMargin))
	result := d.attempts(ctx, r, route)
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, cancel)
	} else {
		cancel()
	}
	return result
}

// attempts sends the request until its outcome is final.
func (d *Dispatcher) attempts(ctx context.Context, r *relay.Request, route *routing.Route) relay.Result {
	attempt := &run{Dispatcher: d, request: r, holdUntil: time.Now().Add(time.Duration(holdShare * float64(r.Left())))}
	for {
		result := attempt.once(ctx)
		if result.Reached {
			attempt.sends++
			attempt.tried = append(attempt.tried, result.Target)
		}
		if result.Outcome == outcome.Unknown && attempt.doubt == nil {
			attempt.doubt = &result
		}
		if !attempt.again(ctx, result, route) {
			return attempt.final(result)
		}
		d.parts.Metrics.SentAgain(result.Reason)
		d.parts.Log.Notable("request sent again", "id", r.ID, "outcome", result.Outcome.String(), "reason", string(result.Reason),
			"target", result.Target, "sends", attempt.sends, "table", r.Table, "left_ms", r.Left().Milliseconds())
	}
}

// final derives the outcome of the request from that of its last send. NotRun is never returned
// for a request that an earlier send may have run.
func (a *run) final(last relay.Result) relay.Result {
	if last.Outcome == outcome.NotRun && a.doubt != nil {
		return *a.doubt
	}
	return last
}

// endMargin is how long after its deadline a request still waits for the target's answer.
const endMargin = 250 * time.Millisecond

// again reports whether the request is sent once more. If it has to wait for an owner, again
// returns after a pause.
func (a *run) again(ctx context.Context, result relay.Result, route *routing.Route) bool {
	if ctx.Err() != nil || !a.request.Body.Replayable() || a.request.Left() <= 0 {
		return false
	}
	switch {
	case result.Outcome == outcome.Answered:
		return false
	case result.Outcome == outcome.Unknown:
		return a.request.Kind.Repeatable() && result.Reason != outcome.ReasonDeadline && a.sendAgain(route)
	case result.Reached:
		return a.elsewhere() && a.sendAgain(route)
	case result.Reason == outcome.ReasonShed:
		return a.elsewhere()
	case result.Retryable() && time.Now().Before(a.holdUntil):
		return pause(ctx, holdPause)
	default:
		return false
	}
}

// elsewhere reports whether a ready target is left that the request may use and has not tried.
func (a *run) elsewhere() bool {
	if a.request.Keyed {
		return false
	}
	for _, d := range a.parts.View().Targets(a.request.Service) {
		if d.Ready && !slices.Contains(a.tried, d.Target) {
			return true
		}
	}
	return false
}

// sendAgain takes one retry from the budget; it returns false when the budget or the attempts
// of the route are used up.
func (a *run) sendAgain(route *routing.Route) bool {
	if a.sends >= max(1, route.Attempts) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Spend()
}

func (d *Dispatcher) first() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.First()
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// once sends the request to the owner of its key, or to one target of its shared service.
func (a *run) once(ctx context.Context) relay.Result {
	view := a.parts.View()
	if a.request.Keyed {
		d, version, ok := view.Owner(a.request.Service, a.request.Key)
		a.request.Table = version
		if ok {
			return a.send(ctx, d)
		}
		return relay.NotRun(outcome.ReasonNoOwner)
	}
	targets := view.Targets(a.request.Service)
	if len(targets) == 0 {
		return relay.NotRun(outcome.ReasonNoOwner)
	}
	return a.share(ctx, targets)
}

// share sends the request to one of the targets of a shared service and reports the result to
// the load balancer.
func (a *run) share(ctx context.Context, targets []ownership.Destination) relay.Result {
	candidates := a.candidates(targets)
	now := time.Since(a.begin)
	a.mu.Lock()
	i, ok := a.picker.Pick(now, candidates, rand.IntN)
	if ok {
		a.picker.Started(now, candidates[i])
	}
	a.mu.Unlock()
	if !ok {
		return relay.NotRun(outcome.ReasonNoOwner)
	}
	result := a.send(ctx, targets[i])
	if result.Target == "" || result.Outcome == outcome.NotRun {
		a.tried = append(a.tried, targets[i].Target)
	}
	end := time.Since(a.begin)
	reached := result.Reason != outcome.ReasonPeerUnreachable && result.Reason != outcome.ReasonTargetUnreachable &&
		result.Reason != outcome.ReasonPeerLost
	a.mu.Lock()
	a.picker.Finished(end, candidates[i], end-now, result.Outcome == outcome.Answered, reached)
	a.mu.Unlock()
	return result
}

// candidates returns the targets to choose from. Those already tried count as ready only if no
// other ready target is left.
func (a *run) candidates(targets []ownership.Destination) []balance.Candidate {
	fresh := slices.ContainsFunc(targets, func(d ownership.Destination) bool {
		return d.Ready && !slices.Contains(a.tried, d.Target)
	})
	candidates := make([]balance.Candidate, len(targets))
	for i, d := range targets {
		candidates[i] = balance.Candidate{
			Name: d.Node, Incarnation: hash(d.Target), Near: d.Region == a.parts.Region, Slots: d.Slots,
			Ready: d.Ready && (!fresh || !slices.Contains(a.tried, d.Target)),
		}
	}
	return candidates
}

func (a *run) send(ctx context.Context, d ownership.Destination) relay.Result {
	var result relay.Result
	if d.Local {
		result = a.parts.Local(ctx, a.request)
	} else {
		result = a.parts.Peers.Send(ctx, a.request, d)
	}
	if result.Target == "" {
		result.Target = d.Target
	}
	return result
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
