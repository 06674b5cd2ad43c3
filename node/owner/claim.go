package owner

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// claim records the ID of a non-idempotent request as running in the slice's window, if the
// window allows it. It waits for an earlier attempt that is still running, and until the
// timestamp of an ID that is slightly ahead of this node's clock.
func (r *requestRun) claim(ctx context.Context) *outcome.End {
	if !r.request.NonIdempotent {
		return nil
	}
	for {
		decision, earlierDone := r.beginAttempt()
		switch decision.Verdict {
		case outcome.Run:
			r.claimed = true
			return nil
		case outcome.Replay:
			return r.replay(decision)
		case outcome.RefuseUnknown:
			return &outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonStaleID}
		case outcome.RefuseAhead:
			return notRun(outcome.ReasonIDAhead)
		case outcome.Hold:
			if end := r.sleepUntilValid(ctx, decision.Wait); end != nil {
				return end
			}
		case outcome.InFlight:
			select {
			case <-earlierDone:
			case <-ctx.Done():
				return &outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonDuplicate}
			}
		}
	}
}

func (r *requestRun) beginAttempt() (outcome.Decision, <-chan struct{}) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	id := r.request.ID
	begin := r.slice.window.Begin
	if r.request.FirstSend {
		begin = r.slice.window.BeginFirst
	}
	decision := begin(id, time.Now())
	if decision.Verdict == outcome.Run {
		r.slice.running[id] = make(chan struct{})
	}
	return decision, r.slice.running[id]
}

func (r *requestRun) sleepUntilValid(ctx context.Context, wait time.Duration) *outcome.End {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return notRun(contextReason(ctx))
	case <-r.slice.closed:
		return notRun(r.slice.closeReason)
	}
}

// replay returns the outcome of an earlier attempt and, if that was answered and the answer is
// still kept, sends the answer to the caller.
func (r *requestRun) replay(decision outcome.Decision) *outcome.End {
	end := decision.End
	if end.Outcome != outcome.Answered {
		return &end
	}
	if decision.Answer == nil {
		return &outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerForgotten}
	}
	if err := r.sink.replay(decision.Answer); err != nil {
		return &outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonCancelled}
	}
	return &outcome.End{Outcome: outcome.Answered, Reason: outcome.ReasonReplayed}
}

// recordOutcome records the outcome of a claimed ID and wakes the requests that wait for it.
func (r *requestRun) recordOutcome(end outcome.End) {
	if !r.claimed {
		return
	}
	answer := r.sink.completeAnswer()
	if end.Outcome != outcome.Answered {
		answer = nil
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.slice.window.Finish(r.request.ID, end, answer)
	close(r.slice.running[r.request.ID])
	delete(r.slice.running, r.request.ID)
}
