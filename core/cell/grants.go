package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// suspectAfter is how long a target may be suspect or absent before its slices move.
const suspectAfter = time.Second

// heartbeatReceived processes a node's report and answers with its grants and with the updates
// that it lacks.
func (m *Machine) heartbeatReceived(h Heartbeat) {
	a := HeartbeatResponse{Number: h.Number, Epoch: m.epoch, Controller: m.controllerMember}
	if m.ctl != nil {
		a.Epoch, a.Controller = m.ctl.epoch, m.selfMember()
	}
	if m.ctl != nil && h.Epoch == m.ctl.epoch {
		a.NeedsAddresses = !m.completeMember(&h)
		if n := m.updateMember(h, !a.NeedsAddresses); n != nil && m.hasAuthority() {
			m.fillAnswer(&a, h, n)
		}
	}
	m.emit(AnswerHeartbeat{To: h.From.Node, Answer: a})
}

// completeMember fills in the addresses that a brief heartbeat omits. It reports false if the
// controller does not know them.
func (m *Machine) completeMember(h *Heartbeat) bool {
	if h.From.Address != "" {
		return true
	}
	n := m.ctl.members[h.From.Name]
	if n == nil || n.Node != h.From.Node || n.Target.Incarnation != h.From.Target.Incarnation {
		return false
	}
	target := h.From.Target
	h.From = n.Member
	h.From.Target.State, h.From.Target.Slots, h.From.Target.ChecksFences = target.State, target.Slots, target.ChecksFences
	h.From.Target.InFlight = target.InFlight
	return true
}

// updateMember updates the member's state from its heartbeat. It returns nil, and ignores the
// heartbeat, if it is older than the last one seen, comes from a previous incarnation of a node
// seen recently, or comes from a node whose addresses are not known.
func (m *Machine) updateMember(h Heartbeat, known bool) *memberState {
	c := m.ctl
	if !known {
		return nil
	}
	n := c.members[h.From.Name]
	if n != nil && n.Node != h.From.Node {
		if h.From.Incarnation < n.Incarnation && m.now-n.lastSeen < 2*m.timing.Lease {
			return nil
		}
		n = nil
	}
	if n == nil {
		n = m.addMember(h)
	}
	if h.Number <= n.heartbeatNumber {
		return nil
	}
	n.heartbeatNumber = h.Number
	n.lastSeen = m.now
	n.leaving = h.Leaving
	m.applyStop(&h)
	if n.Target.Incarnation != h.From.Target.Incarnation || n.Target.State != h.From.Target.State {
		c.plans.dirty = true
		c.routes.membersChanged()
	}
	n.Member = h.From
	m.updateTargetState(n)
	m.processFirstReport(n, h)
	m.processReleases(n, h.Released)
	c.plans.addLoads(m.now, h.Loads)
	return n
}

func (m *Machine) addMember(h Heartbeat) *memberState {
	n := &memberState{Member: h.From, grantSet: make(map[keyspace.SliceID]fence.Fence)}
	m.ctl.members[h.From.Name] = n
	m.ctl.plans.dirty = true
	m.ctl.plans.joinedAt = m.now
	m.ctl.routes.membersChanged()
	m.logDecision("node joins", keyspace.SliceID{}, h.From.Name, "first heartbeat of the epoch")
	return n
}

func (m *Machine) updateTargetState(n *memberState) {
	switch n.Target.State {
	case TargetReady, TargetStarting:
		n.unavailableSince = 0
	default:
		if n.unavailableSince == 0 {
			n.unavailableSince = m.now
		}
	}
}

// processFirstReport processes a node's first report to the epoch. The node rejects answers of
// previous controllers from then on, so the reported list contains all leases that it can hold.
func (m *Machine) processFirstReport(n *memberState, h Heartbeat) {
	c := m.ctl
	if n.reported != nil || h.Set != 0 {
		return
	}
	n.reported = make(map[keyspace.SliceID]fence.Fence)
	delete(c.unreported, n.Name)
	for _, held := range h.Held {
		g, ok := c.granted[held.Slice]
		if ok && g.node != n.Node && g.until > m.now {
			m.logDecision("two holders reported", held.Slice, n.Name, "the holder that reported first is kept")
			continue
		}
		n.reported[held.Slice] = held.Fence
		c.granted[held.Slice] = issuedLease{node: n.Node, fence: held.Fence, until: m.now + m.timing.withDrift(m.timing.Lease)}
		m.adoptActivation(held, n.Name)
	}
	m.quietTick()
}

// adoptActivation keeps a slice with the successor that a previous controller activated.
func (m *Machine) adoptActivation(held HeldSlice, name string) {
	a := m.record.assignment(held.Slice)
	if a == nil || a.Owner == name || a.Successor != name {
		return
	}
	m.ctl.activations[held.Slice] = activation{owner: name, seq: m.nextSeq()}
	m.refreshRoutes()
}

func (m *Machine) processReleases(n *memberState, released []Release) {
	c := m.ctl
	for _, r := range released {
		g, ok := c.granted[r.Slice]
		if ok && (g.node != n.Node || r.Fence.Less(g.fence)) {
			continue
		}
		if f, done := c.released[r.Slice]; done && atMost(r.Fence, f.fence) {
			continue
		}
		delete(c.granted, r.Slice)
		delete(n.reported, r.Slice)
		c.released[r.Slice] = releasedSlice{fence: r.Fence, window: r.Window}
		c.plans.reviewedAt = m.now - planInterval // plan at once: no node serves the slice until then
		m.logDecision("slice released", r.Slice, n.Name, "its owner released it")
	}
}

// fillAnswer fills in the answer to a heartbeat that the controller accepts.
func (m *Machine) fillAnswer(a *HeartbeatResponse, h Heartbeat, n *memberState) {
	a.Accepted = true
	a.ProcessedReleases = h.Released
	a.LeaseDuration = m.leaseFor(n)
	a.MinTableVersion = m.ctl.routes.hotVersion
	m.renewGrants(a, h, n)
	a.Drain = m.drainsOf(n)
	a.Table = m.ctl.routes.delta(h.Table, m.ctl.members)
	if m.sheet != nil && m.sheet.Version > h.SheetVersion {
		a.Sheet = m.sheet
	}
	a.Cells = m.ctl.otherCells.delta(m.ctl.epoch, h.Cells)
	a.MayStop = n.leaving && m.mayStop(n)
}

// leaseFor returns the duration of a lease, which ends no later than the controller's authority.
func (m *Machine) leaseFor(n *memberState) time.Duration {
	if n.Name == m.self.Name && m.guards.unboundOwnLease || n.Name != m.self.Name && m.guards.unboundLeases {
		return m.timing.Lease
	}
	return min(m.timing.Lease, m.ctl.authority-m.now)
}

// renewGrants updates the node's set of grants and renews it. It lists the grants only if the node
// does not have the set yet.
func (m *Machine) renewGrants(a *HeartbeatResponse, h Heartbeat, n *memberState) {
	c := m.ctl
	set := m.grantsOf(n)
	if n.setID == 0 || !sameSet(set, n.grantSet) {
		c.lastSetID++
		n.grantSet, n.setID = set, c.lastSetID
	}
	for id, f := range set {
		c.granted[id] = issuedLease{node: n.Node, fence: f, until: m.now + m.timing.withDrift(m.timing.Lease)}
	}
	a.Set = n.setID
	if h.Set == n.setID {
		return
	}
	a.Full = true
	for _, id := range sortedSlices(set) {
		a.Grants = append(a.Grants, Grant{Slice: id, Fence: set[id], Window: m.windowFor(id, n.Node)})
	}
}

// windowFor returns the window handed over with the slice's current assignment, for the first
// process that is granted it; nil otherwise.
func (m *Machine) windowFor(id keyspace.SliceID, to Node) []byte {
	h, ok := m.ctl.windows[id]
	if !ok || h.seq != m.ctl.routes.slices[id].seq {
		return nil
	}
	if h.node.IsZero() {
		h.node = to
		m.ctl.windows[id] = h
	}
	if h.node != to {
		return nil
	}
	return h.window
}

// grantsOf returns the slices that the node may hold now, with their fences.
func (m *Machine) grantsOf(n *memberState) map[keyspace.SliceID]fence.Fence {
	c := m.ctl
	set := make(map[keyspace.SliceID]fence.Fence)
	if m.grantsWithheld(n) {
		return set
	}
	for _, id := range c.routes.owned[n.Name] {
		if f, ok := m.grantable(id, n); ok {
			set[id] = f
		}
	}
	return set
}

// grantable returns the slice's fence and whether its owner n may be granted the slice now.
func (m *Machine) grantable(id keyspace.SliceID, n *memberState) (fence.Fence, bool) {
	c := m.ctl
	f := m.record.fence(c.routes.slices[id].seq)
	if c.quiet && !m.guards.grantUnreported {
		if _, held := n.reported[id]; !held {
			return f, false
		}
	}
	if g, ok := c.granted[id]; ok && g.node != n.Node && g.until > m.now && !m.guards.noLapseWait {
		return f, false
	}
	if freed, ok := c.released[id]; ok && atMost(f, freed.fence) {
		return f, false
	}
	if !m.listed(n.Name) || !m.targetRecorded(n) || m.dropPending(id.Range) {
		return f, false
	}
	if _, active := c.activations[id]; !active && m.write != nil && m.write.slices[id] {
		return f, false
	}
	return f, true
}

// targetRecorded reports whether the record names the node's target process. This is required
// only of a target that does not check fences: a later controller must know which process may
// still run a request.
func (m *Machine) targetRecorded(n *memberState) bool {
	if n.Target.ChecksFences || n.Target.Incarnation == 0 {
		return true
	}
	r, ok := m.record.Node(n.Name)
	return ok && r.Target.Incarnation == n.Target.Incarnation && !r.Target.ChecksFences
}

// grantsWithheld reports whether the node's grants are not renewed because its target has been
// suspect for longer than suspectAfter. This is limited to targets that check fences: they
// reject lapsed grants themselves.
func (m *Machine) grantsWithheld(n *memberState) bool {
	return n.Target.State == TargetSuspect && n.Target.ChecksFences && m.now-n.unavailableSince > suspectAfter
}

func (m *Machine) drainsOf(n *memberState) []keyspace.SliceID {
	var drain []keyspace.SliceID
	for _, id := range sortedSlices(m.ctl.moves) {
		if _, granted := n.grantSet[id]; granted {
			drain = append(drain, id)
		}
	}
	return drain
}

// mayStop reports whether a leaving node may stop: it is not the controller or the standby,
// owns nothing and holds no unexpired lease.
func (m *Machine) mayStop(n *memberState) bool {
	if len(n.grantSet) > 0 || n.Node == m.record.Standby {
		return false
	}
	if n.Name == m.self.Name {
		return false
	}
	for _, g := range m.ctl.granted {
		if g.node == n.Node && g.until > m.now {
			return false
		}
	}
	return len(m.ctl.routes.owned[n.Name]) == 0
}

func sameSet(a, b map[keyspace.SliceID]fence.Fence) bool {
	if len(a) != len(b) {
		return false
	}
	for id, f := range a {
		if b[id] != f {
			return false
		}
	}
	return true
}
