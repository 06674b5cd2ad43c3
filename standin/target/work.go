package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

// AnswerMessage is the JSON response to work that does not ask for a response size.
type AnswerMessage struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Target    string `json:"target"`
	Fence     string `json:"fence"`
	Execution uint64 `json:"execution"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
}

// work handles a work request: it refuses it, or waits for a slot and executes it.
func (t *Target) work(c echo.Context) error {
	q, err := parseRequest(c.Request())
	if err != nil {
		return err
	}
	if reason := t.refusalReason(&q); reason != "" {
		return refuse(c, reason)
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	a := attemptID{requestID: q.id, number: q.attempt}
	attempt := t.attempts.enqueue(a, cancel)
	if attempt == nil {
		return refuse(c, ReasonCancelled)
	}
	defer t.attempts.end(a, attempt)
	if reason := t.acquireSlot(ctx, &q); reason != "" {
		return refuse(c, reason)
	}
	defer func() { <-t.slots }()
	if reason := t.refusalReason(&q); reason != "" {
		return refuse(c, reason)
	}
	if !t.attempts.start(ctx, attempt) {
		return refuse(c, ReasonCancelled)
	}
	return t.execute(ctx, c, &q)
}

// refusalReason returns the reason to refuse the request now, or "" if it may start.
func (t *Target) refusalReason(q *request) Reason {
	switch {
	case t.State() == Starting:
		return ReasonStarting
	case t.State() == Draining:
		return ReasonDraining
	case q.expired():
		return ReasonDeadline
	case t.currentFaults().Shed:
		return ReasonShed
	default:
		return t.grantRefusalReason(q)
	}
}

// mayCommit reports whether the work of the request may commit now.
func (t *Target) mayCommit(q *request) bool {
	return !t.config.CheckFences || q.slice == "" || t.grants.mayCommit(q.slice, q.fence)
}

// grantRefusalReason returns the reason for which fence checks refuse the request now, or
// "".
func (t *Target) grantRefusalReason(q *request) Reason {
	if !t.config.CheckFences || q.slice == "" {
		return ""
	}
	return t.grants.check(q.slice, q.fence)
}

// acquireSlot waits for a free slot, first come, first served. It returns the reason to
// refuse the request if the queue is full or the wait ends without a slot.
func (t *Target) acquireSlot(ctx context.Context, q *request) Reason {
	select {
	case t.slots <- struct{}{}:
		return ""
	default:
	}
	if t.queued.Add(1) > int64(t.config.Queue) {
		t.queued.Add(-1)
		return ReasonShed
	}
	defer t.queued.Add(-1)
	if !q.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, q.deadline)
		defer cancel()
	}
	select {
	case t.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		if q.expired() {
			return ReasonDeadline
		}
		return ReasonCancelled
	}
}

// refuse answers that the request was not run, with the reason.
func refuse(c echo.Context, reason Reason) error {
	status := http.StatusServiceUnavailable
	if reason == ReasonFence || reason == ReasonLapsed {
		status = http.StatusPreconditionFailed
	}
	c.Response().Header().Set(HeaderNotRun, string(reason))
	c.Response().Header().Set(echo.HeaderRetryAfter, retryAfterSeconds)
	return c.JSON(status, refusalMessage{NotRun: reason})
}

type refusalMessage struct {
	NotRun Reason `json:"not_run"`
}

// execute simulates the work in the slot, logs its start and end, and answers.
func (t *Target) execute(ctx context.Context, c echo.Context, q *request) error {
	number := t.lastExecution.Add(1)
	entry := t.entry(q, number)
	if err := t.log.Write(entry); err != nil {
		return err
	}
	outcome := execlog.Cancelled
	defer func() {
		entry.Phase, entry.Outcome = execlog.End, outcome
		_ = t.log.Write(entry)
	}()
	if t.isPoisonKey(q.key) {
		entry.Phase, entry.Outcome = execlog.End, execlog.Crashed
		_ = t.log.Write(entry)
		t.config.Crash()
	}
	err := t.simulateWork(ctx, t.serviceTime(q.kind()))
	if !t.mayCommit(q) {
		// This takes precedence over other errors: a target that was frozen past the end of
		// its grant must not commit.
		outcome = execlog.Lapsed
		abortConnection()
	}
	if err != nil {
		abortConnection()
	}
	outcome = execlog.Cut
	if err := t.respond(ctx, c, q, number); err != nil {
		abortConnection()
	}
	outcome = execlog.Done
	return nil
}

// abortConnection closes the connection through net/http, so that the caller receives no
// complete response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func (t *Target) entry(q *request, number uint64) execlog.Entry {
	return execlog.Entry{
		Phase:       execlog.Start,
		Target:      t.config.Name,
		Incarnation: t.incarnation,
		Number:      number,
		Service:     q.service,
		Key:         q.key,
		Slice:       q.slice,
		Fence:       q.fence.String(),
		RequestID:   q.id,
		Attempt:     q.attempt,
		Method:      q.method,
		Subpath:     q.subpath,
	}
}

// simulateWork sleeps for d, and further while the target is frozen, to simulate work.
func (t *Target) simulateWork(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return t.waitWhileFrozen(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serviceTime returns a random service time for the kind, uniform between 0.5 and 1.5 times
// its mean and multiplied by the current slowdown.
func (t *Target) serviceTime(kind string) time.Duration {
	mean, ok := t.config.ServiceTimes[kind]
	if !ok {
		mean, ok = t.config.ServiceTimes[""]
	}
	if !ok {
		mean = defaultServiceTime
	}
	t.mu.Lock()
	spread := 0.5 + t.random.Float64()
	t.mu.Unlock()
	return time.Duration(float64(mean) * spread * t.slowdown())
}

// slowdown returns the factor by which the multiplier fault and the warm-up currently
// lengthen service times.
func (t *Target) slowdown() float64 {
	factor := 1.0
	if multiplier := t.currentFaults().Multiplier; multiplier > 0 {
		factor = multiplier
	}
	age := time.Since(t.started) - t.config.StartTime
	if age < t.config.ColdTime {
		remaining := 1 - float64(age)/float64(t.config.ColdTime)
		factor *= 1 + (t.config.ColdFactor-1)*remaining
	}
	return factor
}

func (t *Target) respond(ctx context.Context, c echo.Context, q *request, number uint64) error {
	if q.responseBytes > 0 {
		return t.stream(ctx, c, q, number)
	}
	return c.JSON(http.StatusOK, AnswerMessage{
		Service:   q.service,
		Key:       q.key,
		Target:    t.config.Name,
		Fence:     q.fence.String(),
		Execution: number,
		RequestID: q.id,
		Method:    q.method,
	})
}

// executions serves the execution log after the first n lines, given as the query parameter
// after, one JSON entry a line.
func (t *Target) executions(c echo.Context) error {
	after := 0
	if text := c.QueryParam("after"); text != "" {
		var err error
		if after, err = strconv.Atoi(text); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "malformed after")
		}
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	for _, entry := range t.log.After(after) {
		if err := encoder.Encode(entry); err != nil {
			return err
		}
	}
	return nil
}
