package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// standby is the node's state as the standby controller, and as a candidate for a takeover in a
// cell without a standby.
type standby struct {
	// roleVersion is the record's RoleVersion with which this node became the standby; zero if it
	// is not.
	roleVersion uint64
	// takeoverAfter is the time until which the node must not take over.
	takeoverAfter time.Duration
	// leasesEnd is the time by which all leases that the controller granted under this node's
	// promises have lapsed. A resignation makes takeoverAfter earlier but not leasesEnd.
	leasesEnd time.Duration
	// retryAt is the earliest time of the next takeover after a failed write.
	retryAt time.Duration
	// probedAt is when the controller and the standby were last probed.
	probedAt time.Duration
}

// updateStandbyRole starts or ends this node's role as the standby, according to the record. A new
// standby waits as if it had just promised, because the write that named it gave the controller
// authority.
func (m *Machine) updateStandbyRole() {
	s := &m.standby
	if !m.isStandby() {
		s.roleVersion = 0
		return
	}
	if s.roleVersion == m.record.RoleVersion {
		return
	}
	s.roleVersion = m.record.RoleVersion
	if !m.guards.noStandbyWait {
		s.postponeTakeover(m.now + m.timing.withDrift(max(m.timing.Lease, m.timing.Promise)))
	}
	m.logDecision("standby", keyspace.SliceID{}, m.self.Name, "the record names this node")
}

// postponeTakeover postpones the earliest time of a takeover.
func (s *standby) postponeTakeover(until time.Duration) {
	s.takeoverAfter = max(s.takeoverAfter, until)
	s.leasesEnd = max(s.leasesEnd, until)
}

func (m *Machine) isStandby() bool {
	return m.record != nil && m.isSelf(m.record.Standby) && !m.isSelf(m.record.Controller)
}

// isSelf reports whether n is this process; a previous incarnation of it is not.
func (m *Machine) isSelf(n Node) bool {
	if m.guards.ignoreIncarnation {
		return n.Name == m.self.Name
	}
	return n == m.self
}

func (m *Machine) promiseRequested(request PromiseRequest) {
	answer := PromiseResponse{From: m.self, Epoch: request.Epoch, Number: request.Number}
	answer.Promised = m.mayPromise(request)
	switch {
	case answer.Promised && request.Resign:
		m.standby.takeoverAfter = min(m.standby.takeoverAfter, m.now)
		m.standbyTick()
	case answer.Promised:
		m.standby.postponeTakeover(m.now + m.timing.withDrift(m.timing.Promise))
	case m.record == nil || request.Epoch >= m.record.Epoch:
		m.readRecord()
	}
	m.emit(AnswerPromise{To: request.From, Answer: answer})
}

// mayPromise reports whether the node is the standby of the requesting controller and has no
// takeover write that could still take effect.
func (m *Machine) mayPromise(request PromiseRequest) bool {
	if m.record == nil || !m.isStandby() {
		return false
	}
	if m.record.Epoch != request.Epoch || m.record.Controller != request.From || !m.isSelf(request.Standby) {
		return false
	}
	return !m.writePending(writeTakeover) || m.guards.promiseDuringTakeover
}

func (m *Machine) standbyTick() {
	m.probeTick()
	if m.record == nil || m.write != nil || m.now < m.standby.retryAt || m.leaving {
		return
	}
	if reason := m.takeoverReason(); reason != "" {
		m.takeOver(reason)
	}
}

// probeTick checks, while the controller is silent, whether its process or the standby's has
// exited.
func (m *Machine) probeTick() {
	s := &m.standby
	if m.record == nil || m.ctl != nil || !m.controllerSilent() || m.now-s.probedAt < probeInterval {
		return
	}
	s.probedAt = m.now
	for _, n := range []Node{m.record.Controller, m.record.Standby} {
		member, ok := m.record.Node(n.Name)
		if ok && n != m.self {
			member.Node = n
			m.emit(ProbePeer{Peer: member})
		}
	}
}

// takeoverReason returns why this node may take over now, "" if it may not.
func (m *Machine) takeoverReason() string {
	switch {
	case m.isSelf(m.record.Controller):
		return ""
	case m.isStandby() && m.now > m.standby.takeoverAfter:
		return "the promise to the controller has lapsed"
	case m.record.Standby.IsZero() && m.record.Controller.Name == m.self.Name:
		return "the controller was the previous process on this VM"
	case !m.controllerSilent() || m.recordConfirmedAt <= m.holder.lastAcceptedAt:
		return "" // the controller answers, or the record was not read since its last answer
	case m.record.Standby.IsZero() && m.recordNotRenewed():
		return "the controller without a standby has stopped renewing the record"
	case m.bothLost():
		return "controller and standby are lost"
	default:
		return ""
	}
}

// recordNotRenewed reports, for a cell without a standby, whether the record's version has been
// unchanged for so long that the controller's authority, which only a write extends, has ended.
func (m *Machine) recordNotRenewed() bool {
	if m.guards.noSilenceWithoutStandby {
		return true
	}
	return m.recordConfirmedAt-m.versionSeenAt > m.timing.withDrift(m.timing.Promise)
}

// bothLost reports whether the controller can have no authority and the standby does not take
// over. That is so in three cases:
//
//   - The processes of both have exited.
//   - The controller's process exited longer ago than the duration of a promise; until then a
//     live standby takes over first.
//   - The standby's process has exited, and the duration of a promise has passed since then
//     and since the record's version was first seen: the controller's authority came from the
//     standby's last promise or from the write that named it. If a later write extended the
//     authority, it changed the version, and a takeover on the version known here fails.
func (m *Machine) bothLost() bool {
	grace := m.timing.withDrift(m.timing.Promise)
	if m.record.Standby.IsZero() || m.isStandby() {
		return false
	}
	at, ok := m.exitedPeers[m.record.Standby]
	if since, gone := m.exitedPeers[m.record.Controller]; gone && (ok || m.now-since > grace) {
		return true // an exited controller has no authority; a live standby takes over first
	}
	return ok && (m.now-max(at, m.versionSeenAt) > grace || m.guards.ignoreExitedPromise)
}

// takeOver writes a record that names this node as the controller of a new epoch.
func (m *Machine) takeOver(reason string) {
	r := m.record.Clone()
	r.PreviousController = r.Controller
	r.Epoch++
	r.FenceEpoch++
	r.RoleVersion++
	r.Controller = m.self
	r.putNode(m.selfMember())
	r.Standby = m.nextStandby(r)
	m.logDecision("take over", keyspace.SliceID{}, m.self.Name, reason)
	m.startWrite(writeTakeover, m.recordVersion, r, nil)
}

// nextStandby picks the standby for a takeover: a node that the record lists, preferably in
// another failure domain. If it turns out to be silent, the controller replaces it.
func (m *Machine) nextStandby(r *Record) Node {
	best, other := Node{}, false
	for _, n := range r.Nodes {
		if n.Name == m.self.Name || n.Name == r.PreviousController.Name || n.Name == m.record.Standby.Name {
			continue
		}
		if _, gone := m.exitedPeers[n.Node]; gone {
			continue
		}
		away := n.FailureDomain != m.cfg.Self.FailureDomain
		if best.IsZero() || (away && !other) {
			best, other = n.Node, away
		}
	}
	return best
}
