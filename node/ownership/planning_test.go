package ownership

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// TestPlanningAtRestDoesNotGrowWithTheFleet lets all nodes check a table that needs no change for ten seconds,
// as often as the wake-ups of a fleet make them.
func TestPlanningAtRestDoesNotGrowWithTheFleet(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		length   = 10 * time.Second
	)
	perSecond := func(nodes int) float64 {
		now, checks := 3*time.Second, 0
		f := newFleet(nodes)
		for node := range nodes {
			o := f.newObserver(node, func() time.Duration { return now })
			granted := false
			o.cfg.ResponseLimit.GrantBytes = func(holding.Grant) int { granted = true; return 11 }
			for began := now; now < began+length; now += interval {
				keepLive(o, now)
				if granted = false; o.plan("k") != nil {
					t.Fatal("the balanced table needs a change")
				}
				if granted {
					checks++
				}
			}
		}
		return float64(checks) / length.Seconds()
	}
	small, large := perSecond(9), perSecond(72)
	t.Logf("%.1f checks a second by 9 nodes, %.1f by 72", small, large)
	if large > 2*small {
		t.Errorf("%.1f checks a second by 72 nodes, %.1f by 9", large, small)
	}
}

// keepLive has the node read renewed leases of all nodes and receive a heartbeat of its target.
func keepLive(o *Ownership, now time.Duration) {
	for _, p := range o.peers {
		p.watch.Seen = now
	}
	o.entriesReadAt = now
	if o.target != nil {
		o.target.heartbeatAt = now
	}
}

// TestNextNodePlansWhenTheFirstDoesNot removes a target's slices from the table while the first nodes are live
// but write nothing.
func TestNextNodePlansWhenTheFirstDoesNot(t *testing.T) {
	for _, node := range []int{0, 1, 2, 4} {
		now := 3 * time.Second
		f := newFleet(9)
		o := f.newObserver(node, func() time.Duration { return now })
		if o.plan("k") != nil {
			t.Fatal("the balanced table needs a change")
		}
		now += 50 * time.Millisecond
		without := o.tables["k"].Clone()
		without.RemoveOwner(without.Owners[len(without.Owners)-1])
		o.tables["k"] = &table{Table: without, version: 2}
		began := now
		for o.plan("k") == nil && now < began+10*time.Second {
			now += o.cfg.Timing.ReconcileInterval
			keepLive(o, now)
		}
		// Each node leaves the change to those before it, and finds that it is needed in half that time at most.
		limit := time.Duration(node)*o.cfg.Timing.RankDelay*3/2 + o.cfg.Timing.ReconcileInterval
		if took := now - began; took > limit {
			t.Errorf("node of rank %d planned after %s, wanted %s", node, took, limit)
		}
	}
}
