package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
)

const (
	// drainingMax bounds the slices that are drained at one time for balance, as a share.
	drainingMax = 0.125
	// churnPerMinute bounds planned moves for balance, as a share of the cell's slices.
	churnPerMinute = 0.02
	// spreadInterval is the time between two decisions that spread slices and work.
	spreadInterval = time.Second
	// hotWork is the slot time per second of one key that earns it a slice, in milliseconds.
	hotWork = 500
	// hotShareMin is the least share of its slice's work of such a key, in thousandths.
	hotShareMin = 500
	// hotKeysMax bounds the keys with a slice of their own in one range.
	hotKeysMax = 32
)

// startMove asks the owner to drain the slice.
func (m *Machine) startMove(id keyspace.SliceID, to, reason, hotKey string) {
	c := m.ctl
	if _, busy := c.moving[id]; busy {
		return
	}
	r := c.routes.slices[id]
	c.moving[id] = movement{to: to, reason: reason, hotKey: hotKey, seq: r.seq, since: m.now}
	m.decide("move slice", id, to, reason)
	m.refreshRoutes()
	m.pokeName(r.owner)
}

// planMoves starts the planned moves that the present state asks for.
func (m *Machine) planMoves() {
	c := m.ctl
	interval := spreadInterval
	if len(c.plans.filling) > 0 {
		interval = planInterval
	}
	spread := m.now-c.plans.joinedAt >= settleTime && m.now-c.plans.spreadAt >= interval
	if !spread && !m.anyLeaves() {
		return
	}
	p := m.problem()
	if len(p.Nodes) == 0 {
		m.emptyLeaving(p)
		return
	}
	m.moveAway(p)
	if !spread {
		return
	}
	c.plans.spreadAt = m.now
	m.fill(m.pinned(p))
	m.splitHot()
	m.balance(m.pinned(p))
}

// anyLeaves reports whether some node must give its slices away.
func (m *Machine) anyLeaves() bool {
	for _, n := range m.ctl.members {
		if n.leaving || m.unfit(n) {
			return true
		}
	}
	return false
}

// fill moves slices to nodes that lack most of their share, until they have it.
func (m *Machine) fill(p placement.Problem) {
	c := m.ctl
	limit := max(1, int(drainingMax*float64(len(p.Slices)))) - len(c.moving)
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

// pinned marks the slices of p that move or are not served.
func (m *Machine) pinned(p placement.Problem) placement.Problem {
	for i := range p.Slices {
		_, moving := m.ctl.moving[p.Slices[i].ID]
		_, granted := m.ctl.granted[p.Slices[i].ID]
		p.Slices[i].Pinned = moving || !granted
	}
	return p
}

// moveAway drains what nodes that leave, have no target, or are no longer allowed own.
func (m *Machine) moveAway(p placement.Problem) {
	needs := func(s placement.Slice) bool {
		_, granted := m.ctl.granted[s.ID]
		return !s.Pinned && granted && m.mustLeave(s)
	}
	for _, mv := range placement.Assign(p, needs) {
		m.startMove(mv.ID, mv.To, m.leaveReason(mv.From), "")
	}
}

func (m *Machine) mustLeave(s placement.Slice) bool {
	n := m.ctl.members[s.Owner]
	if n == nil || !m.live(n) {
		return false
	}
	return n.leaving || m.unfit(n) || !placement.Allowed(s.Targets, s.Owner)
}

// unfit reports whether the node's target takes no work for good.
func (m *Machine) unfit(n *memberState) bool {
	switch n.Target.State {
	case TargetDraining:
		return true
	case TargetAbsent:
		return m.now-n.badSince > suspectAfter
	default:
		return false
	}
}

func (m *Machine) leaveReason(owner string) string {
	n := m.ctl.members[owner]
	switch {
	case n != nil && n.leaving:
		return "its owner leaves"
	case n != nil && m.unfit(n):
		return "its owner's target takes no work"
	default:
		return "the sheet no longer allows its owner"
	}
}

// emptyLeaving drains a leaving node although nobody else can take its slices.
func (m *Machine) emptyLeaving(p placement.Problem) {
	for _, s := range p.Slices {
		n := m.ctl.members[s.Owner]
		if _, granted := m.ctl.granted[s.ID]; n != nil && n.leaving && granted {
			m.startMove(s.ID, "", "its owner leaves and no other node is ready", "")
		}
	}
}

// balance moves measured work, within the churn budget.
func (m *Machine) balance(p placement.Problem) {
	c := m.ctl
	if m.now-c.plans.churnAt > time.Minute {
		c.plans.churnAt, c.plans.churned = m.now, 0
	}
	budget := max(1, int(churnPerMinute*float64(len(p.Slices)))) - c.plans.churned
	if budget <= 0 || len(c.moving) > 0 {
		return
	}
	for _, mv := range placement.Balance(p, budget) {
		m.startMove(mv.ID, mv.To, mv.Reason, "")
		c.plans.churned++
	}
}

// splitHot gives keys that carry much work a slice of their own. The base slice is drained
// and granted again, so that no request of the key is left under it.
func (m *Machine) splitHot() {
	c := m.ctl
	for _, id := range sortedSlices(c.plans.loads.slices) {
		w := c.plans.loads.slices[id]
		work := c.plans.loads.work(id, m.now) * float64(w.hotShare) / 1000
		if w.hotKey == "" || w.hotShare < hotShareMin || work < hotWork || !m.splittable(id, w.hotKey) {
			continue
		}
		m.startMove(id, c.routes.slices[id].owner, "one key carries most of the slice's work", w.hotKey)
	}
}

func (m *Machine) splittable(id keyspace.SliceID, key string) bool {
	c := m.ctl
	if _, granted := c.granted[id]; !granted {
		return false
	}
	for i := range m.rec.Ranges {
		rr := &m.rec.Ranges[i]
		if rr.Range.ID() != id.Range {
			continue
		}
		return id.Index < rr.Range.Slices && len(rr.Hot) < hotKeysMax && rr.Range.SliceOf(key) == id
	}
	return false
}

// leaveTick hands the controller's part to the standby when this node leaves and owns
// nothing any more.
func (m *Machine) leaveTick() {
	c := m.ctl
	if !m.leaving || len(c.routes.owned[m.self.Name]) > 0 || len(m.holder.held) > 0 {
		return
	}
	if !c.resigned && m.rec.Standby.IsZero() && m.anyOtherLive() {
		// All nodes leave: the controller goes last, for only it can take their slices back.
		return
	}
	if c.resigned || m.rec.Standby.IsZero() {
		c.resigned = true
		m.leaveDone()
		return
	}
	if m.write != nil {
		return
	}
	c.resigned = true
	m.decide("resign", keyspace.SliceID{}, m.self.Name, "this node leaves")
	m.ask(true)
}

// anyOtherLive reports whether another node of the cell was heard of late.
func (m *Machine) anyOtherLive() bool {
	for name, n := range m.ctl.members {
		if name != m.self.Name && m.live(n) {
			return true
		}
	}
	return false
}

// leaveUnheard ends the leave of a node that holds nothing and that no controller answers: its
// leases have lapsed, and whoever takes over finds that out by itself.
func (m *Machine) leaveUnheard() {
	h := &m.holder
	if !m.leaving || m.ctl != nil || len(h.held) > 0 || m.now-h.heard < 2*m.timing.wait(m.timing.Lease) {
		return
	}
	if !m.left {
		m.decide("leave", keyspace.SliceID{}, m.self.Name, "nothing is held and no controller answers")
	}
	m.leaveDone()
}
