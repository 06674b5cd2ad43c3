package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
)

const (
	// maxFillingShare is the maximum share of the cell's slices that move at the same time when
	// new nodes are filled.
	maxFillingShare = 0.125
	// churnPerMinute is the maximum share of the cell's slices that move per minute to balance
	// the work.
	churnPerMinute = 0.02
	// spreadInterval is the interval between decisions to spread slices and work.
	spreadInterval = time.Second
	// hotWork is the least work of a key that gets a slice of its own, in milliseconds of slot
	// time per second.
	hotWork = 500
	// minHotShare is the least share of its slice's work that such a key has, in thousandths.
	minHotShare = 500
	// maxHotKeys is the maximum number of keys with a slice of their own in one range.
	maxHotKeys = 32
)

// startMove starts a planned move by asking the owner to drain the slice. An empty to leaves
// the choice of the new owner until the release.
func (m *Machine) startMove(id keyspace.SliceID, to, reason, hotKey string) {
	c := m.ctl
	if _, busy := c.moves[id]; busy {
		return
	}
	r := c.routes.slices[id]
	c.moves[id] = plannedMove{to: to, reason: reason, hotKey: hotKey, seq: r.seq, since: m.now}
	m.logDecision("move slice", id, to, reason)
	m.refreshRoutes()
	m.pokeMember(r.owner)
}

// planMoves starts planned moves: away from nodes that must give up slices, to new nodes, for
// hot keys and to balance the work.
func (m *Machine) planMoves() {
	c := m.ctl
	interval := spreadInterval
	if len(c.plans.filling) > 0 {
		interval = planInterval
	}
	spread := m.now-c.plans.joinedAt >= settleTime && m.now-c.plans.spreadAt >= interval
	if !spread && !m.anyMustGiveUp() {
		return
	}
	p := m.problem()
	if len(p.Nodes) == 0 {
		m.drainLeavingNodes(p)
		return
	}
	m.moveAway(p)
	if !spread {
		return
	}
	c.plans.spreadAt = m.now
	m.fillNodes(m.pinUnmovable(p))
	m.splitHotKeys()
	m.balance(m.pinUnmovable(p))
}

// anyMustGiveUp reports whether any node must give up its slices.
func (m *Machine) anyMustGiveUp() bool {
	for _, n := range m.ctl.members {
		if n.leaving || m.targetUnavailable(n) {
			return true
		}
	}
	return false
}

// fillNodes moves slices to nodes far below their quota of slices, until they reach it.
func (m *Machine) fillNodes(p placement.Problem) {
	c := m.ctl
	limit := max(1, int(maxFillingShare*float64(len(p.Slices)))) - len(c.moves)
	if limit <= 0 {
		return
	}
	filling := make(map[string]bool)
	for _, mv := range placement.Fill(p, limit) {
		filling[mv.To] = true
		m.startMove(mv.ID, mv.To, mv.Reason, "")
	}
	c.plans.filling = filling
}

// pinUnmovable marks the slices of p that are moving or not granted as not movable.
func (m *Machine) pinUnmovable(p placement.Problem) placement.Problem {
	for i := range p.Slices {
		_, moving := m.ctl.moves[p.Slices[i].ID]
		_, granted := m.ctl.granted[p.Slices[i].ID]
		p.Slices[i].Pinned = moving || !granted
	}
	return p
}

// moveAway moves slices away from nodes that leave, whose target accepts no work, or that the
// sheet no longer allows.
func (m *Machine) moveAway(p placement.Problem) {
	needs := func(s placement.Slice) bool {
		_, granted := m.ctl.granted[s.ID]
		return !s.Pinned && granted && m.mustMove(s)
	}
	for _, mv := range placement.Assign(p, needs) {
		m.startMove(mv.ID, mv.To, m.moveReason(mv.From), "")
	}
}

func (m *Machine) mustMove(s placement.Slice) bool {
	n := m.ctl.members[s.Owner]
	if n == nil || !m.live(n) {
		return false
	}
	return n.leaving || m.targetUnavailable(n) || !placement.Allowed(s.Targets, s.Owner)
}

// targetUnavailable reports whether the node's target is draining or has been absent for longer
// than suspectAfter.
func (m *Machine) targetUnavailable(n *memberState) bool {
	switch n.Target.State {
	case TargetDraining:
		return true
	case TargetAbsent:
		return m.now-n.unavailableSince > suspectAfter
	default:
		return false
	}
}

func (m *Machine) moveReason(owner string) string {
	n := m.ctl.members[owner]
	switch {
	case n != nil && n.leaving:
		return "its owner is leaving"
	case n != nil && m.targetUnavailable(n):
		return "its owner's target accepts no requests"
	default:
		return "the sheet no longer allows its owner"
	}
}

// drainLeavingNodes drains a leaving node although no other node can take its slices.
func (m *Machine) drainLeavingNodes(p placement.Problem) {
	for _, s := range p.Slices {
		n := m.ctl.members[s.Owner]
		if _, granted := m.ctl.granted[s.ID]; n != nil && n.leaving && granted {
			m.startMove(s.ID, "", "its owner is leaving and no other node is ready", "")
		}
	}
}

// balance moves slices to even out the measured work, within the limit on churn.
func (m *Machine) balance(p placement.Problem) {
	c := m.ctl
	if m.now-c.plans.churnAt > time.Minute {
		c.plans.churnAt, c.plans.churnCount = m.now, 0
	}
	budget := max(1, int(churnPerMinute*float64(len(p.Slices)))) - c.plans.churnCount
	if budget <= 0 || len(c.moves) > 0 {
		return
	}
	for _, mv := range placement.Balance(p, budget) {
		m.startMove(mv.ID, mv.To, mv.Reason, "")
		c.plans.churnCount++
	}
}

// splitHotKeys gives hot keys a slice of their own. The base slice is drained first and then
// granted again, so that no request for the key still runs under it.
func (m *Machine) splitHotKeys() {
	c := m.ctl
	for _, id := range sortedSlices(c.plans.loads.slices) {
		w := c.plans.loads.slices[id]
		work := c.plans.loads.work(id, m.now) * float64(w.hotShare) / 1000
		if w.hotKey == "" || w.hotShare < minHotShare || work < hotWork || !m.splittable(id, w.hotKey) {
			continue
		}
		m.startMove(id, c.routes.slices[id].owner, "one key causes most of the slice's work", w.hotKey)
	}
}

func (m *Machine) splittable(id keyspace.SliceID, key string) bool {
	c := m.ctl
	if _, granted := c.granted[id]; !granted {
		return false
	}
	for i := range m.record.Ranges {
		rr := &m.record.Ranges[i]
		if rr.Range.ID() != id.Range {
			continue
		}
		return id.Index < rr.Range.Slices && len(rr.Hot) < maxHotKeys && rr.Range.SliceOf(key) == id
	}
	return false
}

// resignTick hands the controller's role to the standby once this node, which is leaving, owns
// nothing any more.
func (m *Machine) resignTick() {
	c := m.ctl
	if !m.leaving || len(c.routes.owned[m.self.Name]) > 0 || len(m.holder.held) > 0 {
		return
	}
	if !c.resigned && m.record.Standby.IsZero() && m.anyOtherLive() {
		// There is no standby to hand over to, usually because all nodes are leaving. The
		// controller leaves last, because only it can accept the releases of the others.
		return
	}
	if c.resigned || m.record.Standby.IsZero() {
		c.resigned = true
		m.leaveDone()
		return
	}
	if m.write != nil {
		return
	}
	c.resigned = true
	m.logDecision("resign", keyspace.SliceID{}, m.self.Name, "this node is leaving")
	m.requestPromise(true)
}

// anyOtherLive reports whether another node of the cell is live.
func (m *Machine) anyOtherLive() bool {
	for name, n := range m.ctl.members {
		if name != m.self.Name && m.live(n) {
			return true
		}
	}
	return false
}

// finishUnansweredLeave completes the departure of a node that holds nothing and that no
// controller answers: its leases have lapsed, and the next controller finds that out by itself.
func (m *Machine) finishUnansweredLeave() {
	h := &m.holder
	if !m.leaving || m.ctl != nil || len(h.held) > 0 || m.now-h.lastAcceptedAt < 2*m.timing.withDrift(m.timing.Lease) {
		return
	}
	if !m.departed {
		m.logDecision("leave", keyspace.SliceID{}, m.self.Name, "this node holds no slices and no controller answers")
	}
	m.leaveDone()
}
