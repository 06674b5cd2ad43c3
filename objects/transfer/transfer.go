// Package transfer separates the wait for a response from its receipt. The deadline of a call bounds
// the wait; a response that has begun to arrive is bounded by its progress. Otherwise a large response
// over a slow link would be cut at the deadline, and the repeated call would load the link again.
package transfer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// StallTimeout is how long a response may make no progress. It covers the retransmission of a packet
	// that was lost on a link between regions.
	StallTimeout = 600 * time.Millisecond
	// maxDuration bounds the receipt of a response that makes progress.
	maxDuration = 15 * time.Second
)

var (
	// ErrWaitEnded is a cause of cancellation that, like a deadline, ends only the wait for a response.
	ErrWaitEnded = errors.New("wait for a response ended")
	// ErrStalled reports a response that made no progress for StallTimeout.
	ErrStalled = errors.New("response makes no progress")
	// ErrTooSlow reports a response that was not complete in time in spite of its progress.
	ErrTooSlow = errors.New("response took too long")
)

// observerKey is the key of the function that WithObserver adds to a context.
type observerKey struct{}

// WithObserver returns a context whose calls run observe when their response begins to arrive.
func WithObserver(ctx context.Context, observe func()) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// Call is the context of one call whose response may outlast the deadline. It is used by one goroutine.
type Call struct {
	context.Context
	cancel    context.CancelCauseFunc
	detach    func() bool
	receiving atomic.Bool
}

// NewCall returns a Call that ends with ctx until the response begins to arrive (see ReadAll). After
// that, the deadline of ctx and a cancellation with ErrWaitEnded have no effect on it, nor has what
// happens to ctx after one of them. Close must be called.
func NewCall(ctx context.Context) *Call {
	c := &Call{}
	c.Context, c.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	c.detach = context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if c.receiving.Load() && errors.IsAny(cause, context.DeadlineExceeded, ErrWaitEnded) {
			return
		}
		c.cancel(cause)
	})
	return c
}

// Close ends the call.
func (c *Call) Close() {
	c.detach()
	c.cancel(context.Canceled)
}

// ReadAll reads the body of the call's response, at most limit bytes. It cancels the call and fails if
// the body makes no progress for StallTimeout or takes too long in total; it returns what was read.
func (c *Call) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	c.receiving.Store(true)
	if observe, ok := c.Value(observerKey{}).(func()); ok {
		observe()
	}
	stalled := time.AfterFunc(StallTimeout, func() { c.cancel(ErrStalled) })
	defer stalled.Stop()
	tooSlow := time.AfterFunc(maxDuration, func() { c.cancel(ErrTooSlow) })
	defer tooSlow.Stop()
	data, err := io.ReadAll(&progressReader{reader: io.LimitReader(body, limit), stalled: stalled})
	if err != nil {
		err = errors.Wrapf(err, "read response (%v)", context.Cause(c))
	}
	return data, err
}

// progressReader restarts a timer with each read that returns data.
type progressReader struct {
	reader  io.Reader
	stalled *time.Timer
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.stalled.Reset(StallTimeout)
	}
	return n, err
}
