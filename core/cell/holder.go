package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// heldLease is a lease that the node holds.
type heldLease struct {
	fence fence.Fence
	until time.Duration
}

// sentHeartbeat is an unanswered heartbeat. Leases in its answer count from at, when it was sent,
// and are valid only for the target incarnation that it named.
type sentHeartbeat struct {
	at     time.Duration
	target uint64
}

// drainState is a drain in progress. It is dropped when the lease lapses; number distinguishes
// it from a later drain of the same slice.
type drainState struct {
	fence  fence.Fence
	number uint64
}

// holder is the state of the node as an owner of slices.
type holder struct {
	held map[keyspace.SliceID]*heldLease
	// grantSet is the current set of grants and setID the controller's number for it.
	grantSet map[keyspace.SliceID]Grant
	setID    uint64
	// number is the number of the last heartbeat sent.
	number uint64
	// sent holds the heartbeats that are not yet answered.
	sent map[uint64]sentHeartbeat
	// appliedNumber is the highest number of a heartbeat whose answer was applied.
	appliedNumber uint64
	heartbeatAt   time.Duration
	// heartbeatNow requests a heartbeat before the next one is due.
	heartbeatNow bool
	// reportedTarget is the incarnation of the target that the last full heartbeat named.
	reportedTarget uint64
	// lastAcceptedAt is when the last answer that accepted a heartbeat arrived.
	lastAcceptedAt time.Duration
	// released holds the releases that the controller has not yet confirmed.
	released map[keyspace.SliceID]Release
	// releasedFences holds the fence of the last release of each slice; it is kept until the
	// process exits.
	releasedFences map[keyspace.SliceID]fence.Fence
	draining       map[keyspace.SliceID]drainState
	drainCount     uint64
}

func (h *holder) init() {
	h.held = make(map[keyspace.SliceID]*heldLease)
	h.grantSet = make(map[keyspace.SliceID]Grant)
	h.sent = make(map[uint64]sentHeartbeat)
	h.released = make(map[keyspace.SliceID]Release)
	h.releasedFences = make(map[keyspace.SliceID]fence.Fence)
	h.draining = make(map[keyspace.SliceID]drainState)
	h.heartbeatAt = -time.Hour
}

// resetGrantSet drops the previous controller's set of grants; leases stay valid until they lapse.
func (h *holder) resetGrantSet() {
	h.grantSet = make(map[keyspace.SliceID]Grant)
	h.setID = 0
	h.heartbeatNow = true
}

func (m *Machine) holderTick() {
	var lapsed []keyspace.SliceID
	for id, l := range m.holder.held {
		if l.until <= m.now {
			lapsed = append(lapsed, id)
			delete(m.holder.held, id)
			delete(m.holder.draining, id)
		}
	}
	if len(lapsed) > 0 {
		sortSlices(lapsed)
		m.emit(EndLeases{Slices: lapsed, Reason: "lease lapsed"})
		m.emit(TableChanged{})
	}
}

func (m *Machine) endAllLeases(reason string) {
	var all []keyspace.SliceID
	for id := range m.holder.held {
		all = append(all, id)
	}
	m.holder.held = make(map[keyspace.SliceID]*heldLease)
	m.holder.draining = make(map[keyspace.SliceID]drainState)
	if len(all) > 0 {
		sortSlices(all)
		m.emit(EndLeases{Slices: all, Reason: reason})
		m.emit(TableChanged{})
	}
}

func (m *Machine) heartbeatAnswered(a HeartbeatResponse) {
	h := &m.holder
	sent, ok := h.sent[a.Number]
	if !ok {
		return
	}
	delete(h.sent, a.Number)
	if !a.Accepted {
		m.heartbeatRejected(a)
		return
	}
	if a.Epoch != m.epoch && !m.guards.acceptPreviousEpochs {
		return
	}
	if a.Number < h.appliedNumber {
		return
	}
	h.appliedNumber = a.Number
	h.lastAcceptedAt = m.now
	m.applyState(a)
	m.confirmReleases(a.ProcessedReleases)
	m.applyGrants(a, sent)
	m.startDrains(a.Drain)
	if a.MayStop && m.leaving && len(h.held) == 0 && len(h.released) == 0 {
		m.leaveDone()
	}
}

func (m *Machine) leaveDone() {
	if !m.departed {
		m.departed = true
		m.emit(LeaveDone{})
	}
}

// heartbeatRejected handles an answer that does not accept the heartbeat: it follows the
// controller of a newer epoch, or sends the addresses again if the controller lacks them.
func (m *Machine) heartbeatRejected(a HeartbeatResponse) {
	if a.Epoch > m.epoch {
		m.followController(a.Epoch, a.Controller)
		m.holder.heartbeatNow = true
	}
	if a.NeedsAddresses && a.Epoch == m.epoch {
		m.holder.setID = 0
		m.holder.heartbeatNow = true
	}
}

// applyState applies updates of the sheet, the route table and the view of the other cells.
func (m *Machine) applyState(a HeartbeatResponse) {
	changed := false
	if a.Sheet != nil {
		changed = m.applySheet(a.Sheet) || changed
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

// applySheet applies a sheet that is newer than the current one and reports whether it did.
func (m *Machine) applySheet(layout *keyspace.Layout) bool {
	if m.sheet != nil && layout.Version <= m.sheet.Version && !m.guards.acceptOlderSheet {
		return false
	}
	m.sheet = layout
	m.logDecision("apply sheet", keyspace.SliceID{}, m.self.Name, "the accepted sheet is newer")
	return true
}

func (m *Machine) confirmReleases(processed []Release) {
	for _, p := range processed {
		if r, ok := m.holder.released[p.Slice]; ok && r.Fence == p.Fence {
			delete(m.holder.released, p.Slice)
		}
	}
}
