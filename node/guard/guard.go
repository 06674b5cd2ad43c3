// Package guard controls all access to the local target: it checks that the target may run a
// request, queues the request for a slot and for the target's limit, sends it and classifies the
// answer. All requests to the target pass through its guard, so the guard's count is that of all nodes.
//
// Locks: Guard.mu is a leaf lock; no call to the target or the gate is made while it is held.
package guard

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
	"github.com/auburnrelay/auburnrelay/node/budget"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

const (
	// deadlineMargin is how long a call is kept open after its deadline, so that an answer that the
	// target sends at the deadline is still read.
	deadlineMargin = 80 * time.Millisecond
	// minRemaining is the shortest remaining time with which a request is sent. With less, the target
	// cannot answer in time.
	minRemaining = 10 * time.Millisecond
	// drainTimeout and maxDrainedBytes bound the reading of a refusal's body, which is a short text.
	drainTimeout    = 100 * time.Millisecond
	maxDrainedBytes = 16 << 10
	// maxQueueShare is the share of a request's latency objective that it may spend queued, as long as the work time of
	// its class is not known.
	maxQueueShare = 0.6
	// queueCapacityPerSlot is the queue capacity per slot.
	queueCapacityPerSlot = 8
)

// Gate decides whether the local target may be sent a request.
type Gate interface {
	// Admit returns the local target if it may run a request of the service and key; otherwise
	// it returns the reason why not.
	Admit(service string, keyed bool, key int) (ownership.LocalTarget, outcome.Reason)
	// ReportTargetEnded reports that nothing listens at the address of the target process with this
	// id and start time in Unix milliseconds.
	ReportTargetEnded(id string, born int64)
	// ReportTargetLeaving reports that the target process has said in an answer that it leaves.
	ReportTargetLeaving(id string, born int64)
	// ReportKeyNotHeld reports that the target refused a key which it does not hold.
	ReportKeyNotHeld(id string, born int64, key int)
}

// Guard sends requests to the local target. It is safe for concurrent use.
type Guard struct {
	gate  Gate
	pool  *h1.Pool
	codec exchange.Codec
	log   *slog.Logger
	// metrics records queue waits and the target's outcomes.
	metrics    *telemetry.Metrics
	queueEpoch time.Time

	mu            sync.Mutex
	queue         *slotqueue.Queue
	lastID        uint64
	queued        map[uint64]chan slotqueue.Verdict
	dispatchTimer *time.Timer
	meter         holding.Meter
	crashes       crashCounts
	// slots and process are those of the target that the last request was for.
	slots   int
	process exchange.TargetProcess
	limits  ratelimit.Tracker
	// leaving is the last process of the target that has said in an answer that it leaves.
	leaving exchange.TargetProcess
	// sends counts the requests that were sent to the target since sendsCountedFrom.
	sends            sendCount
	sendsCountedFrom time.Duration
	cold             coldState
	report           keptReport
	// reports is set if answers carry load reports.
	reports bool
	health  health
	// stop is the shutdown of the process; zero before it begins.
	stop shutdown.Period
}

// New returns a Guard for the gate's local target, which keeps the limits of cold targets.
func New(gate Gate, pool *h1.Pool, codec exchange.Codec, m *telemetry.Metrics, cold ColdLimits, log *slog.Logger) *Guard {
	g := &Guard{
		gate: gate, pool: pool, codec: codec, metrics: m, log: log, queueEpoch: time.Now(),
		queue: slotqueue.New(1, queueCapacityPerSlot), queued: make(map[uint64]chan slotqueue.Verdict),
		crashes: newCrashCounts(), cold: coldState{limits: cold},
	}
	g.dispatchTimer = time.AfterFunc(time.Hour, g.dispatchNow)
	return g
}

// Serve runs a request at the local target. If ctx ends, the call is aborted. The slot is held
// until the answer's body has been buffered completely or closed.
func (g *Guard) Serve(ctx context.Context, r *relay.Request) relay.Result {
	local, reason := g.gate.Admit(r.Service, r.Keyed, r.Key)
	if reason != outcome.ReasonNone {
		return relay.NotRun(reason)
	}
	if refusal, refused := g.refuseForStop(r); refused {
		return refusal
	}
	g.adoptState(local, r.Known)
	result := g.serveHealthy(ctx, r, local)
	result.State = g.state(local)
	result.Load = g.reportWithAnswer(r, local)
	return result
}

// serveAdmitted queues a request that the gate has admitted and runs it.
func (g *Guard) serveAdmitted(ctx context.Context, r *relay.Request, local ownership.LocalTarget) relay.Result {
	g.recordArrival(r, local)
	arrived := time.Now()
	slot, end := g.awaitSlot(ctx, r, local)
	g.metrics.SlotWait(r.Kind.String(), time.Since(arrived))
	if end.Reason != outcome.ReasonNone {
		return relay.Result{End: end}
	}
	// The target or the ownership of the key may have changed while the request was queued.
	local, reason := g.gate.Admit(r.Service, r.Keyed, r.Key)
	if reason != outcome.ReasonNone {
		g.endStart()
		g.releaseSlot(slot, false)
		return relay.NotRun(reason)
	}
	f, reason := g.beginTracked(r)
	if reason != outcome.ReasonNone {
		g.endStart()
		g.releaseSlot(slot, false)
		return relay.NotRun(reason)
	}
	began := time.Now()
	result := g.call(ctx, r, local)
	g.endTracked(f, result)
	g.metrics.TargetRequest(r.Kind.String(), result.Outcome, time.Since(began))
	g.observeHealth(r, local, result, time.Since(began))
	if result.Outcome == outcome.Answered {
		g.recordServed(time.Since(began))
	}
	result.Target = local.ID
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, func() { g.releaseSlot(slot, true) })
		return result
	}
	g.releaseSlot(slot, result.Outcome == outcome.Answered)
	return result
}

// Load returns the target's load since the previous call.
func (g *Guard) Load() holding.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.meter.Read(g.elapsed(), g.slots)
	if limit := g.limits.Limit(g.process); limit.Valid {
		load.LimitCapacity(limit.PerSecond)
	}
	load.Cold, _ = g.cold.tracker.PlacementRate(g.elapsed())
	return load
}

func (g *Guard) recordArrival(r *relay.Request, local ownership.LocalTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.process = local.Slots, processOf(local)
	if r.Keyed {
		g.meter.Arrived(r.Key)
	}
}

func (g *Guard) recordServed(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Served(took)
}

// call sends the request to the target and classifies the answer or error.
func (g *Guard) call(ctx context.Context, r *relay.Request, local ownership.LocalTarget) relay.Result {
	remaining := r.Remaining()
	if remaining < minRemaining {
		g.endStart()
		return relay.NotRun(outcome.ReasonDeadline)
	}
	if !r.Body.Replayable() {
		g.endStart()
		return relay.NotRun(outcome.ReasonRetryBudget)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(deadlineMargin))
	if err := r.Body.ReadRest(ctx); err != nil {
		cancel()
		g.endStart()
		result := relay.NotRun(outcome.ReasonCancelled)
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			result.Reason = outcome.ReasonDeadline
		case errors.Is(err, budget.ErrFull):
			result.Reason = outcome.ReasonMemory
		}
		result.Detail = err.Error()
		return result
	}
	// The process may have begun to stop while the request was queued or its body arrived.
	if refusal, refused := g.refuseForStop(r); refused {
		cancel()
		g.endStart()
		return refusal
	}
	outgoing := r.Outgoing()
	g.codec.EncodeDelivery(outgoing.Header, exchange.Delivery{Target: local.ID, Timeout: remaining, CallerService: r.CallerService})
	matchesRequest := func(answer *http.Response) bool {
		id := g.codec.DecodeAnswer(answer.StatusCode, answer.Header).ID
		return id == "" || id == r.ID
	}
	g.countSend(local, r.Repeated)
	sentAt := g.elapsed()
	response, err := g.pool.Do(ctx, h1.Call{Address: local.Address, Request: outgoing, Match: matchesRequest})
	if err != nil {
		result := g.classifyError(ctx, local, err)
		cancel()
		return result
	}
	if meta := g.codec.DecodeAnswer(response.StatusCode, response.Header); meta.ID == r.ID {
		g.observeLimit(local, sentAt, meta)
		g.observeReport(local, meta)
		if meta.Leaving {
			g.recordLeaving(processOf(local))
		}
	}
	result := g.classifyAnswer(ctx, r, response)
	if result.Outcome == outcome.NotRun {
		// The reason is known from the head.
		go drain(response.Body, cancel)
		cancel = func() {}
	}
	if r.Keyed && result.Reason == outcome.ReasonFence {
		g.gate.ReportKeyNotHeld(local.ID, local.Born, r.Key)
	}
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, cancel)
	} else {
		cancel()
	}
	return result
}

// classifyError classifies a call that got no answer.
func (g *Guard) classifyError(ctx context.Context, local ownership.LocalTarget, err error) relay.Result {
	if errors.Is(err, h1.ErrRefused) {
		g.gate.ReportTargetEnded(local.ID, local.Born)
	}
	result := relay.Unknown(outcome.ReasonTargetLost)
	switch {
	case errors.Is(err, h1.ErrNotSent):
		result = relay.NotRun(outcome.ReasonTargetUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = relay.Unknown(outcome.ReasonDeadline)
	case ctx.Err() != nil:
		result = relay.Unknown(outcome.ReasonCancelled)
	case errors.Is(err, h1.ErrMismatchedAnswer):
		result = relay.Unknown(outcome.ReasonCrossed)
	}
	result.Detail = err.Error()
	return result
}

// drain reads the rest of a refusal, so that its connection can be reused, and closes the connection if
// that takes too long.
func drain(body io.ReadCloser, cancel context.CancelFunc) {
	defer cancel()
	timer := time.AfterFunc(drainTimeout, cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainedBytes))
	_ = body.Close()
}

// classifyAnswer classifies an answer and, unless it is a refusal, reads the first part of its body.
func (g *Guard) classifyAnswer(ctx context.Context, r *relay.Request, response *http.Response) relay.Result {
	meta := g.codec.DecodeAnswer(response.StatusCode, response.Header)
	if meta.NotRun {
		reason := outcome.ReasonTargetShed
		if meta.Misdirected {
			reason = outcome.ReasonFence
		}
		result := relay.NotRun(reason)
		result.Reached, result.RetryAfter = true, meta.RetryAfter
		return result
	}
	if response.StatusCode/100 == 2 && (!meta.Sealed || meta.ID != r.ID || response.Header.Get("Content-Encoding") != "") {
		_ = response.Body.Close()
		return relay.Unknown(outcome.ReasonCrossed)
	}
	answer, err := relay.ReadAnswer(response)
	if err != nil {
		result := relay.Unknown(outcome.ReasonTruncated)
		if ctx.Err() != nil {
			result = relay.Unknown(outcome.ReasonCancelled)
		}
		result.Detail = err.Error()
		return result
	}
	return relay.Result{End: outcome.End{Outcome: outcome.Answered}, Answer: answer, Reached: true}
}
