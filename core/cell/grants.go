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
	a := Answer{Number: h.Number, Epoch: m.epoch, Controller: m.leader}
	if m.ctl != nil {
		a.Epoch, a.Controller = m.ctl.epoch, m.selfMember()
	}
	if m.ctl != nil && h.Epoch == m.ctl.epoch {
		a.Unknown = !m.complete(&h)
		if n := m.note(h, !a.Unknown); n != nil && m.hasAuthority() {
			m.answer(&a, h, n)
		}
	}
	m.emit(AnswerHeartbeat{To: h.From.Node, Answer: a})
}

// complete fills in the addresses that a brief heartbeat omits. It reports false if the
// controller does not know them.
func (m *Machine) complete(h *Heartbeat) bool {
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

// note updates the member's state from its heartbeat. It returns nil, and ignores the heartbeat,
// if it is older than the last one seen, comes from a previous incarnation of a node seen
// recently, or comes from a node whose addresses are not known.
func (m *Machine) note(h Heartbeat, known bool) *memberState {
	c := m.ctl
	if !known {
		return nil
	}
	n := c.members[h.From.Name]
	if n != nil && n.Node != h.From.Node {
		if h.From.Incarnation < n.Incarnation && m.now-n.seen < 2*m.timing.Lease {
			return nil
		}
		n = nil
	}
	if n == nil {
		n = m.join(h)
	}
	if h.Number <= n.number {
		return nil
	}
	n.number = h.Number
	n.seen = m.now
	n.leaving = h.Leaving
	m.applyStop(&h)
	if n.Target.Incarnation != h.From.Target.Incarnation || n.Target.State != h.From.Target.State {
		c.plans.dirty = true
		c.routes.membersChanged()
	}
	n.Member = h.From
	m.noteTarget(n)
	m.noteHeld(n, h)
	m.noteReleases(n, h.Released)
	c.plans.addLoads(m.now, h.Loads)
	return n
}

func (m *Machine) join(h Heartbeat) *memberState {
	n := &memberState{Member: h.From, set: make(map[keyspace.SliceID]fence.Fence)}
	m.ctl.members[h.From.Name] = n
	m.ctl.plans.dirty = true
	m.ctl.plans.joinedAt = m.now
	m.ctl.routes.membersChanged()
	m.decide("node joins", keyspace.SliceID{}, h.From.Name, "first heartbeat of the epoch")
	return n
}

func (m *Machine) noteTarget(n *memberState) {
	switch n.Target.State {
	case TargetReady, TargetStarting:
		n.badSince = 0
	default:
		if n.badSince == 0 {
			n.badSince = m.now
		}
	}
}

// noteHeld processes a node's first report to the epoch. The node rejects answers of previous
// controllers from then on, so the reported list contains all leases that it can hold.
func (m *Machine) noteHeld(n *memberState, h Heartbeat) {
	c := m.ctl
	if n.reported != nil || h.Set != 0 {
		return
	}
	n.reported = make(map[keyspace.SliceID]fence.Fence)
	delete(c.expected, n.Name)
	for _, held := range h.Held {
		g, ok := c.granted[held.Slice]
		if ok && g.node != n.Node && g.until > m.now {
			m.decide("two holders reported", held.Slice, n.Name, "the holder that reported first is kept")
			continue
		}
		n.reported[held.Slice] = held.Fence
		c.granted[held.Slice] = grantState{node: n.Node, fence: held.Fence, until: m.now + m.timing.wait(m.timing.Lease)}
		m.adoptActivation(held, n.Name)
	}
	m.quietTick()
}

// adoptActivation keeps a slice with the successor that a previous controller activated.
func (m *Machine) adoptActivation(held HeldSlice, name string) {
	a := m.rec.assignment(held.Slice)
	if a == nil || a.Owner == name || a.Successor != name {
		return
	}
	m.ctl.active[held.Slice] = activation{owner: name, seq: m.nextSeq()}
	m.refreshRoutes()
}

func (m *Machine) noteReleases(n *memberState, released []Release) {
	c := m.ctl
	for _, r := range released {
		g, ok := c.granted[r.Slice]
		if ok && (g.node != n.Node || r.Fence.Less(g.fence)) {
			continue
		}
		if f, done := c.freed[r.Slice]; done && lower(r.Fence, f.fence) {
			continue
		}
		delete(c.granted, r.Slice)
		delete(n.reported, r.Slice)
		c.freed[r.Slice] = release{fence: r.Fence, window: r.Window}
		c.plans.at = m.now - planInterval // plan at once: no node serves the slice until then
		m.decide("slice released", r.Slice, n.Name, "its owner released it")
	}
}

// answer fills in the answer to a heartbeat that the controller accepts.
func (m *Machine) answer(a *Answer, h Heartbeat, n *memberState) {
	a.Accepted = true
	a.Taken = h.Released
	a.For = m.leaseFor(n)
	a.Needs = m.ctl.routes.hotVersion
	m.grant(a, h, n)
	a.Drain = m.drainsOf(n)
	a.Table = m.ctl.routes.delta(h.Table, m.ctl.members)
	if m.sheet != nil && m.sheet.Version > h.SheetVersion {
		a.Sheet = m.sheet
	}
	a.Cells = m.ctl.others.delta(m.ctl.epoch, h.Cells)
	a.Left = n.leaving && m.nothingLeft(n)
}

// leaseFor returns the duration of a lease, which ends no later than the controller's authority.
func (m *Machine) leaseFor(n *memberState) time.Duration {
	if n.Name == m.self.Name && m.guards.unboundOwnLease || n.Name != m.self.Name && m.guards.unboundLeases {
		return m.timing.Lease
	}
	return min(m.timing.Lease, m.ctl.authority-m.now)
}

// grant updates the node's set of grants and renews it. It lists the grants only if the node
// does not have the set yet.
func (m *Machine) grant(a *Answer, h Heartbeat, n *memberState) {
	c := m.ctl
	set := m.grantsOf(n)
	if n.setID == 0 || !sameSet(set, n.set) {
		c.setID++
		n.set, n.setID = set, c.setID
	}
	for id, f := range set {
		c.granted[id] = grantState{node: n.Node, fence: f, until: m.now + m.timing.wait(m.timing.Lease)}
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
	if m.withheld(n) {
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
	f := m.rec.fence(c.routes.slices[id].seq)
	if c.quiet && !m.guards.grantUnreported {
		if _, held := n.reported[id]; !held {
			return f, false
		}
	}
	if g, ok := c.granted[id]; ok && g.node != n.Node && g.until > m.now && !m.guards.noLapseWait {
		return f, false
	}
	if freed, ok := c.freed[id]; ok && lower(f, freed.fence) {
		return f, false
	}
	if !m.listed(n.Name) || !m.targetRecorded(n) || m.dropping(id.Range) {
		return f, false
	}
	if _, active := c.active[id]; !active && m.write != nil && m.write.slices[id] {
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
	r, ok := m.rec.Node(n.Name)
	return ok && r.Target.Incarnation == n.Target.Incarnation && !r.Target.ChecksFences
}

// withheld reports whether the node's grants are not renewed because its target has been
// suspect for longer than suspectAfter. This is limited to targets that check fences: they
// reject lapsed grants themselves.
func (m *Machine) withheld(n *memberState) bool {
	return n.Target.State == TargetSuspect && n.Target.ChecksFences && m.now-n.badSince > suspectAfter
}

func (m *Machine) drainsOf(n *memberState) []keyspace.SliceID {
	var drain []keyspace.SliceID
	for _, id := range sortedSlices(m.ctl.moving) {
		if _, granted := n.set[id]; granted {
			drain = append(drain, id)
		}
	}
	return drain
}

// nothingLeft reports whether a leaving node may stop: it is not the controller or the standby,
// owns nothing and holds no unexpired lease.
func (m *Machine) nothingLeft(n *memberState) bool {
	if len(n.set) > 0 || n.Node == m.rec.Standby {
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
