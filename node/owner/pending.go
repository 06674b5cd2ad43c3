package owner

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/target"
)

const (
	// pendingPeriod is how often the target is asked what became of calls in doubt.
	pendingPeriod = 500 * time.Millisecond
	// pendingBatch bounds the calls asked about in one period.
	pendingBatch = 16
	// pendingTimeout bounds one question.
	pendingTimeout = time.Second
)

// pendingCall is a call that ended in doubt and may still run on the target.
type pendingCall struct {
	callID      string
	attempt     uint64
	incarnation uint64
	slice       *slice
	// requestID is the id in the slice's window; zero if the request has none there.
	requestID ulid.ULID
}

// followPending asks the target about calls in doubt until ctx ends.
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

// resolve takes a call off the list; the caller holds the lock and runs what is returned
// after releasing it.
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

// resolveIncarnation takes all calls of a process that has ended off the list; the caller holds
// the lock.
func (o *Owner) resolveIncarnation(incarnation uint64) []func() {
	var freed []func()
	for call := range o.pending {
		if call.incarnation == incarnation {
			freed = append(freed, o.resolve(call, target.CallFinished)...)
		}
	}
	return freed
}
