package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// gainByWrite extends the controller's authority after a write that is known to have taken
// effect. This is safe because a new standby waits before it may take over, and in a cell
// without a standby the candidates wait from when they first saw the written version.
func (m *Machine) gainByWrite(kind writeKind, sent time.Duration) {
	if m.ctl == nil || m.ctl.epoch != m.rec.Epoch {
		return
	}
	solo := m.rec.Standby.IsZero()
	if kind == writeNaming || kind == writeTakeover || solo {
		m.ctl.authority = max(m.ctl.authority, sent+m.timing.Promise)
	}
	if kind == writeTakeover {
		m.boundOwnLeases()
	}
}

// boundOwnLeases shortens the leases that a new controller holds from the previous one so that
// they end no later than its authority: the next controller does not wait for its report.
func (m *Machine) boundOwnLeases() {
	if m.guards.unboundOwnLease {
		return
	}
	var leases []Adoption
	for _, id := range sortedSlices(m.holder.held) {
		l := m.holder.held[id]
		if l.until <= m.ctl.authority {
			continue
		}
		l.until = m.ctl.authority
		leases = append(leases, Adoption{Slice: id, Fence: m.adoptedFence(id, l.fence), Until: l.until})
	}
	if len(leases) > 0 {
		m.emit(AdoptLeases{Leases: leases})
	}
}

func (m *Machine) askTick() {
	c := m.ctl
	if m.rec.Standby.IsZero() || c.resigned || m.now-c.askAt < m.timing.Ask {
		return
	}
	m.ask(false)
}

func (m *Machine) ask(resign bool) {
	c := m.ctl
	c.askAt = m.now
	c.askNumber++
	c.asked[c.askNumber] = m.now
	for number, at := range c.asked {
		if at < m.now-2*m.timing.Promise {
			delete(c.asked, number)
		}
	}
	to, _ := m.rec.Node(m.rec.Standby.Name)
	if n := c.members[m.rec.Standby.Name]; n != nil {
		to = n.Member
	}
	to.Node = m.rec.Standby
	ask := PromiseAsk{From: m.self, Standby: m.rec.Standby, Epoch: c.epoch, Number: c.askNumber, Resign: resign}
	m.emit(AskPromise{To: to, Ask: ask})
}

func (m *Machine) promiseAnswered(a PromiseAnswer) {
	c := m.ctl
	if c == nil || a.Epoch != c.epoch || a.From != m.rec.Standby || !a.Promised {
		return
	}
	sent, ok := c.asked[a.Number]
	if !ok {
		return
	}
	delete(c.asked, a.Number)
	if m.promiseDoubted(sent) {
		return
	}
	if m.guards.noDateByRequest {
		sent = m.now
	}
	c.authority = max(c.authority, sent+m.timing.Promise)
}

// promiseDoubted reports whether a promise requested at the time sent may come from a node that
// a write in doubt has already replaced as the standby.
func (m *Machine) promiseDoubted(sent time.Duration) bool {
	if !m.inDoubt(writeNaming) || m.guards.oldPromiseInDoubt {
		return false
	}
	return sent >= m.write.sent[0]
}

// namingTick names a standby if there is none, replaces one that is silent, restarted or
// leaving, and renews the record of a cell for which no standby is available.
func (m *Machine) namingTick() {
	c := m.ctl
	if m.write != nil || m.now < c.retryAt || c.resigned {
		return
	}
	current := m.rec.Standby
	left := c.authority - m.now
	best := m.bestStandby()
	switch {
	case current.IsZero() && !best.IsZero():
		m.nameStandby(best, "the cell has no standby")
	case !current.IsZero() && (left < m.timing.Promise/2 || m.standbyReplaced()):
		c.silentStandby, c.silentAt = current, m.now
		m.nameStandby(best, "the standby gives no promises")
	case m.standbyLeaving():
		m.nameStandby(best, "the standby is leaving")
	case current.IsZero() && left < m.timing.Promise*2/3:
		m.put(writeRenew, m.version, m.rec.Clone(), nil)
	}
}

// standbyReplaced reports whether the standby's VM now runs another incarnation.
func (m *Machine) standbyReplaced() bool {
	n := m.ctl.members[m.rec.Standby.Name]
	return n != nil && n.Node != m.rec.Standby
}

func (m *Machine) standbyLeaving() bool {
	n := m.ctl.members[m.rec.Standby.Name]
	return n != nil && n.leaving
}

// bestStandby returns a live node other than the current standby, preferably in another failure
// domain than the controller. It returns the zero Node if there is none.
func (m *Machine) bestStandby() Node {
	best, bestRank := Node{}, -1
	for _, name := range sortedNames(m.ctl.members) {
		n := m.ctl.members[name]
		if name == m.self.Name || n.Node == m.rec.Standby || n.leaving || !m.live(n) {
			continue
		}
		if n.Node == m.ctl.silentStandby && n.seen <= m.ctl.silentAt {
			continue
		}
		rank := 0
		if n.FailureDomain != m.cfg.Self.FailureDomain {
			rank = 1
		}
		if rank > bestRank {
			best, bestRank = n.Node, rank
		}
	}
	return best
}

// live reports whether the node sent a heartbeat within the last three heartbeat intervals.
func (m *Machine) live(n *memberState) bool { return m.now-n.seen < 3*m.timing.Heartbeat }

func (m *Machine) nameStandby(to Node, reason string) {
	r := m.rec.Clone()
	r.Standby = to
	r.Naming++
	if n := m.ctl.members[to.Name]; n != nil {
		r.putNode(n.Member)
	}
	m.decide("name standby", keyspace.SliceID{}, to.Name, reason)
	m.put(writeNaming, m.version, r, nil)
}
