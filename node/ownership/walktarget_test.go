package ownership

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// walkTarget is one simulated process of a target.
type walkTarget struct {
	id       string
	born     int64
	sequence int64
	nextBeat time.Duration
	// dead is the time before which the process does not run.
	dead   time.Duration
	slices [holding.Slices]walkHold
	// freed holds the handover tokens of the slices released since the last heartbeat.
	freed    map[int]string
	draining bool
}

// walkHold is the state of a slice at a target.
type walkHold struct {
	fence int64
	until time.Duration
	// busy is when the last request for the slice ends.
	busy time.Duration
	held bool
}

func (w *world) newTarget(i int) *walkTarget {
	return &walkTarget{
		id: fmt.Sprintf("t-%d", i), born: int64(w.now/time.Millisecond) + 1, freed: make(map[int]string),
		nextBeat: w.now + w.upTo(time.Second),
	}
}

// beat sends the target's heartbeat if it is due.
func (n *walker) beat() {
	w, t := n.world, n.target
	if n.gone || t == nil || w.now < t.dead || w.now < t.nextBeat || w.now < n.frozen {
		return
	}
	t.nextBeat = w.now + 870*time.Millisecond
	t.sequence++
	report := holding.Report{
		ID: t.id, Address: n.name, Service: walkService, Slots: 6, Born: t.born, Sequence: t.sequence, Draining: t.draining,
	}
	for i := range t.slices {
		if t.holds(i, w.now) || t.slices[i].busy > w.now {
			report.Held = append(report.Held, holding.Held{From: i * holding.SliceKeys, To: (i+1)*holding.SliceKeys - 1, Fence: t.slices[i].fence})
		}
	}
	for i, token := range t.freed {
		report.Freed = append(report.Freed, holding.Freed{From: i * holding.SliceKeys, To: (i+1)*holding.SliceKeys - 1, Handover: token})
	}
	grants, hold := n.Heartbeat(report)
	t.freed = make(map[int]string)
	if hold > 0 {
		t.take(w, n.name, grants, hold)
	}
}

func (t *walkTarget) holds(slice int, now time.Duration) bool {
	return t.slices[slice].held && now < t.slices[slice].until
}

// take applies the grants of a heartbeat response. The target's clock runs 2 % slow.
func (t *walkTarget) take(w *world, name string, grants []holding.Grant, hold time.Duration) {
	var named [holding.Slices]bool
	until := w.now + hold*102/100
	for _, g := range grants {
		for i := holding.SliceOf(g.From); i <= holding.SliceOf(g.To); i++ {
			named[i] = true
			h := &t.slices[i]
			if !t.holds(i, w.now) {
				w.begins(t, name, i, g.Fence)
			}
			h.held, h.fence, h.until = true, g.Fence, until
			if w.chance(0.02) {
				h.busy = w.now + w.upTo(700*time.Millisecond)
			}
		}
	}
	for i := range t.slices {
		if h := &t.slices[i]; h.held && !named[i] {
			if w.now < h.until {
				t.freed[i] = "token"
				t.nextBeat = w.now + 100*time.Millisecond
			}
			h.held = false
		}
		if t.slices[i].busy > w.now && !t.slices[i].held {
			t.nextBeat = w.now + 100*time.Millisecond
		}
	}
}

// begins checks the fence and the other holders of a slice that a target starts to hold.
func (w *world) begins(t *walkTarget, name string, slice int, fence int64) {
	if fence < w.fences[slice] {
		w.fail("%s takes slice %d with fence %d after fence %d", name, slice, fence, w.fences[slice])
	}
	for _, other := range w.nodes {
		if o := other.target; o != nil && o != t && !other.gone && w.now >= o.dead {
			if fence == w.fences[slice] && o.slices[slice].fence == fence {
				w.fail("%s takes slice %d with the same fence %d as %s", name, slice, fence, other.name)
			}
			if o.slices[slice].busy > w.now && o.holds(slice, w.now) {
				w.fail("%s takes slice %d while %s processes requests for it", name, slice, other.name)
			}
		}
	}
	w.fences[slice] = fence
}
