package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// grantState is what the controller may have granted and to whom.
type grantState struct {
	node  Node
	fence fence.Fence
	until time.Duration
}

// activation is an assignment to a successor that is not yet written in the record.
type activation struct {
	owner string
	seq   uint64
}

// movement is a planned move: the owner drains the slice, then the record changes.
type movement struct {
	to     string
	reason string
	// hotKey asks for a slice of its own for this key of the moved slice.
	hotKey string
	// seq is the assignment that the move ends.
	seq   uint64
	since time.Duration
}

// release is a slice that its owner has given back.
type release struct {
	fence  fence.Fence
	window []byte
}

// handover is a window of ids on its way to the next owner. It belongs to one assignment
// and to the process that is granted it first: a later owner would miss what ran since.
type handover struct {
	seq    uint64
	node   Node
	window []byte
}

// memberState is a node of the cell as its controller sees it.
type memberState struct {
	Member
	// seen is when the last heartbeat came, number its number.
	seen    time.Duration
	number  uint64
	leaving bool
	// reported has the slices that the node held when it first reported to the epoch.
	reported map[keyspace.SliceID]fence.Fence
	// set is the present set of grants and setID its number.
	set   map[keyspace.SliceID]fence.Fence
	setID uint64
	// badSince is when the target was first reported unfit, zero when it is fit.
	badSince time.Duration
}

// controller is the node's part as the controller of one epoch.
type controller struct {
	epoch uint64
	// authority is the time up to which the controller may grant.
	authority time.Duration
	asked     map[uint64]time.Duration
	askNumber uint64
	askAt     time.Duration
	retryAt   time.Duration
	resigned  bool
	// silentStandby was replaced at silentAt; it is not named again before it is heard.
	silentStandby Node
	silentAt      time.Duration

	// quiet lasts until every lease of the former controller is known or has lapsed.
	quiet      bool
	quietUntil time.Duration
	// expected has the nodes that have not yet reported to the epoch.
	expected map[string]bool
	// pokedAt is when those were last asked to report.
	pokedAt time.Duration
	// since is when the epoch began, from the controller's own view.
	since time.Duration

	members map[string]*memberState
	granted map[keyspace.SliceID]grantState
	active  map[keyspace.SliceID]activation
	moving  map[keyspace.SliceID]movement
	freed   map[keyspace.SliceID]release
	windows map[keyspace.SliceID]handover
	probed  map[string]time.Duration
	goneTgt map[string]uint64
	// stopped has the nodes that planned stops want drained.
	stopped map[string]bool
	seq     uint64
	setID   uint64

	routes routes
	others others
	plans  planState
}

// learnController starts or ends the node's time as the controller.
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

// becomeController starts an epoch. Until the quiet time ends, grants go only to nodes that
// report holding the slice.
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

// formerLeasesEnd returns when every lease of the former controller has lapsed: counted from
// now or, if its process is known to have ended earlier, from when that was seen.
//
// Leases end with the authority of the controller that gave them, and its authority ends before
// the promise of its standby. So a standby that takes over by its promise need not wait longer.
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

// pokeAll asks every node of the record to report to this epoch.
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

// pokeName asks a member for a heartbeat, so that a grant reaches it soon.
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

// quietTick ends the quiet time early once every node that may hold a lease has reported.
func (m *Machine) quietTick() {
	c := m.ctl
	if !c.quiet {
		return
	}
	switch {
	case c.expected != nil && len(c.expected) == 0:
		m.endQuiet("every node has reported")
	case m.now > c.quietUntil:
		m.endQuiet("former leases have lapsed")
	case m.now-c.pokedAt >= pokeInterval:
		m.pokeExpected()
	}
}

// pokeInterval is the time between two requests to the nodes that have not reported.
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

// endQuiet lets grants follow the record again and asks their owners for a heartbeat.
func (m *Machine) endQuiet(reason string) {
	m.ctl.quiet = false
	m.decide("quiet time ends", keyspace.SliceID{}, m.self.Name, reason)
	for _, name := range sortedNames(m.ctl.routes.owned) {
		m.pokeName(name)
	}
}

// clockJumped gives up the authority and takes every grant for a fresh one.
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
