package cell

import "time"

// simGrant is how long after a target froze its grants have lapsed.
const simGrant = 1500 * time.Millisecond

// abandon gives slices up for a target that has been suspect for as long as a grant lasts.
func (w *world) abandon(n *simNode, inc uint64, e AbandonSlices) {
	if !w.abandons || w.t-n.suspectAt < simGrant {
		return
	}
	for _, id := range e.Slices {
		w.ended(n, id)
	}
	w.step(n, inc, SlicesAbandoned{Slices: e.Slices})
}

// noteSuspect remembers when the target was last seen sound.
func (w *world) noteSuspect(n *simNode) {
	if n.target.State != TargetSuspect {
		n.suspectAt = w.t
	}
}
