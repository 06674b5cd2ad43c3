package guard

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/turn"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

func (g *Guard) elapsed() time.Duration { return time.Since(g.begin) }

// await waits for a slot. It returns ReasonNone if the request got one, and otherwise the reason
// why not.
func (g *Guard) await(ctx context.Context, r *relay.Request, slots int) outcome.Reason {
	id, verdict, started := g.offer(r, slots)
	if verdict == turn.Wait {
		select {
		case verdict = <-started:
		case <-ctx.Done():
			g.abandon(id, started)
			return outcome.ReasonCancelled
		}
	}
	if verdict == turn.Drop {
		return outcome.ReasonShed
	}
	return outcome.ReasonNone
}

func (g *Guard) offer(r *relay.Request, slots int) (uint64, turn.Verdict, chan turn.Verdict) {
	now := g.elapsed()
	patience := min(time.Duration(patienceShare*float64(r.Objective)), r.Left())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(slots, slots*roomPerSlot)
	g.lastID++
	id := g.lastID
	verdict, displaced, isDisplaced := g.queue.Offer(now, turn.Item{ID: id, Priority: r.Priority, GiveUp: now + patience})
	if isDisplaced {
		g.tell(displaced, turn.Drop)
	}
	if verdict != turn.Wait {
		return id, verdict, nil
	}
	started := make(chan turn.Verdict, 1)
	g.waiting[id] = started
	g.setAlarm(now)
	return id, verdict, started
}

// tell delivers the queue's verdict to a waiting request; the caller holds the lock.
func (g *Guard) tell(id uint64, v turn.Verdict) {
	if started := g.waiting[id]; started != nil {
		started <- v
		delete(g.waiting, id)
	}
}

// abandon removes a cancelled request from the queue, or releases its slot if it already had
// one.
func (g *Guard) abandon(id uint64, started chan turn.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	if g.queue.Abandon(id) {
		return
	}
	if <-started == turn.Start {
		g.queue.Finish()
		g.dispatch(g.elapsed())
	}
}

func (g *Guard) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish()
	g.dispatch(g.elapsed())
}

// dispatch assigns free slots to queued requests; the caller holds the lock.
func (g *Guard) dispatch(now time.Duration) {
	for _, d := range g.queue.Next(now) {
		g.tell(d.ID, d.Verdict)
	}
	g.setAlarm(now)
}

func (g *Guard) setAlarm(now time.Duration) {
	if at, waits := g.queue.Deadline(); waits {
		g.alarm.Reset(max(0, at-now))
	}
}

func (g *Guard) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.elapsed())
}
