// Package guard is the one way to the target beside this node: it admits a request when the
// target may run it, gives it a slot in its turn, sends it and takes the answer.
//
// Lock order: Guard.mu is a leaf; no call is made under it.
package guard

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/turn"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

const (
	// endMargin is how much longer than its deadline a call is kept open, so that the target's
	// own answer at the deadline is still read.
	endMargin = 80 * time.Millisecond
	// minLeft is the least time for which a request is sent: a target that is told less cannot
	// answer in time.
	minLeft = 10 * time.Millisecond
	// patienceShare is the part of a request's objective for which it may wait for a slot.
	patienceShare = 0.6
	// roomPerSlot is the number of requests that may wait for each slot.
	roomPerSlot = 8
)

// Gate tells which target may be sent a request.
type Gate interface {
	Admit(service string, keyed bool, key int) (ownership.Local, outcome.Reason)
	TargetGone(id string, born int64)
	NotHeld(id string, born int64, key int)
}

// Guard serves requests by the local target. It is safe for concurrent use.
type Guard struct {
	gate  Gate
	pool  *h1.Pool
	codec exchange.Codec
	log   *slog.Logger
	// metrics count what the target does.
	metrics *telemetry.Metrics
	begin   time.Time

	mu        sync.Mutex
	queue     *turn.Queue
	lastID    uint64
	waiting   map[uint64]chan turn.Verdict
	alarm     *time.Timer
	meter     holding.Meter
	suspicion suspicion
	slots     int
}

// New returns a guard of the gate's target.
func New(gate Gate, pool *h1.Pool, codec exchange.Codec, m *telemetry.Metrics, log *slog.Logger) *Guard {
	g := &Guard{
		gate: gate, pool: pool, codec: codec, metrics: m, log: log, begin: time.Now(),
		queue: turn.New(1, roomPerSlot), waiting: make(map[uint64]chan turn.Verdict),
		suspicion: newSuspicion(),
	}
	g.alarm = time.AfterFunc(time.Hour, g.wake)
	return g
}

// Serve runs a request at the local target. When ctx ends, the call is broken off.
func (g *Guard) Serve(ctx context.Context, r *relay.Request) relay.Result {
	local, reason := g.gate.Admit(r.Service, r.Keyed, r.Key)
	if reason != outcome.ReasonNone {
		return relay.NotRun(reason)
	}
	g.arrived(r, local.Slots)
	arrived := time.Now()
	reason = g.await(ctx, r, local.Slots)
	g.metrics.Waited(r.Kind.String(), time.Since(arrived))
	if reason != outcome.ReasonNone {
		return relay.NotRun(reason)
	}
	local, reason = g.gate.Admit(r.Service, r.Keyed, r.Key)
	if reason != outcome.ReasonNone {
		g.finish()
		return relay.NotRun(reason)
	}
	f, reason := g.suspect(r)
	if reason != outcome.ReasonNone {
		g.finish()
		return relay.NotRun(reason)
	}
	began := time.Now()
	result := g.call(ctx, r, local)
	g.ended(f, result)
	g.metrics.AtTarget(r.Kind.String(), result.Outcome, time.Since(began))
	if result.Outcome == outcome.Answered {
		g.served(time.Since(began))
	}
	result.Target = local.ID
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, g.finish)
		return result
	}
	g.finish()
	return result
}

// Load returns what was measured of the target since the last reading.
func (g *Guard) Load() holding.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meter.Read(g.elapsed(), g.slots)
}

func (g *Guard) arrived(r *relay.Request, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	if r.Keyed {
		g.meter.Arrived(r.Key)
	}
}

func (g *Guard) served(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meter.Served(took)
}

// call sends the request to the target and classifies what comes back.
func (g *Guard) call(ctx context.Context, r *relay.Request, local ownership.Local) relay.Result {
	left := r.Left()
	if left < minLeft {
		return relay.NotRun(outcome.ReasonDeadline)
	}
	if !r.Body.Replayable() {
		return relay.NotRun(outcome.ReasonRetryBudget)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(endMargin))
	out := r.Outgoing()
	g.codec.Deliver(out.Header, exchange.Delivery{Target: local.ID, Wait: left, CallerService: r.CallerService})
	match := func(answer *http.Response) bool {
		id := g.codec.Verdict(answer.StatusCode, answer.Header).ID
		return id == "" || id == r.ID
	}
	response, err := g.pool.Do(ctx, h1.Call{Address: local.Address, Request: out, Match: match})
	if err != nil {
		result := g.failed(ctx, local, err)
		cancel()
		return result
	}
	result := g.take(ctx, r, response)
	if r.Keyed && result.Reason == outcome.ReasonFence {
		g.gate.NotHeld(local.ID, local.Born, r.Key)
	}
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, cancel)
	} else {
		cancel()
	}
	return result
}

// failed classifies a call without an answer.
func (g *Guard) failed(ctx context.Context, local ownership.Local, err error) relay.Result {
	if errors.Is(err, h1.ErrRefused) {
		g.gate.TargetGone(local.ID, local.Born)
	}
	result := relay.Unknown(outcome.ReasonTargetLost)
	switch {
	case errors.Is(err, h1.ErrNotSent):
		result = relay.NotRun(outcome.ReasonTargetUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = relay.Unknown(outcome.ReasonDeadline)
	case ctx.Err() != nil:
		result = relay.Unknown(outcome.ReasonCancelled)
	case errors.Is(err, h1.ErrStray):
		result = relay.Unknown(outcome.ReasonCrossed)
	}
	result.Detail = err.Error()
	return result
}

// take classifies an answer.
func (g *Guard) take(ctx context.Context, r *relay.Request, response *http.Response) relay.Result {
	v := g.codec.Verdict(response.StatusCode, response.Header)
	if v.NotRun {
		_, _ = relay.TakeAnswer(response)
		reason := outcome.ReasonTargetShed
		if v.Misdirected {
			reason = outcome.ReasonFence
		}
		result := relay.NotRun(reason)
		result.Reached, result.RetryAfter = true, v.RetryAfter
		return result
	}
	if response.StatusCode/100 == 2 && (!v.Sealed || v.ID != r.ID || response.Header.Get("Content-Encoding") != "") {
		_ = response.Body.Close()
		return relay.Unknown(outcome.ReasonCrossed)
	}
	answer, err := relay.TakeAnswer(response)
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
