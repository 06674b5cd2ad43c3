package cell

import (
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

func (m *Machine) applyGrants(a HeartbeatResponse, heartbeat sentHeartbeat) {
	h := &m.holder
	if a.Full {
		h.grantSet = make(map[keyspace.SliceID]Grant, len(a.Grants))
		for _, g := range a.Grants {
			h.grantSet[g.Slice] = g
		}
		h.setID = a.Set
	}
	if a.Set != h.setID || !m.tableAtLeast(a.MinTableVersion) {
		return
	}
	if heartbeat.target != m.target.Incarnation && !m.target.ChecksFences && !m.guards.keepLeasesAcrossTargets {
		return
	}
	sent := heartbeat.at
	if m.guards.dateByAnswer {
		sent = m.now
	}
	until := sent + min(a.LeaseDuration, m.timing.Lease)
	if until <= m.now {
		return
	}
	m.adopt(until)
}

// tableAtLeast reports whether the node's route table has at least the version v, and with it
// the hot keys that the grants assume.
func (m *Machine) tableAtLeast(v TableVersion) bool {
	if v == (TableVersion{}) || m.guards.noTableWait {
		return true
	}
	return m.table != nil && !m.table.Version.Less(v)
}

// adopt takes or renews the leases of the whole set of grants until the given time.
func (m *Machine) adopt(until time.Duration) {
	var leases []AdoptedLease
	before := len(m.holder.held)
	for id, g := range m.holder.grantSet {
		if m.mayAdopt(g) {
			leases = append(leases, m.holdLease(id, g, until))
		}
	}
	if len(leases) == 0 {
		return
	}
	slices.SortFunc(leases, func(a, b AdoptedLease) int { return compareSlices(a.Slice, b.Slice) })
	m.emit(AdoptLeases{Leases: leases})
	if len(m.holder.held) > before {
		m.emit(TableChanged{})
	}
}

// mayAdopt reports whether the grant's fence is higher than that of any release of the slice
// and not lower than that of the lease that the node holds.
func (m *Machine) mayAdopt(g Grant) bool {
	h := &m.holder
	if f, ok := h.releasedFences[g.Slice]; ok && atMost(g.Fence, f) && !m.guards.noReleaseFence {
		return false
	}
	l := h.held[g.Slice]
	return l == nil || !g.Fence.Less(l.fence) || m.guards.acceptLowerFence
}

func (m *Machine) holdLease(id keyspace.SliceID, g Grant, until time.Duration) AdoptedLease {
	h := &m.holder
	l := h.held[id]
	if l == nil {
		l = &heldLease{}
		h.held[id] = l
	}
	l.fence = g.Fence
	l.until = max(l.until, until)
	_, draining := h.draining[id]
	adoption := AdoptedLease{Slice: id, Fence: m.adoptedFence(id, g.Fence), Until: l.until}
	if !draining {
		adoption.Window = g.Window
	}
	return adoption
}

// adoptedFence returns the fence under which the request side holds the slice. While the slice
// drains, this is the fence at the start of the drain: running requests keep their lease, and
// a higher fence would make the slice accept requests again.
func (m *Machine) adoptedFence(id keyspace.SliceID, f fence.Fence) fence.Fence {
	if d, ok := m.holder.draining[id]; ok {
		return d.fence
	}
	return f
}

func (m *Machine) startDrains(drain []keyspace.SliceID) {
	for _, id := range drain {
		g, ok := m.holder.grantSet[id]
		if _, busy := m.holder.draining[id]; !ok || busy || !m.mayAdopt(g) {
			continue
		}
		m.holder.drainCount++
		m.holder.draining[id] = drainState{fence: g.Fence, number: m.holder.drainCount}
		m.logDecision("drain slice", id, m.self.Name, "the controller requested it")
		m.emit(DrainSlice{Slice: id, Number: m.holder.drainCount})
		m.emit(TableChanged{})
	}
}

// sliceDrained releases a drained slice.
func (m *Machine) sliceDrained(e SliceDrained) {
	h := &m.holder
	d, ok := h.draining[e.Slice]
	if !ok || d.number != e.Number {
		return
	}
	f := d.fence
	delete(h.draining, e.Slice)
	m.releaseSlice(e.Slice, f, e.Window)
	m.emit(TableChanged{})
	m.heartbeatTick()
}
