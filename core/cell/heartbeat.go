package cell

import (
	"slices"
	"time"
)

func (m *Machine) heartbeatTick() {
	h := &m.holder
	if m.leader.IsZero() || (m.rec == nil && !m.guards.startUnread) || m.left {
		return
	}
	if !h.beatSoon && m.now-h.beatAt < m.timing.Heartbeat {
		return
	}
	h.beatSoon = false
	h.beatAt = m.now
	h.number++
	h.sent[h.number] = sentBeat{at: m.now, target: m.target.Incarnation}
	h.forgetOld(m.now - 2*m.timing.Lease)
	m.emit(SendHeartbeat{To: m.leader, Heartbeat: m.heartbeat()})
	m.loads = nil
}

func (h *holder) forgetOld(before time.Duration) {
	for number, beat := range h.sent {
		if beat.at < before {
			delete(h.sent, number)
		}
	}
}

func (m *Machine) heartbeat() Heartbeat {
	h := &m.holder
	beat := Heartbeat{
		From: m.briefMember(), Number: h.number, Epoch: m.epoch, Set: h.setID,
		Cells: m.cells.Version, Loads: m.loads, Leaving: m.leaving,
	}
	if m.sheet != nil {
		beat.SheetVersion = m.sheet.Version
	}
	if m.table != nil {
		beat.Table = m.table.Version
	}
	if h.setID == 0 {
		beat.Held = m.heldSlices()
	}
	for _, r := range h.released {
		beat.Released = append(beat.Released, r)
	}
	slices.SortFunc(beat.Released, func(a, b Release) int { return compareSlices(a.Slice, b.Slice) })
	return beat
}

// briefMember omits the addresses, which the controller knows from the heartbeat before the
// first set of grants, unless the target has been replaced since.
func (m *Machine) briefMember() Member {
	h := &m.holder
	full := m.selfMember()
	if h.setID == 0 || h.shown != m.target.Incarnation {
		h.shown = m.target.Incarnation
		return full
	}
	t := m.target
	brief := Target{State: t.State, Incarnation: t.Incarnation, Slots: t.Slots, ChecksFences: t.ChecksFences, InFlight: t.InFlight}
	return Member{Node: m.self, Target: brief}
}

func (m *Machine) heldSlices() []HeldSlice {
	var held []HeldSlice
	for id, l := range m.holder.held {
		if l.until > m.now {
			held = append(held, HeldSlice{Slice: id, Fence: l.fence})
		}
	}
	slices.SortFunc(held, func(a, b HeldSlice) int { return compareSlices(a.Slice, b.Slice) })
	return held
}
