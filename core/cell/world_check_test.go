package cell

import (
	"fmt"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// adopted checks the leases that a node takes against every other node's.
func (w *world) adopted(n *simNode, leases []Adoption) {
	self := Node{n.name, n.inc}
	for _, l := range leases {
		until := n.real(l.Until)
		h, ok := w.holders[l.Slice]
		if ok && h.node != self && h.until > w.t {
			w.violate("slice %d: %s adopts %v while %s holds %v until %v", l.Slice.Index, n.name, l.Fence, h.node.Name, h.fence, h.until)
		}
		top := w.fences[l.Slice]
		if l.Fence.Less(top) || (ok && h.node.Name != n.name && l.Fence == top) {
			w.violate("slice %d: %s adopts fence %v, highest before is %v", l.Slice.Index, n.name, l.Fence, top)
		}
		if r, busy := w.running[l.Slice]; busy && !r.checks && r.node != n.name && r.until > w.t {
			w.violate("slice %d: %s adopts while %s's target, which checks no fences, may run a request", l.Slice.Index, n.name, r.node)
		}
		w.fences[l.Slice] = l.Fence
		w.holders[l.Slice] = simLease{node: self, fence: l.Fence, until: until}
	}
	w.checkHot()
}

func (w *world) ended(n *simNode, id keyspace.SliceID) {
	if h, ok := w.holders[id]; ok && h.node == (Node{n.name, n.inc}) {
		h.until = min(h.until, w.t)
		w.holders[id] = h
	}
}

// loads reports work on some held slices, now and then with a hot key.
func (w *world) loads(n *simNode) []SliceLoad {
	if w.chaos.load == 0 || w.rng.Float64() > w.chaos.load {
		return nil
	}
	var loads []SliceLoad
	for _, id := range sortedSlices(w.holders) {
		h := w.holders[id]
		if h.node != (Node{n.name, n.inc}) || h.until <= w.t {
			continue
		}
		l := SliceLoad{Slice: id, WorkMillis: uint32(w.rng.IntN(3000)), Requests: 10}
		l.HotKey, l.HotShare = w.hotKey(id), 800
		loads = append(loads, l)
	}
	return loads
}

// hotKey returns a key of the slice, empty if a few tries find none.
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

// checkHot checks that nobody serves a key with a slice of its own under its base slice
// beside the holder of its own.
func (w *world) checkHot() {
	for _, o := range w.store.objects {
		for i := range o.rec.Ranges {
			rr := &o.rec.Ranges[i]
			for j, key := range rr.Hot {
				own := w.holders[keyspace.SliceID{Range: rr.Range.ID(), Index: rr.Range.Slices + uint32(j)}]
				base := w.holders[rr.Range.SliceOf(key)]
				if own.until <= w.t || base.until <= w.t || own.node.Name == base.node.Name {
					continue
				}
				if n := w.nodes[base.node.Name]; n.m != nil && n.m.table.SliceOf(rr.Range, key) == rr.Range.SliceOf(key) {
					w.violate("key %s: served by %s in its base slice and by %s in its own", key, base.node.Name, own.node.Name)
				}
			}
		}
	}
}

// startRuns lets the node's target execute a request of each slice now and then.
func (w *world) startRuns(n *simNode) {
	if !n.targetAlive || w.chaos.runFor == 0 {
		return
	}
	for id, h := range w.holders {
		if h.node != (Node{n.name, n.inc}) || h.until <= w.t || n.m.holder.draining[id].number != 0 {
			continue
		}
		if r, busy := w.running[id]; !busy || r.until <= w.t {
			w.running[id] = simRun{node: n.name, checks: n.target.ChecksFences, until: w.t + w.chaos.runFor}
		}
	}
}
