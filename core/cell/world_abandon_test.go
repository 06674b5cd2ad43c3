package cell

import "time"

// simGrant is the time after a target froze when all its grants have lapsed.
const simGrant = 1500 * time.Millisecond

// abandon simulates the request side: it gives slices up once the target has been suspect for
// simGrant.
func (w *world) abandon(n *simNode, inc uint64, e AbandonSlices) {
	if !w.abandons || w.now-n.lastNotSuspectAt < simGrant {
		return
	}
	for _, id := range e.Slices {
		w.recordEnd(n, id)
	}
	w.step(n, inc, SlicesAbandoned{Slices: e.Slices})
}

// recordNotSuspect records when the target was last not suspect.
func (w *world) recordNotSuspect(n *simNode) {
	if n.target.State != TargetSuspect {
		n.lastNotSuspectAt = w.now
	}
}
