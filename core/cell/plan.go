package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
)

const (
	// planInterval is the time between two looks at the placement.
	planInterval = 100 * time.Millisecond
	// graceForPrevious lets the former controller report before its slices move.
	graceForPrevious = 300 * time.Millisecond
	// forgetAfter is when a silent node without slices is no longer a member.
	forgetAfter = 10 * time.Second
	// settleTime is how long members must stay the same before planned moves start.
	settleTime = 500 * time.Millisecond
	// settleMax bounds the wait for more members after an epoch began.
	settleMax = 2 * time.Second
	// probeInterval is the time between two probes of a lost node's target.
	probeInterval = 500 * time.Millisecond
)

// planState is what the controller remembers between decisions on placement.
type planState struct {
	dirty bool
	// adopting tells that the sheet gives ranges to the cell that it has not taken yet.
	adopting bool
	// unwanted has the ranges that the sheet takes away and that are still held.
	unwanted map[keyspace.RangeID]bool
	at       time.Duration
	joinedAt time.Duration
	spreadAt time.Duration
	loads    loads
	// filling has the nodes that are being given their share.
	filling map[string]bool
	// churnAt and churned count planned moves for balance in the present minute.
	churnAt time.Duration
	churned int
}

func (p *planState) init() {
	p.at = -time.Hour
	p.spreadAt = -time.Hour
	p.adopting = true
	p.filling = make(map[string]bool)
	p.dirty = true
	p.loads.init()
}

func (p *planState) addLoads(now time.Duration, loads []SliceLoad) { p.loads.add(now, loads) }

// planTick moves slices of lost nodes, starts planned moves and writes what changed.
func (m *Machine) planTick() {
	c := m.ctl
	if c.quiet || !m.hasAuthority() || m.now-c.plans.at < planInterval {
		return
	}
	c.plans.at = m.now
	m.forgetMembers()
	if m.storeDown {
		m.activate()
	}
	m.leaveTick()
	if m.write != nil || m.now < c.retryAt || c.resigned {
		return
	}
	if !m.storeDown {
		m.planMoves()
	}
	if !m.draftNeeded() {
		return
	}
	if next, touched := m.draft(); next != nil {
		m.put(writePlan, m.version, next, touched)
		m.write.dropped = droppedRanges(m.rec, next)
	}
}

// draftNeeded reports whether the record may have to change. It looks at nodes, not at
// slices, as it is asked often.
func (m *Machine) draftNeeded() bool {
	c := m.ctl
	if c.plans.dirty || c.plans.adopting || len(c.freed)+len(c.active)+len(c.moving) > 0 {
		return true
	}
	if m.sheet != nil && m.sheet.Version > m.rec.SheetVersion {
		return true
	}
	for name := range c.routes.owned {
		n := c.members[name]
		if n == nil || !m.live(n) || m.withheld(n) {
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
		if m.now-n.seen > forgetAfter && len(c.routes.owned[name]) == 0 {
			delete(c.members, name)
			c.routes.membersChanged()
			c.plans.dirty = true
			m.decide("node leaves", keyspace.SliceID{}, name, "silent and owns nothing")
		}
	}
}

// ownerLost reports whether a slice without a live grant must go to another node, and why.
func (m *Machine) ownerLost(id keyspace.SliceID, r route) (bool, string) {
	c := m.ctl
	if r.owner == "" {
		return m.settled(), "nobody owns it"
	}
	if g, ok := c.granted[id]; ok && g.until > m.now && !m.guards.noLapseWait {
		return false, ""
	}
	n := c.members[r.owner]
	silence := m.timing.wait(m.timing.Lease)
	if m.guards.noLapseWait {
		silence = silentHeartbeats * m.timing.Heartbeat
	}
	reason := ""
	switch {
	case n == nil && m.now-c.since > graceForPrevious:
		reason = "its owner did not report to the epoch"
	case n != nil && m.now-n.seen > silence:
		reason = "its owner is silent and the lease has lapsed"
	case n != nil && m.withheld(n):
		reason = "its owner's target is frozen and the lease has lapsed"
	default:
		return false, ""
	}
	if !m.targetSafe(r.owner) {
		return false, ""
	}
	return true, reason
}

// settled reports whether the nodes that start together have joined and their targets are
// ready, so that slices without an owner are dealt out among all of them.
func (m *Machine) settled() bool {
	c := m.ctl
	if m.now-c.since >= settleMax {
		return true
	}
	for _, n := range c.members {
		if m.live(n) && n.Target.State != TargetReady {
			return false
		}
	}
	return m.now-c.plans.joinedAt >= settleTime
}

// targetSafe reports whether no request can still run on the lost owner's target outside a
// fence: the target checks fences, or its process is known to have ended.
func (m *Machine) targetSafe(owner string) bool {
	c := m.ctl
	member, ok := m.rec.Node(owner)
	if n := c.members[owner]; n != nil {
		member, ok = n.Member, true
	}
	t := member.Target
	if !ok || t.ChecksFences || t.Incarnation == 0 || t.State == TargetAbsent || m.guards.moveNonChecking {
		return true
	}
	if c.goneTgt[owner] == t.Incarnation {
		return true
	}
	if m.now-c.probed[owner] >= probeInterval {
		c.probed[owner] = m.now
		m.decide("hold slices", keyspace.SliceID{}, owner, "its target does not check fences and may still run a request")
		m.emit(ProbeTarget{Name: owner, Incarnation: t.Incarnation, Address: t.Address})
	}
	return false
}

func (m *Machine) targetGone(e TargetGone) {
	if m.ctl != nil {
		m.ctl.goneTgt[e.Name] = e.Incarnation
	}
}

// problem describes the cell to the placement package.
func (m *Machine) problem() placement.Problem {
	c := m.ctl
	var p placement.Problem
	for _, name := range sortedNames(c.members) {
		n := c.members[name]
		if m.fit(n) {
			p.Nodes = append(p.Nodes, placement.Node{
				Name: name, Domain: n.FailureDomain, Capacity: float64(n.Target.Slots), Filling: c.plans.filling[name],
			})
		}
	}
	m.rec.each(func(id keyspace.SliceID, rr *RangeRecord, a *Assignment) {
		owner := c.routes.slices[id].owner
		mv, moving := c.moving[id]
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

// fit reports whether the node may be given slices.
func (m *Machine) fit(n *memberState) bool {
	return m.live(n) && !n.leaving && n.Target.State == TargetReady
}

// activate finds owners for slices that nobody serves while the store cannot be written. The
// record is brought up to date when it can.
func (m *Machine) activate() {
	c := m.ctl
	activated := false
	for _, id := range sortedSlices(c.routes.slices) {
		r := c.routes.slices[id]
		if r.owner == "" || m.dropping(id.Range) || m.splitting(id) {
			continue
		}
		released := m.released(id, r)
		to, reason := m.outageOwner(id, r, released)
		if to == "" {
			continue
		}
		act := activation{owner: to, seq: m.nextSeq()}
		c.active[id] = act
		if released {
			c.windows[id] = handover{seq: act.seq, window: c.freed[id].window}
			delete(c.moving, id)
		}
		what := "activate successor"
		if to == r.owner {
			what = "take slice back"
		}
		m.decide(what, id, to, reason+"; the store cannot be written")
		activated = true
	}
	if activated {
		m.refreshRoutes()
	}
}

// released reports whether the slice was given back under its present assignment or a later
// one, so that nobody holds it.
func (m *Machine) released(id keyspace.SliceID, r route) bool {
	freed, ok := m.ctl.freed[id]
	return ok && lower(m.rec.fence(r.seq), freed.fence)
}

// outageOwner returns the node that is to serve a slice while the store cannot be written, and
// why; empty leaves it as it is. What was released goes back to its owner, as the move cannot
// be written; if that is not fit, and for a lost owner, the successor that the record names
// takes it. A next controller waits for the reports of both.
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

// mayTakeBack reports whether a released slice may go back to its owner. With a write of it in
// doubt the record may name another owner already, which matters if the target checks no fences.
func (m *Machine) mayTakeBack(id keyspace.SliceID, owner string) bool {
	n := m.ctl.members[owner]
	if n == nil || !m.fit(n) || !m.listed(owner) {
		return false
	}
	inDoubt := m.write != nil && m.write.slices[id]
	return !inDoubt || n.Target.ChecksFences || m.guards.activateAny
}

// successorOf returns the node to activate for a slice: the successor of the record or, if
// a write in doubt assigns the slice, the owner that it names. Empty when neither is fit.
// A target that does not check fences is not activated: as the record does not name it, a
// next controller could not know that it may still run a request.
func (m *Machine) successorOf(id keyspace.SliceID) string {
	var names []string
	if a := m.rec.assignment(id); a != nil {
		names = append(names, a.Successor)
	}
	if m.write != nil && m.write.slices[id] {
		names = append(names, m.write.record.assignment(id).Owner)
	}
	for _, name := range names {
		n := m.ctl.members[name]
		if n != nil && m.fit(n) && m.listed(name) && (n.Target.ChecksFences || m.guards.activateAny) {
			return name
		}
	}
	return ""
}

// listed reports whether the record names the node, also if the write in doubt has taken
// effect. A next controller waits for the reports of the nodes that the record names.
func (m *Machine) listed(name string) bool {
	if m.guards.grantUnlisted {
		return true
	}
	_, ok := m.rec.Node(name)
	if ok && m.write != nil {
		_, ok = m.write.record.Node(name)
	}
	return ok
}

// settleActivations forgets the activations that the record now holds.
func (m *Machine) settleActivations() {
	for _, id := range sortedSlices(m.ctl.active) {
		act := m.ctl.active[id]
		if a := m.rec.assignment(id); a == nil || (a.Owner == act.owner && a.Seq == act.seq) {
			delete(m.ctl.active, id)
			m.decide("activation written", id, act.owner, "the record holds it")
		}
	}
}

// nextSeq takes a number for a new assignment. Numbers of an epoch start above all of the
// former ones, also above those that a former controller used without writing them.
func (m *Machine) nextSeq() uint64 {
	c := m.ctl
	c.seq = max(c.seq, m.rec.Seq, c.epoch<<epochShift) + 1
	return c.seq
}
