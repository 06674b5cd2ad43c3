package guard

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

func (g *Guard) elapsed() time.Duration { return time.Since(g.queueEpoch) }

// awaitSlot waits for a slot and for the target's limit. It returns ReasonNone if the request may be sent, with the id
// under which the slot is released, and otherwise the reason why not, with the time after which another attempt may
// succeed.
func (g *Guard) awaitSlot(ctx context.Context, r *relay.Request, local ownership.LocalTarget) (uint64, outcome.End) {
	item, verdict, decided := g.enqueue(r, local)
	if verdict == slotqueue.Wait {
		select {
		case verdict = <-decided:
		case <-ctx.Done():
			g.withdraw(item.ID, decided)
			return 0, outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonCancelled}
		}
	}
	if verdict == slotqueue.Drop {
		return 0, g.shed(item)
	}
	return item.ID, outcome.End{}
}

// shed returns the end of a request that the queue has dropped. Its RetryAfter is the time that a request of the same
// kind would wait now.
func (g *Guard) shed(item slotqueue.Item) outcome.End {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.elapsed()
	end := outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonShed, RetryAfter: g.queue.ExpectedWait(now, item)}
	if g.queue.RefusesByLimit() {
		end.Reason, end.RetryAfter = outcome.ReasonTargetLimit, g.queue.Backlog(now)
		g.countColdRefusal()
	}
	return end
}

func (g *Guard) enqueue(r *relay.Request, local ownership.LocalTarget) (slotqueue.Item, slotqueue.Verdict, chan slotqueue.Verdict) {
	now := g.elapsed()
	remaining := max(r.Remaining(), 0)
	slowdown := g.slowdown()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(local.Slots, local.Slots*queueCapacityPerSlot)
	g.queue.SetLimit(now, g.limits.Limit(processOf(local)))
	g.queue.SetSlowdown(slowdown)
	g.followTarget(local)
	g.refreshCold(now, true)
	g.lastID++
	item := slotqueue.Item{
		ID: g.lastID, Priority: r.Priority, Deadline: now + min(time.Duration(maxQueueShare*float64(r.Objective)), remaining),
		Class:   classOf(r),
		Expires: now + remaining,
	}
	g.health.useClass(item.Class)
	verdict, displaced, isDisplaced := g.queue.Offer(now, item)
	if verdict == slotqueue.Drop {
		g.metrics.QueueRefusal(true)
	}
	if isDisplaced {
		g.metrics.QueueRefusal(false)
		g.deliverVerdict(displaced, slotqueue.Drop)
	}
	if verdict == slotqueue.Start {
		g.countStart()
	}
	if verdict != slotqueue.Wait {
		return item, verdict, nil
	}
	decided := make(chan slotqueue.Verdict, 1)
	g.queued[item.ID] = decided
	// The new request may have left less urgent ones without a turn before their deadlines.
	g.dispatch(now)
	return item, verdict, decided
}

// deliverVerdict delivers the queue's verdict to a waiting request; the caller holds the lock.
func (g *Guard) deliverVerdict(id uint64, v slotqueue.Verdict) {
	if decided := g.queued[id]; decided != nil {
		decided <- v
		delete(g.queued, id)
	}
	if v == slotqueue.Start {
		g.countStart()
	}
}

// withdraw removes a cancelled request from the queue, or releases its slot if it already had
// one.
func (g *Guard) withdraw(id uint64, decided chan slotqueue.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.queued, id)
	if g.queue.Abandon(id) {
		return
	}
	if <-decided == slotqueue.Start {
		now := g.elapsed()
		g.queue.Finish(now, id, false)
		g.cold.unsent--
		g.dispatch(now)
	}
}

// releaseSlot frees the slot of a request; answered tells whether the target answered it.
func (g *Guard) releaseSlot(id uint64, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.elapsed()
	g.queue.Finish(now, id, answered)
	g.dispatch(now)
}

// dispatch assigns free slots to queued requests; the caller holds the lock.
func (g *Guard) dispatch(now time.Duration) {
	g.refreshCold(now, false)
	for _, d := range g.queue.Next(now) {
		if d.Verdict == slotqueue.Drop {
			g.metrics.QueueRefusal(false)
		}
		g.deliverVerdict(d.ID, d.Verdict)
	}
	g.scheduleDispatch(now)
}

func (g *Guard) scheduleDispatch(now time.Duration) {
	if at, waits := g.queue.NextDecision(now); waits {
		g.dispatchTimer.Reset(max(0, at-now))
	}
}

func (g *Guard) dispatchNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.elapsed())
}
