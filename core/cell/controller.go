package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// grantState is the newest lease that may exist on a slice, as the controller knows it.
type grantState struct {
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

// movement is a planned move: the owner drains and releases the slice, then the record is
// changed.
type movement struct {
	to     string
	reason string
	// hotKey is the key that gets a slice of its own with this move; empty for none.
	hotKey string
	// seq is the number of the assignment that the move ends.
	seq   uint64
	since time.Duration
}

// release is a slice that its owner has released.
type release struct {
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
	// seen is when the last heartbeat arrived, number its number.
	seen    time.Duration
	number  uint64
	leaving bool
	// reported holds the leases that the node had when it first reported to the epoch.
	reported map[keyspace.SliceID]fence.Fence
	// set is the current set of grants and setID its number.
	set   map[keyspace.SliceID]fence.Fence
	setID uint64
	// badSince is when the target was first reported neither ready nor starting, zero if it is
	// one of them.
	badSince time.Duration
}

// controller is the state of a node that is the controller of an epoch.
type controller struct {
	epoch uint64
	// authority is the time until which the controller may grant and decide.
	authority time.Duration
	// asked holds when each unanswered request for a promise was sent, by its number.
	asked     map[uint64]time.Duration
	askNumber uint64
	askAt     time.Duration
	retryAt   time.Duration
	resigned  bool
	// silentStandby was replaced at silentAt; it is not named again before its next heartbeat.
	silentStandby Node
	silentAt      time.Duration

	// quiet is set until every lease of the previous controller is known or has lapsed.
	quiet      bool
	quietUntil time.Duration
	// expected holds the nodes that have not yet reported to the epoch.
	expected map[string]bool
	// pokedAt is when the expected nodes were last poked.
	pokedAt time.Duration
	// since is when this node became the controller.
	since time.Duration

	members map[string]*memberState
	granted map[keyspace.SliceID]grantState
	active  map[keyspace.SliceID]activation
	moving  map[keyspace.SliceID]movement
	freed   map[keyspace.SliceID]release
	windows map[keyspace.SliceID]handover
	// probed is when the target of a lost node was last probed, by the node's name.
	probed map[string]time.Duration
	// goneTgt is the incarnation of a target known to have exited, by its node's name.
	goneTgt map[string]uint64
	// stopped holds the nodes that planned stops require to be drained.
	stopped map[string]bool
	// seq is the highest assignment number and setID the highest number of a set of grants used.
	seq   uint64
	setID uint64

	routes routes
	others others
	plans  planState
}

// learnController starts or ends this node's role as the controller, according to the record.
func (m *Machine) learnController() {
	if !m.same(m.rec.Controller) {
		if m.ctl != nil {
			m.decide("controller ends", keyspace.SliceID{}, m.self.Name, "the record names another controller")
			m.emit(Watch{On: false})
		}
		m.ctl = nil
		return
	}
	if m.ctl == nil || m.ctl.epoch != m.rec.Epoch {
		m.becomeController()
	}
	m.settleActivations()
	m.refreshRoutes()
}

// becomeController starts an epoch with a quiet time, during which only nodes that report
// holding a slice are granted it.
func (m *Machine) becomeController() {
	c := &controller{
		epoch: m.rec.Epoch, since: m.now, pokedAt: m.now, askAt: -time.Hour, authority: m.now,
		quiet: !m.guards.noQuiet, quietUntil: m.formerLeasesEnd(),
		asked:    make(map[uint64]time.Duration),
		expected: make(map[string]bool),
		members:  make(map[string]*memberState),
		granted:  make(map[keyspace.SliceID]grantState),
		active:   make(map[keyspace.SliceID]activation),
		moving:   make(map[keyspace.SliceID]movement),
		freed:    make(map[keyspace.SliceID]release),
		windows:  make(map[keyspace.SliceID]handover),
		probed:   make(map[string]time.Duration),
		goneTgt:  make(map[string]uint64),
	}
	c.routes.init(c.epoch)
	c.plans.init()
	m.ctl = c
	for _, n := range m.rec.Nodes {
		if n.Node != m.rec.Previous {
			c.expected[n.Name] = true
		}
	}
	m.decide("controller", keyspace.SliceID{}, m.self.Name, "the record names this node")
	m.emit(Watch{On: true})
	m.pokeAll()
}

// formerLeasesEnd returns when every lease of the previous controller has lapsed: a lease's
// duration from now or, if its process is known to have exited earlier, from when this node
// learned of it.
//
// A lease ends no later than the authority of the controller that granted it, and the authority
// ends before the standby's promise. So a standby that takes over after its promise has lapsed
// need not wait longer.
func (m *Machine) formerLeasesEnd() time.Duration {
	if m.standby.naming != 0 && m.rec.Naming == m.standby.naming+1 && !m.guards.longQuiet {
		return m.standby.granted
	}
	last := m.now
	if at, ended := m.gone[m.rec.Previous]; ended {
		last = min(last, at)
	}
	return last + m.timing.wait(m.timing.Lease)
}

// pokeAll asks every node that the record lists to report to this epoch.
func (m *Machine) pokeAll() {
	for _, n := range m.rec.Nodes {
		if n.Name != m.self.Name {
			m.poke(n)
		}
	}
	m.holder.beatSoon = true
}

func (m *Machine) poke(to Member) {
	m.emit(SendPoke{To: to, Poke: Poke{Epoch: m.ctl.epoch, Controller: m.selfMember()}})
}

// pokeName asks a member for an immediate heartbeat, so that its grants reach it without delay.
func (m *Machine) pokeName(name string) {
	if name == m.self.Name {
		m.holder.beatSoon = true
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
	m.askTick()
	m.namingTick()
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
	case c.expected != nil && len(c.expected) == 0:
		m.endQuiet("every node has reported")
	case m.now > c.quietUntil:
		m.endQuiet("the previous controller's leases have lapsed")
	case m.now-c.pokedAt >= pokeInterval:
		m.pokeExpected()
	}
}

// pokeInterval is the interval between pokes to the nodes that have not reported.
const pokeInterval = 250 * time.Millisecond

func (m *Machine) pokeExpected() {
	c := m.ctl
	c.pokedAt = m.now
	for _, name := range sortedNames(c.expected) {
		if n, ok := m.rec.Node(name); ok && name != m.self.Name {
			m.poke(n)
		}
	}
}

// endQuiet ends the quiet time and pokes all owners, so that they get the grants that the
// record assigns to them.
func (m *Machine) endQuiet(reason string) {
	m.ctl.quiet = false
	m.decide("quiet time ends", keyspace.SliceID{}, m.self.Name, reason)
	for _, name := range sortedNames(m.ctl.routes.owned) {
		m.pokeName(name)
	}
}

// clockJumped gives up the authority and treats every lease as if it had just been granted.
func (c *controller) clockJumped(now, until time.Duration) {
	c.authority = now
	c.asked = make(map[uint64]time.Duration)
	c.quietUntil = max(c.quietUntil, until)
	for id, g := range c.granted {
		g.until = max(g.until, until)
		c.granted[id] = g
	}
	for _, n := range c.members {
		n.seen = max(n.seen, now)
	}
}
