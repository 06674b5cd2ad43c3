package cell

import (
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// abandonTick asks the request side to give up the node's slices if the target is suspect and
// checks fences. The request side does so once every grant that it sent to the target has
// lapsed: no request of the slices can take effect there any more, so the controller need not
// wait until the leases lapse.
func (m *Machine) abandonTick() {
	if m.target.State != TargetSuspect || !m.target.ChecksFences {
		return
	}
	if slices := m.heldOrGranted(); len(slices) > 0 {
		m.emit(AbandonSlices{Slices: slices, Reason: "the target is suspect and its grants have lapsed"})
	}
}

// heldOrGranted returns the slices that the node holds or may adopt with the next answer.
func (m *Machine) heldOrGranted() []keyspace.SliceID {
	h := &m.holder
	all := make([]keyspace.SliceID, 0, len(h.grantSet))
	for id := range h.grantSet {
		all = append(all, id)
	}
	for id := range h.held {
		if _, listed := h.grantSet[id]; !listed {
			all = append(all, id)
		}
	}
	sortSlices(all)
	return all
}

// slicesAbandoned releases the slices without their windows, because the outcomes of the last
// requests are unknown.
func (m *Machine) slicesAbandoned(e SlicesAbandoned) {
	for _, id := range e.Slices {
		delete(m.holder.draining, id)
		m.logDecision("abandon slice", id, m.self.Name, "the target is suspect and its grants have lapsed")
		m.releaseSlice(id, m.holder.grantSet[id].Fence, nil)
	}
	m.emit(TableChanged{})
	m.heartbeatTick()
}

// releaseSlice releases a slice with the highest of f and the fences under which it is held or
// granted.
func (m *Machine) releaseSlice(id keyspace.SliceID, f fence.Fence, window []byte) {
	h := &m.holder
	if l := h.held[id]; l != nil && f.Less(l.fence) {
		f = l.fence
	}
	if g, ok := h.grantSet[id]; ok && f.Less(g.Fence) {
		f = g.Fence
	}
	h.releasedFences[id] = f
	h.released[id] = Release{Slice: id, Fence: f, Window: window}
	delete(h.held, id)
	delete(h.grantSet, id)
	h.heartbeatNow = true
}
