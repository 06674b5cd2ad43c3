package owner

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/target"
)

const (
	// pendingPeriod is the interval at which the target is polled about unresolved calls.
	pendingPeriod = 500 * time.Millisecond
	// pendingBatch bounds the calls polled in one period.
	pendingBatch = 16
	// pendingTimeout bounds one poll of a call.
	pendingTimeout = time.Second
)

// pendingCall is an unresolved call: its outcome is unknown and it may still run on the target.
type pendingCall struct {
	callID      string
	attempt     uint64
	incarnation uint64
	slice       *slice
	// requestID is the request's ID in the slice's window; zero if the window has no entry.
	requestID ulid.ULID
}

// followPending polls the target about unresolved calls until ctx ends.
func (o *Owner) followPending(ctx context.Context) {
	ticker := time.NewTicker(pendingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, call := range o.somePending() {
			o.ask(ctx, call)
		}
	}
}

func (o *Owner) somePending() []*pendingCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	var calls []*pendingCall
	for call := range o.pending {
		if len(calls) == pendingBatch {
			break
		}
		calls = append(calls, call)
	}
	return calls
}

func (o *Owner) ask(ctx context.Context, call *pendingCall) {
	if o.target.Info().Incarnation != call.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	state := o.target.Cancel(ctx, call.callID, call.attempt)
	if state == target.CallUnknown {
		return
	}
	o.mu.Lock()
	freed := o.resolve(call, state)
	o.mu.Unlock()
	runAll(freed)
}

// resolve removes a call that cannot be running any more. If the target cancelled it before it
// started, the window records it as not run, so that a resend may run. The caller holds the lock
// and runs the returned functions after releasing it.
func (o *Owner) resolve(call *pendingCall, state target.CallState) []func() {
	if _, listed := o.pending[call]; !listed {
		return nil
	}
	delete(o.pending, call)
	s := call.slice
	if s == nil {
		return nil
	}
	s.pending--
	if state == target.CallCancelled && call.requestID != (ulid.ULID{}) {
		s.window.Amend(call.requestID, outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonCancelled})
	}
	return o.settled(s)
}

// resolveIncarnation resolves all calls to a target process that has ended. The caller holds the
// lock and runs the returned functions after releasing it.
func (o *Owner) resolveIncarnation(incarnation uint64) []func() {
	var freed []func()
	for call := range o.pending {
		if call.incarnation == incarnation {
			freed = append(freed, o.resolve(call, target.CallFinished)...)
		}
	}
	return freed
}
