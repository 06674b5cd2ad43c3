package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
)

const (
	// planInterval is the interval between reviews of the placement.
	planInterval = 100 * time.Millisecond
	// reportGrace is the time after the start of an epoch in which the previous controller
	// may still report before its slices are reassigned.
	reportGrace = 300 * time.Millisecond
	// memberTimeout is the silence after which a node without slices is removed from the members.
	memberTimeout = 10 * time.Second
	// settleTime is the time without a new member before planned moves start and slices without
	// an owner are assigned.
	settleTime = 500 * time.Millisecond
	// maxSettleTime is the time after the start of an epoch when slices without an owner are
	// assigned in any case.
	maxSettleTime = 2 * time.Second
	// probeInterval is the interval between probes of the same process.
	probeInterval = 500 * time.Millisecond
)

// planState is the controller's state for decisions on placement.
type planState struct {
	// dirty tells that successors and the list of nodes must be drafted again.
	dirty bool
	// addingRanges tells that the sheet may assign ranges to the cell that it has not taken yet.
	addingRanges bool
	// unwantedRanges holds the ranges that the sheet takes away and that are still held.
	unwantedRanges map[keyspace.RangeID]bool
	// reviewedAt is when the placement was last reviewed, joinedAt when the last member joined,
	// spreadAt when slices and work were last spread.
	reviewedAt time.Duration
	joinedAt   time.Duration
	spreadAt   time.Duration
	loads      loads
	// filling holds the nodes that are being filled up to their quota.
	filling map[string]bool
	// churnCount counts the moves for balance in the minute that began at churnAt.
	churnAt    time.Duration
	churnCount int
}

func (p *planState) init() {
	p.reviewedAt = -time.Hour
	p.spreadAt = -time.Hour
	p.addingRanges = true
	p.filling = make(map[string]bool)
	p.dirty = true
	p.loads.init()
}

func (p *planState) addLoads(now time.Duration, loads []SliceLoad) { p.loads.add(now, loads) }

// planTick reassigns slices of lost nodes, starts planned moves and writes the changed record.
func (m *Machine) planTick() {
	c := m.ctl
	if c.quiet || !m.hasAuthority() || m.now-c.plans.reviewedAt < planInterval {
		return
	}
	c.plans.reviewedAt = m.now
	m.forgetMembers()
	if m.storeDown {
		m.activate()
	}
	m.resignTick()
	if m.write != nil || m.now < c.retryAt || c.resigned {
		return
	}
	if !m.storeDown {
		m.planMoves()
	}
	if !m.draftNeeded() {
		return
	}
	if next, reassigned := m.draft(); next != nil {
		m.startWrite(writePlan, m.recordVersion, next, reassigned)
		m.write.dropped = droppedRanges(m.record, next)
	}
}

// draftNeeded reports whether the record may have to change. It runs often, so it examines
// nodes and not slices.
func (m *Machine) draftNeeded() bool {
	c := m.ctl
	if c.plans.dirty || c.plans.addingRanges || len(c.released)+len(c.activations)+len(c.moves) > 0 {
		return true
	}
	if m.sheet != nil && m.sheet.Version > m.record.SheetVersion {
		return true
	}
	for name := range c.routes.owned {
		n := c.members[name]
		if n == nil || !m.live(n) || m.grantsWithheld(n) {
			return true
		}
	}
	for _, n := range c.members {
		if m.live(n) && !m.targetRecorded(n) {
			return true
		}
	}
	return false
}

func (m *Machine) forgetMembers() {
	c := m.ctl
	for _, name := range sortedNames(c.members) {
		n := c.members[name]
		if m.now-n.lastSeen > memberTimeout && len(c.routes.owned[name]) == 0 {
			delete(c.members, name)
			c.routes.membersChanged()
			c.plans.dirty = true
			m.logDecision("node leaves", keyspace.SliceID{}, name, "silent and owns no slices")
		}
	}
}

// ownerLost reports whether a slice must go to another node because it has no owner or its
// owner is lost and its lease has lapsed, and why.
func (m *Machine) ownerLost(id keyspace.SliceID, r route) (bool, string) {
	c := m.ctl
	if r.owner == "" {
		return m.membersSettled(), "it has no owner"
	}
	if g, ok := c.granted[id]; ok && g.until > m.now && !m.guards.noLapseWait {
		return false, ""
	}
	n := c.members[r.owner]
	silence := m.timing.withDrift(m.timing.Lease)
	if m.guards.noLapseWait {
		silence = silentHeartbeats * m.timing.HeartbeatInterval
	}
	reason := ""
	switch {
	case n == nil && m.now-c.startedAt > reportGrace:
		reason = "its owner did not report to the epoch"
	case n != nil && m.now-n.lastSeen > silence:
		reason = "its owner is silent and the lease has lapsed"
	case n != nil && m.grantsWithheld(n):
		reason = "its owner's target is suspect and the lease has lapsed"
	default:
		return false, ""
	}
	if !m.noUnfencedRequest(r.owner) {
		return false, ""
	}
	return true, reason
}

// membersSettled reports whether the nodes that start together have joined and their targets are
// ready, so that slices without an owner are distributed over all of them.
func (m *Machine) membersSettled() bool {
	c := m.ctl
	if m.now-c.startedAt >= maxSettleTime {
		return true
	}
	for _, n := range c.members {
		if m.live(n) && n.Target.State != TargetReady {
			return false
		}
	}
	return m.now-c.plans.joinedAt >= settleTime
}

// noUnfencedRequest reports whether no request of the lost owner can still run on its target
// unfenced: the target checks fences, or its process is known to have exited.
func (m *Machine) noUnfencedRequest(owner string) bool {
	c := m.ctl
	member, ok := m.record.Node(owner)
	if n := c.members[owner]; n != nil {
		member, ok = n.Member, true
	}
	t := member.Target
	if !ok || t.ChecksFences || t.Incarnation == 0 || t.State == TargetAbsent || m.guards.moveUnfenced {
		return true
	}
	if c.exitedTargets[owner] == t.Incarnation {
		return true
	}
	if m.now-c.targetProbedAt[owner] >= probeInterval {
		c.targetProbedAt[owner] = m.now
		m.logDecision("hold slices", keyspace.SliceID{}, owner, "its target does not check fences and may still run a request")
		m.emit(ProbeTarget{Name: owner, Incarnation: t.Incarnation, Address: t.Address})
	}
	return false
}

func (m *Machine) targetExited(e TargetExited) {
	if m.ctl != nil {
		m.ctl.exitedTargets[e.Name] = e.Incarnation
	}
}

// problem returns the cell's current state as input for package placement.
func (m *Machine) problem() placement.Problem {
	c := m.ctl
	var p placement.Problem
	for _, name := range sortedNames(c.members) {
		n := c.members[name]
		if m.eligible(n) {
			p.Nodes = append(p.Nodes, placement.Node{
				Name: name, Domain: n.FailureDomain, Capacity: float64(n.Target.Slots), BelowQuota: c.plans.filling[name],
			})
		}
	}
	m.record.forEachSlice(func(id keyspace.SliceID, rr *RangeRecord, a *Assignment) {
		owner := c.routes.slices[id].owner
		mv, moving := c.moves[id]
		if moving && mv.to != "" {
			owner = mv.to
		}
		p.Slices = append(p.Slices, placement.Slice{
			ID: id, Owner: owner, Successor: a.Successor,
			Work: c.plans.loads.work(id, m.now), Targets: rr.Range.Targets, Pinned: moving,
		})
	})
	return p
}

// eligible reports whether the node may be assigned slices.
func (m *Machine) eligible(n *memberState) bool {
	return m.live(n) && !n.leaving && n.Target.State == TargetReady
}

// activate finds owners for slices that no node serves while the store cannot be written. The
// record is updated once the store is available again.
func (m *Machine) activate() {
	c := m.ctl
	activated := false
	for _, id := range sortedSlices(c.routes.slices) {
		r := c.routes.slices[id]
		if r.owner == "" || m.dropPending(id.Range) || m.splitPending(id) {
			continue
		}
		released := m.released(id, r)
		to, reason := m.outageOwner(id, r, released)
		if to == "" {
			continue
		}
		act := activation{owner: to, seq: m.nextSeq()}
		c.activations[id] = act
		if released {
			c.windows[id] = handover{seq: act.seq, window: c.released[id].window}
			delete(c.moves, id)
		}
		what := "activate successor"
		if to == r.owner {
			what = "take slice back"
		}
		m.logDecision(what, id, to, reason+"; the store cannot be written")
		activated = true
	}
	if activated {
		m.refreshRoutes()
	}
}

// released reports whether the slice was released under its current assignment or a later one,
// so that no node holds it.
func (m *Machine) released(id keyspace.SliceID, r route) bool {
	freed, ok := m.ctl.released[id]
	return ok && atMost(m.record.fence(r.seq), freed.fence)
}

// outageOwner returns the node that is to serve a slice while the store cannot be written, and
// why; an empty name keeps the current owner. A released slice goes back to its owner, because
// its move cannot be written. If the owner cannot take it or is lost, the successor that the
// record names gets the slice. The next controller waits for the reports of both.
func (m *Machine) outageOwner(id keyspace.SliceID, r route, released bool) (to, reason string) {
	if released && m.mayTakeBack(id, r.owner) {
		return r.owner, "released for a move"
	}
	lost, reason := m.ownerLost(id, r)
	if released {
		lost, reason = true, "released by its owner"
	}
	to = m.successorOf(id)
	if !lost || to == r.owner {
		return "", ""
	}
	return to, reason
}

// mayTakeBack reports whether a released slice may go back to its owner. If a write that
// assigns the slice is in progress or in doubt, the record may already name another owner; then
// the slice goes back only if the target checks fences.
func (m *Machine) mayTakeBack(id keyspace.SliceID, owner string) bool {
	n := m.ctl.members[owner]
	if n == nil || !m.eligible(n) || !m.listed(owner) {
		return false
	}
	pending := m.write != nil && m.write.slices[id]
	return !pending || n.Target.ChecksFences || m.guards.activateUnfenced
}

// successorOf returns the node to activate for a slice: the successor in the record or, if a
// write in progress or in doubt assigns the slice, the owner in that write. It returns "" if neither can take
// the slice. A node whose target does not check fences is not activated: the record does not
// name it as the owner, so the next controller could not know that it may still run a request.
func (m *Machine) successorOf(id keyspace.SliceID) string {
	var names []string
	if a := m.record.assignment(id); a != nil {
		names = append(names, a.Successor)
	}
	if m.write != nil && m.write.slices[id] {
		names = append(names, m.write.record.assignment(id).Owner)
	}
	for _, name := range names {
		n := m.ctl.members[name]
		if n != nil && m.eligible(n) && m.listed(name) && (n.Target.ChecksFences || m.guards.activateUnfenced) {
			return name
		}
	}
	return ""
}

// listed reports whether the record lists the node, whether or not a write in progress takes
// effect. The next controller waits only for the reports of nodes that the record lists.
func (m *Machine) listed(name string) bool {
	if m.guards.grantUnlisted {
		return true
	}
	_, ok := m.record.Node(name)
	if ok && m.write != nil {
		_, ok = m.write.record.Node(name)
	}
	return ok
}

// settleActivations removes the activations that the record now contains and those of slices
// that it no longer has.
func (m *Machine) settleActivations() {
	for _, id := range sortedSlices(m.ctl.activations) {
		act := m.ctl.activations[id]
		if a := m.record.assignment(id); a == nil || (a.Owner == act.owner && a.Seq == act.seq) {
			delete(m.ctl.activations, id)
			m.logDecision("activation written", id, act.owner, "the record contains the assignment")
		}
	}
}

// nextSeq returns the number for a new assignment. The numbers of an epoch are higher than all
// previous ones, including those that previous controllers used without writing them.
func (m *Machine) nextSeq() uint64 {
	c := m.ctl
	c.lastSeq = max(c.lastSeq, m.record.Seq, c.epoch<<epochShift) + 1
	return c.lastSeq
}
