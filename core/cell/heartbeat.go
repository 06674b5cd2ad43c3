package cell

import (
	"slices"
	"time"
)

func (m *Machine) heartbeatTick() {
	h := &m.holder
	if m.controllerMember.IsZero() || (m.record == nil && !m.guards.heartbeatWithoutRecord) || m.departed {
		return
	}
	if !h.heartbeatNow && m.now-h.heartbeatAt < m.timing.HeartbeatInterval {
		return
	}
	h.heartbeatNow = false
	h.heartbeatAt = m.now
	h.number++
	h.sent[h.number] = sentHeartbeat{at: m.now, target: m.target.Incarnation}
	h.dropUnansweredBefore(m.now - 2*m.timing.Lease)
	m.emit(SendHeartbeat{To: m.controllerMember, Heartbeat: m.heartbeat()})
	m.loads = nil
}

func (h *holder) dropUnansweredBefore(before time.Duration) {
	for number, sent := range h.sent {
		if sent.at < before {
			delete(h.sent, number)
		}
	}
}

func (m *Machine) heartbeat() Heartbeat {
	h := &m.holder
	hb := Heartbeat{
		From: m.briefMember(), Number: h.number, Epoch: m.epoch, Set: h.setID,
		Cells: m.cells.Version, Loads: m.loads, Leaving: m.leaving,
	}
	if m.sheet != nil {
		hb.SheetVersion = m.sheet.Version
	}
	if m.table != nil {
		hb.Table = m.table.Version
	}
	if h.setID == 0 {
		hb.Held = m.heldSlices()
	}
	for _, r := range h.released {
		hb.Released = append(hb.Released, r)
	}
	slices.SortFunc(hb.Released, func(a, b Release) int { return compareSlices(a.Slice, b.Slice) })
	return hb
}

// briefMember omits the addresses, which the controller knows from the heartbeat before the
// first set of grants, unless the target has been replaced since.
func (m *Machine) briefMember() Member {
	h := &m.holder
	full := m.selfMember()
	if h.setID == 0 || h.reportedTarget != m.target.Incarnation {
		h.reportedTarget = m.target.Incarnation
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
