package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// issuedLease is the newest lease that may exist on a slice, as the controller knows it.
type issuedLease struct {
	node  Node
	fence fence.Fence
	until time.Duration
}

// activation is an assignment made while the store could not be written; it is in force although
// the record does not contain it yet.
type activation struct {
	owner string
	seq   uint64
}

// plannedMove is a planned move: the owner drains and releases the slice, then the record is
// changed.
type plannedMove struct {
	to     string
	reason string
	// hotKey is the key that gets a slice of its own with this move; empty for none.
	hotKey string
	// seq is the number of the assignment that the move ends.
	seq   uint64
	since time.Duration
}

// releasedSlice is a slice that its owner has released.
type releasedSlice struct {
	fence  fence.Fence
	window []byte
}

// handover is a window of request ids to be passed to the next owner. It is valid for one
// assignment and only for the first process that is granted it: for a later one it would lack
// the requests that ran in between.
type handover struct {
	seq    uint64
	node   Node
	window []byte
}

// memberState is the controller's state of one node.
type memberState struct {
	Member
	// lastSeen is when the last heartbeat arrived, heartbeatNumber its number.
	lastSeen        time.Duration
	heartbeatNumber uint64
	leaving         bool
	// reported holds the leases that the node had when it first reported to the epoch.
	reported map[keyspace.SliceID]fence.Fence
	// grantSet is the current set of grants and setID its number.
	grantSet map[keyspace.SliceID]fence.Fence
	setID    uint64
	// unavailableSince is when the target was first reported neither ready nor starting, zero if
	// it is one of them.
	unavailableSince time.Duration
}

// controller is the state of a node that is the controller of an epoch.
type controller struct {
	epoch uint64
	// authority is the time until which the controller may grant and decide.
	authority time.Duration
	// pendingPromises holds when each unanswered request for a promise was sent, by its number.
	pendingPromises    map[uint64]time.Duration
	promiseNumber      uint64
	promiseRequestedAt time.Duration
	retryAt            time.Duration
	resigned           bool
	// silentStandby was replaced at silentAt; it is not named again before its next heartbeat.
	silentStandby Node
	silentAt      time.Duration

	// quiet is set until every lease of the previous controller is known or has lapsed.
	quiet      bool
	quietUntil time.Duration
	// unreported holds the nodes that have not yet reported to the epoch.
	unreported map[string]bool
	// pokedAt is when the unreported nodes were last poked.
	pokedAt time.Duration
	// startedAt is when this node became the controller.
	startedAt time.Duration

	members     map[string]*memberState
	granted     map[keyspace.SliceID]issuedLease
	activations map[keyspace.SliceID]activation
	moves       map[keyspace.SliceID]plannedMove
	released    map[keyspace.SliceID]releasedSlice
	windows     map[keyspace.SliceID]handover
	// targetProbedAt is when the target of a lost node was last probed, by the node's name.
	targetProbedAt map[string]time.Duration
	// exitedTargets is the incarnation of a target known to have exited, by its node's name.
	exitedTargets map[string]uint64
	// stopDrains holds the nodes that planned stops require to be drained.
	stopDrains map[string]bool
	// lastSeq is the highest assignment number used, lastSetID the highest number of a set of
	// grants.
	lastSeq   uint64
	lastSetID uint64

	routes     routes
	otherCells otherCells
	plans      planState
}

// updateControllerRole starts or ends this node's role as the controller, according to the record.
func (m *Machine) updateControllerRole() {
	if !m.isSelf(m.record.Controller) {
		if m.ctl != nil {
			m.logDecision("controller ends", keyspace.SliceID{}, m.self.Name, "the record names another controller")
			m.emit(Watch{On: false})
		}
		m.ctl = nil
		return
	}
	if m.ctl == nil || m.ctl.epoch != m.record.Epoch {
		m.becomeController()
	}
	m.settleActivations()
	m.refreshRoutes()
}

// becomeController starts an epoch with a quiet time, during which only nodes that report
// holding a slice are granted it.
func (m *Machine) becomeController() {
	c := &controller{
		epoch: m.record.Epoch, startedAt: m.now, pokedAt: m.now, promiseRequestedAt: -time.Hour, authority: m.now,
		quiet: !m.guards.noQuietTime, quietUntil: m.previousLeasesEnd(),
		pendingPromises: make(map[uint64]time.Duration),
		unreported:      make(map[string]bool),
		members:         make(map[string]*memberState),
		granted:         make(map[keyspace.SliceID]issuedLease),
		activations:     make(map[keyspace.SliceID]activation),
		moves:           make(map[keyspace.SliceID]plannedMove),
		released:        make(map[keyspace.SliceID]releasedSlice),
		windows:         make(map[keyspace.SliceID]handover),
		targetProbedAt:  make(map[string]time.Duration),
		exitedTargets:   make(map[string]uint64),
	}
	c.routes.init(c.epoch)
	c.plans.init()
	m.ctl = c
	for _, n := range m.record.Nodes {
		if n.Node != m.record.PreviousController {
			c.unreported[n.Name] = true
		}
	}
	m.logDecision("controller", keyspace.SliceID{}, m.self.Name, "the record names this node")
	m.emit(Watch{On: true})
	m.pokeAll()
}

// previousLeasesEnd returns when every lease of the previous controller has lapsed: a lease's
// duration from now or, if its process is known to have exited earlier, from when this node
// learned of it.
//
// A lease ends no later than the authority of the controller that granted it, and the authority
// ends before the standby's promise. So a standby that takes over after its promise has lapsed
// need not wait longer.
func (m *Machine) previousLeasesEnd() time.Duration {
	if m.standby.roleVersion != 0 && m.record.RoleVersion == m.standby.roleVersion+1 && !m.guards.fullQuietTime {
		return m.standby.leasesEnd
	}
	last := m.now
	if at, ended := m.exitedPeers[m.record.PreviousController]; ended {
		last = min(last, at)
	}
	return last + m.timing.withDrift(m.timing.Lease)
}

// pokeAll asks every node that the record lists to report to this epoch.
func (m *Machine) pokeAll() {
	for _, n := range m.record.Nodes {
		if n.Name != m.self.Name {
			m.poke(n)
		}
	}
	m.holder.heartbeatNow = true
}

func (m *Machine) poke(to Member) {
	m.emit(SendPoke{To: to, Poke: Poke{Epoch: m.ctl.epoch, Controller: m.selfMember()}})
}

// pokeMember asks a member for an immediate heartbeat, so that its grants reach it without delay.
func (m *Machine) pokeMember(name string) {
	if name == m.self.Name {
		m.holder.heartbeatNow = true
		return
	}
	if n := m.ctl.members[name]; n != nil {
		m.poke(n.Member)
	}
}

// hasAuthority reports whether the controller may grant and decide.
func (m *Machine) hasAuthority() bool { return m.now < m.ctl.authority && !m.ctl.resigned }

func (m *Machine) controllerTick() {
	if m.ctl == nil {
		return
	}
	m.promiseTick()
	m.nameStandbyTick()
	m.quietTick()
	m.planTick()
}

// quietTick ends the quiet time once every node that may hold a lease has reported or all
// leases of the previous controller have lapsed. Until then it pokes the missing nodes.
func (m *Machine) quietTick() {
	c := m.ctl
	if !c.quiet {
		return
	}
	switch {
	case c.unreported != nil && len(c.unreported) == 0:
		m.endQuiet("every node has reported")
	case m.now > c.quietUntil:
		m.endQuiet("the previous controller's leases have lapsed")
	case m.now-c.pokedAt >= pokeInterval:
		m.pokeUnreported()
	}
}

// pokeInterval is the interval between pokes to the nodes that have not reported.
const pokeInterval = 250 * time.Millisecond

func (m *Machine) pokeUnreported() {
	c := m.ctl
	c.pokedAt = m.now
	for _, name := range sortedNames(c.unreported) {
		if n, ok := m.record.Node(name); ok && name != m.self.Name {
			m.poke(n)
		}
	}
}

// endQuiet ends the quiet time and pokes all owners, so that they get the grants that the
// record assigns to them.
func (m *Machine) endQuiet(reason string) {
	m.ctl.quiet = false
	m.logDecision("quiet time ends", keyspace.SliceID{}, m.self.Name, reason)
	for _, name := range sortedNames(m.ctl.routes.owned) {
		m.pokeMember(name)
	}
}

// clockJumped gives up the authority and treats every lease as if it had just been granted.
func (c *controller) clockJumped(now, until time.Duration) {
	c.authority = now
	c.pendingPromises = make(map[uint64]time.Duration)
	c.quietUntil = max(c.quietUntil, until)
	for id, g := range c.granted {
		g.until = max(g.until, until)
		c.granted[id] = g
	}
	for _, n := range c.members {
		n.lastSeen = max(n.lastSeen, now)
	}
}
