package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// DispatchConfig bounds how long and how often a request is tried.
type DispatchConfig struct {
	// HoldMax is the longest time that a request waits for an owner.
	HoldMax time.Duration
	// HoldLimit is the largest number of requests that wait at one time.
	HoldLimit int64
	// RetryPause is the wait before the same owner is asked again.
	RetryPause time.Duration
	// ReleasePace is the time that each waiting request adds to the release of all, at most
	// ReleaseMax.
	ReleasePace time.Duration
	ReleaseMax  time.Duration
	// DecisionSample writes a log line for one in so many routing decisions, at least one.
	DecisionSample int
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
	log     decisions
	metrics *Metrics
	held    atomic.Int64
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
		metrics: parts.Metrics,
		log:     decisions{log: parts.Log, every: uint64(max(config.DecisionSample, 1))},
	}
}

// Held returns the number of requests that wait for an owner.
func (d *Dispatcher) Held() int64 { return d.held.Load() }

// Do carries one request to its end. It fails with the errors of package keyspace when no
// range holds the key; the outcome is then not run.
func (d *Dispatcher) Do(ctx context.Context, r *plane.Request, answer Answer) (plane.Result, error) {
	d.budget.Earn()
	began := time.Now()
	t := &trial{d: d, ctx: ctx, request: r, answer: answer, holdUntil: began.Add(d.config.HoldMax)}
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
			d.log.refusedFor(ctx, r, result)
			d.metrics.ended(result, r.Attempt, time.Since(began))
			return result, nil
		}
	}
}

// notReady ends a request while the node knows no sheet.
var notReady = plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}
