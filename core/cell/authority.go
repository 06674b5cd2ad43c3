package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// extendAuthority extends the controller's authority after a write that is known to have taken
// effect. This is safe because a new standby waits before it may take over, and in a cell
// without a standby the candidates wait from when they first saw the written version.
func (m *Machine) extendAuthority(kind writeKind, sent time.Duration) {
	if m.ctl == nil || m.ctl.epoch != m.record.Epoch {
		return
	}
	solo := m.record.Standby.IsZero()
	if kind == writeStandby || kind == writeTakeover || solo {
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
	var leases []AdoptedLease
	for _, id := range sortedSlices(m.holder.held) {
		l := m.holder.held[id]
		if l.until <= m.ctl.authority {
			continue
		}
		l.until = m.ctl.authority
		leases = append(leases, AdoptedLease{Slice: id, Fence: m.adoptedFence(id, l.fence), Until: l.until})
	}
	if len(leases) > 0 {
		m.emit(AdoptLeases{Leases: leases})
	}
}

func (m *Machine) promiseTick() {
	c := m.ctl
	if m.record.Standby.IsZero() || c.resigned || m.now-c.promiseRequestedAt < m.timing.PromiseInterval {
		return
	}
	m.requestPromise(false)
}

func (m *Machine) requestPromise(resign bool) {
	c := m.ctl
	c.promiseRequestedAt = m.now
	c.promiseNumber++
	c.pendingPromises[c.promiseNumber] = m.now
	for number, at := range c.pendingPromises {
		if at < m.now-2*m.timing.Promise {
			delete(c.pendingPromises, number)
		}
	}
	to, _ := m.record.Node(m.record.Standby.Name)
	if n := c.members[m.record.Standby.Name]; n != nil {
		to = n.Member
	}
	to.Node = m.record.Standby
	request := PromiseRequest{From: m.self, Standby: m.record.Standby, Epoch: c.epoch, Number: c.promiseNumber, Resign: resign}
	m.emit(RequestPromise{To: to, Request: request})
}

func (m *Machine) promiseAnswered(a PromiseResponse) {
	c := m.ctl
	if c == nil || a.Epoch != c.epoch || a.From != m.record.Standby || !a.Promised {
		return
	}
	sent, ok := c.pendingPromises[a.Number]
	if !ok {
		return
	}
	delete(c.pendingPromises, a.Number)
	if m.fromReplacedStandby(sent) {
		return
	}
	if m.guards.dateByAnswer {
		sent = m.now
	}
	c.authority = max(c.authority, sent+m.timing.Promise)
}

// fromReplacedStandby reports whether a promise requested at the time sent may come from a node
// that a write in progress or in doubt has already replaced as the standby.
func (m *Machine) fromReplacedStandby(sent time.Duration) bool {
	if !m.writePending(writeStandby) || m.guards.acceptReplacedStandby {
		return false
	}
	return sent >= m.write.sentAt[0]
}

// nameStandbyTick names a standby if there is none, replaces one that is silent, restarted or
// leaving, and renews the record of a cell for which no standby is available.
func (m *Machine) nameStandbyTick() {
	c := m.ctl
	if m.write != nil || m.now < c.retryAt || c.resigned {
		return
	}
	current := m.record.Standby
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
		m.startWrite(writeRenew, m.recordVersion, m.record.Clone(), nil)
	}
}

// standbyReplaced reports whether the standby's VM now runs another incarnation.
func (m *Machine) standbyReplaced() bool {
	n := m.ctl.members[m.record.Standby.Name]
	return n != nil && n.Node != m.record.Standby
}

func (m *Machine) standbyLeaving() bool {
	n := m.ctl.members[m.record.Standby.Name]
	return n != nil && n.leaving
}

// bestStandby returns a live node that is not leaving, other than the current standby and
// preferably in another failure domain than the controller. A standby that was replaced because it
// was silent counts again from its next heartbeat. It returns the zero Node if there is none.
func (m *Machine) bestStandby() Node {
	best, bestRank := Node{}, -1
	for _, name := range sortedNames(m.ctl.members) {
		n := m.ctl.members[name]
		if name == m.self.Name || n.Node == m.record.Standby || n.leaving || !m.live(n) {
			continue
		}
		if n.Node == m.ctl.silentStandby && n.lastSeen <= m.ctl.silentAt {
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
func (m *Machine) live(n *memberState) bool { return m.now-n.lastSeen < 3*m.timing.HeartbeatInterval }

func (m *Machine) nameStandby(to Node, reason string) {
	r := m.record.Clone()
	r.Standby = to
	r.RoleVersion++
	if n := m.ctl.members[to.Name]; n != nil {
		r.putNode(n.Member)
	}
	m.logDecision("name standby", keyspace.SliceID{}, to.Name, reason)
	m.startWrite(writeStandby, m.recordVersion, r, nil)
}
