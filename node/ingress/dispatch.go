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
	// holdShare is the part of the time left for which a request waits for its key's owner.
	holdShare = 0.15
	// holdPause is the time between two looks for the owner.
	holdPause = 25 * time.Millisecond
)

// Sender passes a request to a node.
type Sender interface {
	Send(ctx context.Context, r *relay.Request, d ownership.Destination) relay.Result
}

// Parts are what a Dispatcher works with.
type Parts struct {
	View  func() *ownership.View
	Local func(ctx context.Context, r *relay.Request) relay.Result
	Peers Sender
	// Retry bounds the sends beyond the first.
	Retry  retry.Policy
	Region string
	Log    *telemetry.RequestLog
	// Metrics count the sends.
	Metrics *telemetry.Metrics
}

// Dispatcher sends requests to targets until one outcome is final. It is safe for concurrent use.
type Dispatcher struct {
	parts Parts
	begin time.Time

	mu     sync.Mutex
	budget *retry.Budget
	picker *balance.Picker
}

// NewDispatcher returns a dispatcher without measurements.
func NewDispatcher(p Parts) *Dispatcher {
	policy := balance.DefaultPolicy()
	return &Dispatcher{parts: p, begin: time.Now(), budget: retry.New(p.Retry), picker: balance.New(policy)}
}

// run is the way of one request.
type run struct {
	*Dispatcher
	request *relay.Request
	// sends counts the targets that may have received the request; tried names them.
	sends int
	tried []string
	// doubt is the first outcome that leaves open whether the request ran.
	doubt *relay.Result
	// holdUntil is when the wait for an owner ends.
	holdUntil time.Time
}

// Do sends a request and returns its one outcome.
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

// attempts sends the request until an outcome is final.
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

// final returns the outcome of the request from that of its last send: a request that may have run
// is never said not to have.
func (a *run) final(last relay.Result) relay.Result {
	if last.Outcome == outcome.NotRun && a.doubt != nil {
		return *a.doubt
	}
	return last
}

// endMargin is how much longer than its deadline a request waits for a target's last word.
const endMargin = 250 * time.Millisecond

// again decides on another try and waits before it.
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

// elsewhere reports whether the request may go to a target that was not tried.
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

// sendAgain draws on the budget for another send.
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

// once sends the request to the target that fits best now.
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

// share picks one of the targets of a shared service.
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

// candidates lists the targets to choose from: those that were not tried, or all if there is none.
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
