package cell

import (
	"fmt"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// recordAdoption records the leases that a node adopts and checks them: no other node holds the
// slice, fences increase, and no unfenced request runs on another node's target.
func (w *world) recordAdoption(n *simNode, leases []AdoptedLease) {
	self := Node{n.name, n.incarnation}
	for _, l := range leases {
		until := n.simTime(l.Until)
		h, ok := w.holders[l.Slice]
		if ok && h.node != self && h.until > w.now {
			w.violate("slice %d: %s adopts %v while %s holds %v until %v", l.Slice.Index, n.name, l.Fence, h.node.Name, h.fence, h.until)
		}
		top := w.fences[l.Slice]
		if l.Fence.Less(top) || (ok && h.node.Name != n.name && l.Fence == top) {
			w.violate("slice %d: %s adopts fence %v, highest before is %v", l.Slice.Index, n.name, l.Fence, top)
		}
		if r, busy := w.running[l.Slice]; busy && !r.checks && r.node != n.name && r.until > w.now {
			w.violate("slice %d: %s adopts while %s's target, which does not check fences, may run a request", l.Slice.Index, n.name, r.node)
		}
		w.fences[l.Slice] = l.Fence
		w.holders[l.Slice] = simLease{node: self, fence: l.Fence, until: until}
	}
	w.checkHot()
}

func (w *world) recordEnd(n *simNode, id keyspace.SliceID) {
	if h, ok := w.holders[id]; ok && h.node == (Node{n.name, n.incarnation}) {
		h.until = min(h.until, w.now)
		w.holders[id] = h
	}
}

// loads returns random load reports for the slices that the node holds, some with a hot key.
func (w *world) loads(n *simNode) []SliceLoad {
	if w.faults.load == 0 || w.rng.Float64() > w.faults.load {
		return nil
	}
	var loads []SliceLoad
	for _, id := range sortedSlices(w.holders) {
		h := w.holders[id]
		if h.node != (Node{n.name, n.incarnation}) || h.until <= w.now {
			continue
		}
		l := SliceLoad{Slice: id, WorkMillis: uint32(w.rng.IntN(3000)), Requests: 10}
		l.HotKey, l.HotShare = w.hotKey(id), 800
		loads = append(loads, l)
	}
	return loads
}

// hotKey returns a random key of the slice, "" if three tries find none.
func (w *world) hotKey(id keyspace.SliceID) string {
	for range 3 {
		key := fmt.Sprintf("%c%d", 'a'+w.rng.IntN(26), w.rng.IntN(4))
		for _, r := range w.sheets[len(w.sheets)-1].Services[0].Ranges {
			if r.Contains(key) && r.SliceOf(key) == id {
				return key
			}
		}
	}
	return ""
}

// checkHot checks that no hot key is served by two nodes, one that holds its base slice and
// another that holds its own slice.
func (w *world) checkHot() {
	for _, o := range w.store.objects {
		for i := range o.rec.Ranges {
			rr := &o.rec.Ranges[i]
			for j, key := range rr.Hot {
				own := w.holders[keyspace.SliceID{Range: rr.Range.ID(), Index: rr.Range.Slices + uint32(j)}]
				base := w.holders[rr.Range.SliceOf(key)]
				if own.until <= w.now || base.until <= w.now || own.node.Name == base.node.Name {
					continue
				}
				if n := w.nodes[base.node.Name]; n.machine != nil && n.machine.table.SliceOf(rr.Range, key) == rr.Range.SliceOf(key) {
					w.violate("key %s: served by %s in its base slice and by %s in its own", key, base.node.Name, own.node.Name)
				}
			}
		}
	}
}

// startRuns starts a request on the node's target for each held slice that is not draining and
// has no request running.
func (w *world) startRuns(n *simNode) {
	if !n.targetAlive || w.faults.runFor == 0 {
		return
	}
	for id, h := range w.holders {
		if h.node != (Node{n.name, n.incarnation}) || h.until <= w.now || n.machine.holder.draining[id].number != 0 {
			continue
		}
		if r, busy := w.running[id]; !busy || r.until <= w.now {
			w.running[id] = simRun{node: n.name, checks: n.target.ChecksFences, until: w.now + w.faults.runFor}
		}
	}
}
