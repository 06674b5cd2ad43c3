package ownership

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// simTarget is one simulated process of a target.
type simTarget struct {
	id            string
	born          int64
	sequence      int64
	nextHeartbeat time.Duration
	// startsAt is the time before which the process does not run.
	startsAt time.Duration
	slices   [holding.SliceCount]simSlice
	// freed holds the handover tokens of the slices released since the last heartbeat.
	freed    map[int]string
	draining bool
	// late is a heartbeat that arrives at lateUntil, perhaps at a later process of the node; nil if there is none.
	late      *holding.Report
	lateUntil time.Duration
}

// simSlice is the state of a slice at a target.
type simSlice struct {
	fence     int64
	heldUntil time.Duration
	// busyUntil is when the last request for the slice ends.
	busyUntil time.Duration
	held      bool
}

func (sim *simulation) newTarget(i int) *simTarget {
	return &simTarget{
		id: fmt.Sprintf("t-%d", i), born: int64(sim.now/time.Millisecond) + 1, freed: make(map[int]string),
		nextHeartbeat: sim.now + sim.randomUpTo(time.Second),
	}
}

// heartbeat sends the target's heartbeat if it is due.
func (n *simNode) heartbeat() {
	sim, t := n.sim, n.target
	if !n.gone && t != nil && t.late != nil && sim.now >= t.lateUntil && sim.now >= n.frozenUntil {
		n.Heartbeat(*t.late)
		t.late = nil
	}
	if n.gone || t == nil || sim.now < t.startsAt || sim.now < t.nextHeartbeat || sim.now < n.frozenUntil {
		return
	}
	t.nextHeartbeat = sim.now + 870*time.Millisecond
	t.sequence++
	report := holding.Report{
		ID: t.id, Address: n.name, Service: simService, Slots: 6, Born: t.born, Sequence: t.sequence, Draining: t.draining,
	}
	for i := range t.slices {
		if t.holdsSlice(i, sim.now) || t.slices[i].busyUntil > sim.now {
			report.Held = append(report.Held, holding.Held{From: i * holding.SliceKeys, To: (i+1)*holding.SliceKeys - 1, Fence: t.slices[i].fence})
		}
	}
	for i, token := range t.freed {
		report.Freed = append(report.Freed, holding.Freed{From: i * holding.SliceKeys, To: (i+1)*holding.SliceKeys - 1, Handover: token})
	}
	if sim.chance(0.02) {
		// The target takes no response that comes later than a second after its heartbeat.
		t.late, t.lateUntil = &report, sim.now+second+sim.randomUpTo(3*second)
		return
	}
	grants, hold := n.Heartbeat(report)
	t.freed = make(map[int]string)
	for _, g := range grants {
		if !t.holdsSlice(holding.SliceOf(g.From), sim.now) && sim.chance(0.1) {
			// A request overtakes the response.
			n.ReportKeyNotHeld(t.id, t.born, g.From)
		}
	}
	if hold > 0 {
		t.applyGrants(sim, n.name, grants, hold)
	}
}

func (t *simTarget) holdsSlice(slice int, now time.Duration) bool {
	return t.slices[slice].held && now < t.slices[slice].heldUntil
}

// applyGrants applies the grants of a heartbeat response. The target's clock runs 2 % slow.
func (t *simTarget) applyGrants(sim *simulation, name string, grants []holding.Grant, hold time.Duration) {
	var granted [holding.SliceCount]bool
	until := sim.now + hold*102/100
	for _, g := range grants {
		for i := holding.SliceOf(g.From); i <= holding.SliceOf(g.To); i++ {
			granted[i] = true
			h := &t.slices[i]
			if !t.holdsSlice(i, sim.now) {
				sim.checkTake(t, name, i, g.Fence)
			}
			h.held, h.fence, h.heldUntil = true, g.Fence, until
			if sim.chance(0.02) {
				h.busyUntil = sim.now + sim.randomUpTo(700*time.Millisecond)
			}
		}
	}
	for i := range t.slices {
		if h := &t.slices[i]; h.held && !granted[i] {
			if sim.now < h.heldUntil {
				t.freed[i] = "token"
				t.nextHeartbeat = sim.now + 100*time.Millisecond
			}
			h.held = false
		}
		if t.slices[i].busyUntil > sim.now && !t.slices[i].held {
			t.nextHeartbeat = sim.now + 100*time.Millisecond
		}
	}
}

// checkTake checks the fence and the other holders of a slice that a target starts to hold.
func (sim *simulation) checkTake(t *simTarget, name string, slice int, fence int64) {
	if fence < sim.fences[slice] {
		sim.fail("%s takes slice %d with fence %d after fence %d", name, slice, fence, sim.fences[slice])
	}
	for _, other := range sim.nodes {
		if o := other.target; o != nil && o != t && !other.gone && sim.now >= o.startsAt {
			if fence == sim.fences[slice] && o.slices[slice].fence == fence {
				sim.fail("%s takes slice %d with the same fence %d as %s", name, slice, fence, other.name)
			}
			if o.slices[slice].busyUntil > sim.now && o.holdsSlice(slice, sim.now) {
				sim.fail("%s takes slice %d while %s processes requests for it", name, slice, other.name)
			}
		}
	}
	sim.fences[slice] = fence
}
