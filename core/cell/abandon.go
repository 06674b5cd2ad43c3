package cell

import (
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// abandonTick asks the request side to give up what the node holds for a suspect target that
// checks fences. It may do so once every grant that the target was ever sent has lapsed, as
// then nothing more of the slices can take effect there; the controller need not wait for
// the leases.
func (m *Machine) abandonTick() {
	if m.target.State != TargetSuspect || !m.target.ChecksFences {
		return
	}
	if slices := m.heldOrGranted(); len(slices) > 0 {
		m.emit(AbandonSlices{Slices: slices, Reason: "the target is suspect and its grants have lapsed"})
	}
}

// heldOrGranted returns the slices that the node holds or may adopt at the next renewal.
func (m *Machine) heldOrGranted() []keyspace.SliceID {
	h := &m.holder
	all := make([]keyspace.SliceID, 0, len(h.set))
	for id := range h.set {
		all = append(all, id)
	}
	for id := range h.held {
		if _, listed := h.set[id]; !listed {
			all = append(all, id)
		}
	}
	sortSlices(all)
	return all
}

// slicesAbandoned gives the slices back without their windows: what ran last is not known.
func (m *Machine) slicesAbandoned(e SlicesAbandoned) {
	for _, id := range e.Slices {
		delete(m.holder.draining, id)
		m.decide("abandon slice", id, m.self.Name, "the target is suspect and its grants have lapsed")
		m.giveBack(id, m.holder.set[id].Fence, nil)
	}
	m.emit(TableChanged{})
	m.heartbeatTick()
}

// giveBack releases a slice under the highest of f and the fences that it is held or granted
// under.
func (m *Machine) giveBack(id keyspace.SliceID, f fence.Fence, window []byte) {
	h := &m.holder
	if l := h.held[id]; l != nil && f.Less(l.fence) {
		f = l.fence
	}
	if g, ok := h.set[id]; ok && f.Less(g.Fence) {
		f = g.Fence
	}
	h.refused[id] = f
	h.released[id] = Release{Slice: id, Fence: f, Window: window}
	delete(h.held, id)
	delete(h.set, id)
	h.beatSoon = true
}
