package owner

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/target"
)

const (
	// pollInterval is the interval at which the target is polled about unresolved calls.
	pollInterval = 500 * time.Millisecond
	// pollBatch bounds the calls polled in one interval.
	pollBatch = 16
	// pollTimeout bounds one poll of a call.
	pollTimeout = time.Second
)

// unresolvedCall is a call whose outcome is unknown and that may still run on the target.
type unresolvedCall struct {
	callID      string
	attempt     uint64
	incarnation uint64
	slice       *slice
	// requestID is the request's ID in the slice's window; zero if the window has no entry.
	requestID ulid.ULID
}

// pollUnresolved polls the target about unresolved calls until ctx ends.
func (o *Owner) pollUnresolved(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, call := range o.unresolvedBatch() {
			o.pollCall(ctx, call)
		}
	}
}

func (o *Owner) unresolvedBatch() []*unresolvedCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	var calls []*unresolvedCall
	for call := range o.unresolved {
		if len(calls) == pollBatch {
			break
		}
		calls = append(calls, call)
	}
	return calls
}

// pollCall asks the target to cancel the call, and resolves it if the target knows its state.
func (o *Owner) pollCall(ctx context.Context, call *unresolvedCall) {
	if o.target.Info().Incarnation != call.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state := o.target.Cancel(ctx, call.callID, call.attempt)
	if state == target.CallUnknown {
		return
	}
	o.mu.Lock()
	callbacks := o.resolve(call, state)
	o.mu.Unlock()
	callAll(callbacks)
}

// resolve removes a call that cannot be running any more. If the target cancelled it before it
// started, the window records it as not run, so that a resend may run. The caller holds the lock
// and runs the returned functions after releasing it.
func (o *Owner) resolve(call *unresolvedCall, state target.CallState) []func() {
	if _, listed := o.unresolved[call]; !listed {
		return nil
	}
	delete(o.unresolved, call)
	s := call.slice
	if s == nil {
		return nil
	}
	s.unresolved--
	if state == target.CallCancelled && call.requestID != (ulid.ULID{}) {
		s.window.Amend(call.requestID, outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonCancelled})
	}
	return o.requestEnded(s)
}

// resolveIncarnation resolves all calls to a target process that has ended. The caller holds the
// lock and runs the returned functions after releasing it.
func (o *Owner) resolveIncarnation(incarnation uint64) []func() {
	var callbacks []func()
	for call := range o.unresolved {
		if call.incarnation == incarnation {
			callbacks = append(callbacks, o.resolve(call, target.CallFinished)...)
		}
	}
	return callbacks
}
