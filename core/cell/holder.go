package cell

import (
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// holding is a lease that the node holds.
type holding struct {
	fence    fence.Fence
	until    time.Duration
	draining bool
}

// sentBeat is what a heartbeat said: leases in its answer count from its time and are good
// for the target process that it named.
type sentBeat struct {
	at     time.Duration
	target uint64
}

// holder is the node's part as an owner.
type holder struct {
	held map[keyspace.SliceID]*holding
	// set is the present set of grants by the controller's numbering.
	set    map[keyspace.SliceID]Grant
	setID  uint64
	number uint64
	// sent has the heartbeats that are not yet answered.
	sent map[uint64]sentBeat
	// applied is the highest heartbeat whose answer was taken.
	applied uint64
	beatAt  time.Duration
	// beatSoon asks for a heartbeat before its time.
	beatSoon bool
	// shown is the target process that the last full heartbeat named.
	shown uint64
	// heard is when the controller last accepted a heartbeat.
	heard time.Duration
	// released waits for the controller to note it; refused keeps the fences for good.
	released map[keyspace.SliceID]Release
	refused  map[keyspace.SliceID]fence.Fence
	draining map[keyspace.SliceID]fence.Fence
}

func (h *holder) init() {
	h.held = make(map[keyspace.SliceID]*holding)
	h.set = make(map[keyspace.SliceID]Grant)
	h.sent = make(map[uint64]sentBeat)
	h.released = make(map[keyspace.SliceID]Release)
	h.refused = make(map[keyspace.SliceID]fence.Fence)
	h.draining = make(map[keyspace.SliceID]fence.Fence)
	h.beatAt = -time.Hour
}

// newEpoch forgets the former controller's numbering; leases run on until they lapse.
func (h *holder) newEpoch() {
	h.set = make(map[keyspace.SliceID]Grant)
	h.setID = 0
	h.beatSoon = true
}

func (m *Machine) holderTick() {
	var lapsed []keyspace.SliceID
	for id, l := range m.holder.held {
		if l.until <= m.now {
			lapsed = append(lapsed, id)
			delete(m.holder.held, id)
		}
	}
	if len(lapsed) > 0 {
		sortSlices(lapsed)
		m.emit(EndLeases{Slices: lapsed, Reason: "lease lapsed"})
		m.emit(TableChanged{})
	}
}

func (m *Machine) endAll(reason string) {
	var all []keyspace.SliceID
	for id := range m.holder.held {
		all = append(all, id)
	}
	m.holder.held = make(map[keyspace.SliceID]*holding)
	if len(all) > 0 {
		sortSlices(all)
		m.emit(EndLeases{Slices: all, Reason: reason})
		m.emit(TableChanged{})
	}
}

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

// briefMember leaves out what the controller knows from the heartbeat that began the set of
// grants, unless the target was replaced since.
func (m *Machine) briefMember() Member {
	h := &m.holder
	full := m.selfMember()
	if h.setID == 0 || h.shown != m.target.Incarnation {
		h.shown = m.target.Incarnation
		return full
	}
	t := m.target
	brief := Target{State: t.State, Incarnation: t.Incarnation, Slots: t.Slots, ChecksFences: t.ChecksFences}
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

func (m *Machine) heartbeatAnswered(a Answer) {
	h := &m.holder
	sent, ok := h.sent[a.Number]
	if !ok {
		return
	}
	delete(h.sent, a.Number)
	if !a.Accepted {
		m.redirected(a)
		return
	}
	if a.Epoch != m.epoch && !m.guards.acceptFormer {
		return
	}
	if a.Number < h.applied {
		return
	}
	h.applied = a.Number
	h.heard = m.now
	m.takeState(a)
	m.takeReleases(a.Taken)
	m.takeGrants(a, sent)
	m.takeDrains(a.Drain)
	if a.Left && m.leaving && len(h.held) == 0 && len(h.released) == 0 {
		m.leaveDone()
	}
}

func (m *Machine) leaveDone() {
	if !m.left {
		m.left = true
		m.emit(LeaveDone{})
	}
}

// redirected follows the controller that a node which is not one named.
func (m *Machine) redirected(a Answer) {
	if a.Epoch > m.epoch {
		m.follow(a.Epoch, a.Controller)
		m.holder.beatSoon = true
	}
	if a.Unknown && a.Epoch == m.epoch {
		m.holder.setID = 0
		m.holder.beatSoon = true
	}
}

// takeState takes the sheet, the route table and the other cells' contacts.
func (m *Machine) takeState(a Answer) {
	changed := false
	if a.Sheet != nil {
		changed = m.takeSheet(a.Sheet) || changed
	}
	if a.Table != nil && (m.table == nil || m.table.Version.Less(a.Table.To)) {
		m.table = m.table.apply(a.Table)
		changed = true
	}
	if a.Cells != nil && m.cells.Version.Less(a.Cells.Version) {
		m.cells = m.cells.apply(a.Cells)
		changed = true
	}
	if changed {
		m.emit(TableChanged{})
	}
}

// takeSheet takes a sheet unless it is older than the present one.
func (m *Machine) takeSheet(layout *keyspace.Layout) bool {
	if m.sheet != nil && layout.Version <= m.sheet.Version && !m.guards.anySheet {
		return false
	}
	m.sheet = layout
	m.decide("apply sheet", keyspace.SliceID{}, m.self.Name, "accepted sheet is newer")
	return true
}

func (m *Machine) takeReleases(taken []Release) {
	for _, t := range taken {
		if r, ok := m.holder.released[t.Slice]; ok && r.Fence == t.Fence {
			delete(m.holder.released, t.Slice)
		}
	}
}

func (m *Machine) takeGrants(a Answer, beat sentBeat) {
	h := &m.holder
	if a.Full {
		h.set = make(map[keyspace.SliceID]Grant, len(a.Grants))
		for _, g := range a.Grants {
			h.set[g.Slice] = g
		}
		h.setID = a.Set
	}
	if a.Set != h.setID || !m.tableAtLeast(a.Needs) {
		return
	}
	if beat.target != m.target.Incarnation && !m.target.ChecksFences && !m.guards.anyTarget {
		return
	}
	sent := beat.at
	if m.guards.noDateByRequest {
		sent = m.now
	}
	until := sent + min(a.For, m.timing.Lease)
	if until <= m.now {
		return
	}
	m.adopt(until)
}

// tableAtLeast reports whether the node knows the hot keys that the grants assume.
func (m *Machine) tableAtLeast(v TableVersion) bool {
	if v == (TableVersion{}) || m.guards.noTableWait {
		return true
	}
	return m.table != nil && !m.table.Version.Less(v)
}

// adopt renews the leases of the whole set until the time.
func (m *Machine) adopt(until time.Duration) {
	var leases []Adoption
	for id, g := range m.holder.set {
		if m.mayAdopt(g) {
			leases = append(leases, m.hold(id, g, until))
		}
	}
	if len(leases) == 0 {
		return
	}
	slices.SortFunc(leases, func(a, b Adoption) int { return compareSlices(a.Slice, b.Slice) })
	m.emit(AdoptLeases{Leases: leases})
}

// mayAdopt reports whether the grant is above what the node released or held.
func (m *Machine) mayAdopt(g Grant) bool {
	h := &m.holder
	if f, ok := h.refused[g.Slice]; ok && lower(g.Fence, f) && !m.guards.noReleaseFence {
		return false
	}
	l := h.held[g.Slice]
	return l == nil || !g.Fence.Less(l.fence) || m.guards.anyFence
}

func (m *Machine) hold(id keyspace.SliceID, g Grant, until time.Duration) Adoption {
	h := &m.holder
	l := h.held[id]
	if l == nil {
		_, draining := h.draining[id]
		l = &holding{draining: draining}
		h.held[id] = l
		m.emit(TableChanged{})
	}
	l.fence = g.Fence
	l.until = max(l.until, until)
	drained, draining := h.draining[id]
	if draining && drained.Seq != g.Fence.Seq {
		delete(h.draining, id)
		l.draining, draining = false, false
	}
	if draining {
		// The lease of what still runs goes on; a higher fence would open the slice again.
		return Adoption{Slice: id, Fence: drained, Until: l.until}
	}
	return Adoption{Slice: id, Fence: g.Fence, Until: l.until, Window: g.Window}
}

func (m *Machine) takeDrains(drain []keyspace.SliceID) {
	for _, id := range drain {
		g, ok := m.holder.set[id]
		if _, busy := m.holder.draining[id]; !ok || busy || !m.mayAdopt(g) {
			continue
		}
		m.holder.draining[id] = g.Fence
		if l := m.holder.held[id]; l != nil {
			l.draining = true
		}
		m.decide("drain slice", id, m.self.Name, "the controller moves it")
		m.emit(DrainSlice{Slice: id})
		m.emit(TableChanged{})
	}
}

// sliceDrained gives the slice back with a fence that the node will not adopt again.
func (m *Machine) sliceDrained(e SliceDrained) {
	h := &m.holder
	f, ok := h.draining[e.Slice]
	if !ok {
		return
	}
	delete(h.draining, e.Slice)
	if l := h.held[e.Slice]; l != nil && f.Less(l.fence) {
		f = l.fence
	}
	if g, ok := h.set[e.Slice]; ok && f.Less(g.Fence) {
		f = g.Fence
	}
	h.refused[e.Slice] = f
	h.released[e.Slice] = Release{Slice: e.Slice, Fence: f, Window: e.Window}
	delete(h.held, e.Slice)
	delete(h.set, e.Slice)
	h.beatSoon = true
	m.emit(TableChanged{})
	m.heartbeatTick()
}
