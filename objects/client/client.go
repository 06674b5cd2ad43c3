// Package client wraps an objects.Store for long-running processes. It adds a call budget per
// process, retries with jitter within the deadline, resolution of lost write responses by reading
// back the write id, resumable watches, and metrics.
//
// The package holds no locks of its own; the rate limiter of the budget is safe for concurrent use.
package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	defaultCallsPerSecond = 5
	defaultBurst          = 20
	defaultTimeout        = 10 * time.Second
	defaultAttemptTimeout = time.Second
	defaultPollTimeout    = 7 * time.Second
	defaultFirstBackoff   = 20 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second

	// minBudgetWait is the shortest wait between two checks of the budget.
	minBudgetWait = time.Millisecond
)

// ErrSuperseded marks a write of unknown outcome that is no longer pending: another write has
// changed or deleted the object, so this write either took effect and was replaced, or never will.
var ErrSuperseded = errors.New("object was changed by another write")

// Options configure a Client; zero values select the defaults.
type Options struct {
	// CallsPerSecond is the call budget of the process. Each attempt and each poll counts as one
	// call. 5 by default.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once after an idle period; 20 by default.
	Burst int
	// Timeout bounds a call with its retries if its context has no deadline; 10 s by default.
	Timeout time.Duration
	// AttemptTimeout bounds the first attempt of a call; the bound doubles with each further
	// attempt. 1 s by default.
	AttemptTimeout time.Duration
	// PollTimeout bounds a poll and must exceed the store's wait time; 7 s by default.
	PollTimeout time.Duration
	// FirstBackoff and MaxBackoff bound the pause between attempts; 20 ms and 2 s by default.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Client is an objects.Store that wraps another one. It is safe for concurrent use.
type Client struct {
	store   objects.Store
	options Options
	budget  *rate.Limiter
	// reserve is the number of calls of the burst that this client leaves to other clients.
	reserve int
	metrics *metrics
}

var _ objects.Store = (*Client)(nil)

// New returns a client that wraps store.
func New(store objects.Store, o Options) *Client {
	o = withDefaults(o)
	return &Client{
		store:   store,
		options: o,
		budget:  rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.Burst),
		metrics: newMetrics(o.Registerer),
	}
}

// LowPriority returns a client for low-priority calls. It shares the budget and the metrics and
// leaves half of the burst to c.
func (c *Client) LowPriority() *Client {
	lowPriority := *c
	lowPriority.reserve = c.options.Burst / 2
	return &lowPriority
}

func withDefaults(o Options) Options {
	setDefault(&o.CallsPerSecond, defaultCallsPerSecond)
	setDefault(&o.Burst, defaultBurst)
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&o.PollTimeout, defaultPollTimeout)
	setDefault(&o.FirstBackoff, defaultFirstBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	return o
}

func setDefault[T time.Duration | float64 | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// NewWriteID returns a unique id for a write.
func NewWriteID() string { return ulid.Make().String() }

// Get implements objects.Store. It retries while the store is unavailable.
func (c *Client) Get(ctx context.Context, key string) (objects.Object, error) {
	return read(ctx, c, callGet, func(ctx context.Context) (objects.Object, error) {
		return c.store.Get(ctx, key)
	})
}

// List implements objects.Store. It retries while the store is unavailable.
func (c *Client) List(ctx context.Context, prefix string) (objects.Listing, error) {
	return read(ctx, c, callList, func(ctx context.Context) (objects.Listing, error) {
		return c.store.List(ctx, prefix)
	})
}

// Poll implements objects.Store. It makes one attempt; Watch retries.
func (c *Client) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.PollTimeout)
	defer cancel()
	return call(ctx, c, callPoll, func(ctx context.Context) (objects.Batch, error) {
		return c.store.Poll(ctx, prefix, after)
	})
}

// read repeats an idempotent call until it succeeds, fails permanently or its deadline passes.
func read[T any](
	ctx context.Context, c *Client, kind callKind, do func(context.Context) (T, error),
) (T, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	retry := c.newRetryState()
	for {
		value, err := attemptCall(ctx, c, kind, retry, do)
		if !errors.Is(err, objects.ErrUnavailable) {
			return value, err
		}
		if retry.pause(ctx) != nil {
			return value, err
		}
	}
}

// withDeadline adds the default deadline to a context that has none.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// attemptCall makes one call with the timeout of the current attempt.
func attemptCall[T any](
	ctx context.Context, c *Client, kind callKind, retry *retryState, do func(context.Context) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, retry.timeout)
	defer cancel()
	return call(ctx, c, kind, do)
}

// call takes one call from the budget, makes it and records its metrics.
func call[T any](
	ctx context.Context, c *Client, kind callKind, do func(context.Context) (T, error),
) (T, error) {
	if err := c.acquire(ctx); err != nil {
		c.metrics.count(kind, err)
		var zero T
		return zero, errors.Wrapf(err, "%s", kind)
	}
	start := time.Now()
	value, err := do(ctx)
	c.metrics.observe(kind, time.Since(start))
	c.metrics.count(kind, err)
	return value, err
}

// acquire takes one call from the budget, waiting for it if the wait fits the deadline. It fails with
// ErrBudgetExhausted only if the budget is exhausted, not because the context has ended.
func (c *Client) acquire(ctx context.Context) error {
	if c.reserve > 0 {
		return c.acquireAboveReserve(ctx)
	}
	if c.budget.Allow() {
		return nil
	}
	if err := c.budget.Wait(ctx); err != nil {
		return errors.Wrapf(objects.ErrBudgetExhausted, "%v", err)
	}
	return nil
}

// acquireAboveReserve waits until it can take a call and still leave the reserve untouched.
func (c *Client) acquireAboveReserve(ctx context.Context) error {
	for {
		missing := float64(c.reserve) + 1 - c.budget.Tokens()
		if missing <= 0 && c.budget.Allow() {
			return nil
		}
		wait := max(minBudgetWait, time.Duration(missing/c.options.CallsPerSecond*float64(time.Second)))
		if sleep(ctx, wait) != nil {
			return errors.Wrap(objects.ErrBudgetExhausted, "the remaining budget is reserved for other calls")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryState holds the backoff and the timeout of the attempts of one call.
type retryState struct {
	backoff *backoff.ExponentialBackOff
	timeout time.Duration
}

func (c *Client) newRetryState() *retryState {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = c.options.FirstBackoff
	exponential.MaxInterval = c.options.MaxBackoff
	exponential.Reset()
	return &retryState{backoff: exponential, timeout: c.options.AttemptTimeout}
}

// pause doubles the timeout and waits for the backoff. It fails if the context ends first.
func (r *retryState) pause(ctx context.Context) error {
	r.timeout *= 2
	return sleep(ctx, r.backoff.NextBackOff())
}
