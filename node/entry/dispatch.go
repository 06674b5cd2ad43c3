package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// DispatchConfig limits how long requests are held and how they are retried. A request is held
// while it waits for an owner of its key.
type DispatchConfig struct {
	// HoldMax is the maximum time for which a request is held.
	HoldMax time.Duration
	// HoldLimit is the maximum number of requests held at one time.
	HoldLimit int64
	// RetryPause is the delay before a held request is sent again if no route changes.
	RetryPause time.Duration
	// After a change of routes the held requests are released over a period of ReleasePace for
	// each held request, at most ReleaseMax in total.
	ReleasePace time.Duration
	ReleaseMax  time.Duration
	// DecisionSample is the sampling interval of the log: one in DecisionSample routing decisions
	// of each kind is logged. Values below one count as one.
	DecisionSample int
}

// Dispatcher looks up the owner of a request and sends the request to it.
type Dispatcher struct {
	config    DispatchConfig
	router    plane.Router
	local     plane.Server
	remote    Forwarder
	chooser   Chooser
	budget    Budget
	ledger    Ledger
	decisions decisionLog
	metrics   *Metrics
	held      atomic.Int64
}

// NewDispatcher returns a dispatcher with the given dependencies.
func NewDispatcher(config DispatchConfig, deps Dependencies) *Dispatcher {
	return &Dispatcher{
		config:    config,
		router:    deps.Router,
		local:     deps.Local,
		remote:    deps.Remote,
		chooser:   deps.Chooser,
		budget:    deps.Budget,
		ledger:    deps.Ledger,
		metrics:   deps.Metrics,
		decisions: decisionLog{log: deps.Log, sampleInterval: uint64(max(config.DecisionSample, 1))},
	}
}

// Held returns the number of held requests.
func (d *Dispatcher) Held() int64 { return d.held.Load() }

// Do sends one request, retries it within the limits and returns its final result. It fails with an
// error of package keyspace if no range contains the key; the outcome is then NotRun.
func (d *Dispatcher) Do(ctx context.Context, r *plane.Request, answer AnswerSink) (plane.Result, error) {
	d.budget.RecordFirstAttempt()
	start := time.Now()
	state := &dispatchState{d: d, ctx: ctx, request: r, answer: answer, holdUntil: start.Add(d.config.HoldMax)}
	for {
		changed := d.router.Changed()
		route, err := d.router.Locate(r.Service, r.Key)
		if errors.Is(err, plane.ErrNotReady) && state.hold("", notReady, changed) {
			continue
		}
		if err != nil {
			return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, err
		}
		r.Range = route.Range
		r.Slice = route.Slice
		result, owner := state.sendOnce(route)
		if !state.shouldRetry(result, owner, changed) {
			d.ledger.Count(route, result.Outcome)
			d.decisions.writeRefused(ctx, r, result)
			d.metrics.ended(result, r.Attempt, time.Since(start))
			return result, nil
		}
	}
}

// notReady is the result of a request while the node has no sheet.
var notReady = plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}
