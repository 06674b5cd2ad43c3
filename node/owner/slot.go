package owner

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/target"
)

// shedRetryAfter is the delay after which a shed request may be retried.
const shedRetryAfter = time.Second

// awaitSlot requests a slot from the admission queue and waits for it. It returns the
// request's queue ID.
func (r *requestRun) awaitSlot(ctx context.Context) (uint64, *outcome.End) {
	id, decision := r.enqueue()
	if decision.Verdict == admission.Wait {
		decision = r.awaitDecision(ctx, id)
	}
	if decision.Verdict == admission.Start {
		return id, nil
	}
	end := notRun(decision.Reason)
	if end.Reason == outcome.ReasonShed || end.Reason == outcome.ReasonKeyShare {
		end.RetryAfter = shedRetryAfter
	}
	return id, end
}

func (r *requestRun) enqueue() (uint64, admission.Decision) {
	o := r.owner
	now := o.elapsed()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	work := admission.Work{
		ID:        o.lastID,
		Class:     workClass(r.request),
		Key:       keyHash(r.request),
		Deadline:  r.deadline.Sub(o.queueEpoch),
		Exclusive: r.suspect,
	}
	decision := o.queue.Offer(now, work)
	switch decision.Verdict {
	case admission.Start:
		o.usage.add(now, 1)
	case admission.Wait:
		r.decided = make(chan admission.Decision, 1)
		o.queued[work.ID] = r
		o.scheduleDispatch()
	}
	return work.ID, decision
}

// awaitDecision returns the queue's decision on a queued request. If ctx ends or the slice closes
// first, the request is removed from the queue, or its slot is released if it already had one.
func (r *requestRun) awaitDecision(ctx context.Context, id uint64) admission.Decision {
	var closed chan struct{}
	if r.slice != nil {
		closed = r.slice.closed
	}
	select {
	case decision := <-r.decided:
		return decision
	case <-ctx.Done():
		return r.withdraw(id, contextReason(ctx))
	case <-closed:
		return r.withdraw(id, r.slice.closeReason)
	}
}

// withdraw removes a queued request from the queue. If the queue has already started it, its slot
// is released.
func (r *requestRun) withdraw(id uint64, reason outcome.Reason) admission.Decision {
	o := r.owner
	now := o.elapsed()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queued, id)
	if !o.queue.Abandon(id) {
		if decision := <-r.decided; decision.Verdict == admission.Start {
			o.queue.Finish(now, id, false)
			o.usage.add(now, -1)
			o.dispatch(now)
		}
	}
	return admission.Decision{ID: id, Verdict: admission.Drop, Reason: reason}
}

// releaseSlot releases the slot and adds the time it was used to the slice's load.
func (r *requestRun) releaseSlot(id uint64, result target.CallResult) {
	o := r.owner
	now := o.elapsed()
	ran := result.Outcome == outcome.Answered
	o.mu.Lock()
	defer o.mu.Unlock()
	took := o.queue.Finish(now, id, ran)
	o.usage.add(now, -1)
	if result.Reason == outcome.ReasonTargetShed {
		o.queue.Pushback(now)
	}
	if r.slice != nil && result.Outcome != outcome.NotRun {
		r.slice.meter.Add(r.request.Key, uint64(took))
	}
	o.dispatch(now)
}

// dispatch delivers the queue's decisions: it starts queued requests on free slots and sheds
// others. The caller holds the lock.
func (o *Owner) dispatch(now time.Duration) {
	for _, decision := range o.queue.Next(now) {
		r, waits := o.queued[decision.ID]
		if !waits {
			continue
		}
		delete(o.queued, decision.ID)
		if decision.Verdict == admission.Start {
			o.usage.add(now, 1)
		}
		o.cfg.Metrics.observeQueueTime(decision.Waited)
		r.decided <- decision
	}
	o.scheduleDispatch()
}

// scheduleDispatch schedules the next dispatch if requests are queued; the caller holds the lock.
func (o *Owner) scheduleDispatch() {
	if wait, needed := o.queue.NextCheck(); needed {
		o.dispatchTimer.Reset(wait)
	}
}

// dispatchNow runs dispatch at the current time.
func (o *Owner) dispatchNow() {
	now := o.elapsed()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatch(now)
}
