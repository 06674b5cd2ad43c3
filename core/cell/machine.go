package cell

import (
	"strconv"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// TickInterval is how often the carrier sends Tick.
const TickInterval = 50 * time.Millisecond

const (
	// readRetry is the least time between two reads of the record.
	readRetry = 300 * time.Millisecond
	// outageRead is the time between a controller's reads while the store is down.
	outageRead = time.Second
	// silentHeartbeats is how many heartbeats may stay unanswered before the record is read.
	silentHeartbeats = 2
)

// Config is what a Machine needs to know from the settings.
type Config struct {
	Cell   string
	Self   Member
	Timing Timing
}

// Machine is one node's part in its cell.
type Machine struct {
	cfg    Config
	timing Timing
	self   Node
	target Target
	loads  []SliceLoad
	now    time.Duration
	out    []Effect
	guards guards

	// rec is the newest record read, nil before the first.
	rec     *Record
	version int64
	// absent tells that the store said that the cell has no record.
	absent    bool
	reading   bool
	readAt    time.Duration
	storeDown bool
	// confirmed is when the record was last read, also at an unchanged version.
	confirmed time.Duration
	// versionSeen is when the present version was first seen.
	versionSeen time.Duration
	write       *write
	writes      uint64

	// epoch is the newest epoch known, leader its controller.
	epoch  uint64
	leader Member
	gone   map[Node]time.Duration

	holder  holder
	standby standby
	ctl     *controller

	sheet   *keyspace.Layout
	cells   CellsView
	table   *Table
	leaving bool
	left    bool
	// sheetFollowed is the version by which the record took its present sheet version.
	sheetFollowed int64
}

// guards switches single safety rules off, so that tests can show that each is needed.
type guards struct {
	noDateByRequest   bool
	noVersionMove     bool
	noStandbyWait     bool
	promiseInDoubt    bool
	noQuiet           bool
	grantUnreported   bool
	oldPromiseInDoubt bool
	unboundOwnLease   bool
	unboundLeases     bool
	longQuiet         bool
	acceptFormer      bool
	noIncarnation     bool
	noLapseWait       bool
	moveNonChecking   bool
	noReleaseFence    bool
	noTableWait       bool
	anySheet          bool
	anyCells          bool
	soloNoSilence     bool
	startUnread       bool
	anyFence          bool
	noGonePromise     bool
	anyTarget         bool
	grantDropped      bool
	grantUnlisted     bool
	activateAny       bool
	grantSplit        bool
}

// New returns the machine of a node that has just started.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:    cfg,
		timing: cfg.Timing,
		self:   cfg.Self.Node,
		target: cfg.Self.Target,
		gone:   make(map[Node]time.Duration),
	}
	m.holder.init()
	m.readAt = -time.Hour
	return m
}

// Step takes one event at the boot-time clock's reading now and returns what to do.
// The effects are to be carried out in their order.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.out = nil
	m.handle(event)
	return m.out
}

func (m *Machine) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		m.tick()
	case RecordRead:
		m.recordRead(e)
	case RecordWritten:
		m.recordWritten(e)
	case HeartbeatReceived:
		m.heartbeatReceived(e.Heartbeat)
	case HeartbeatAnswered:
		m.heartbeatAnswered(e.Answer)
	case PromiseAsked:
		m.promiseAsked(e.Ask)
	case PromiseAnswered:
		m.promiseAnswered(e.Answer)
	case Poked:
		m.poked(e.Poke)
	case SheetRead:
		m.sheetRead(e.Layout)
	case CellsRead:
		m.cellsRead(e)
	case TargetReported:
		m.targetReported(e)
	case SliceDrained:
		m.sliceDrained(e)
	case SlicesAbandoned:
		m.slicesAbandoned(e)
	case PeerGone:
		m.peerGone(e.Node)
	case TargetGone:
		m.targetGone(e)
	case ClockJumped:
		m.clockJumped()
	case StopsRead:
		m.stopsRead(e)
	case LeaveAsked:
		m.leaveAsked()
	}
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) decide(what string, slice keyspace.SliceID, node, reason string) {
	m.emit(Decision{What: what, Slice: slice, Node: node, Reason: reason})
}

func (m *Machine) tick() {
	m.leaveUnheard()
	m.holderTick()
	m.abandonTick()
	m.readTick()
	m.standbyTick()
	m.controllerTick()
	m.heartbeatTick()
}

// readTick reads the record when the node knows none, has heard nothing from its
// controller, or has a write in doubt.
func (m *Machine) readTick() {
	switch {
	case m.rec == nil && !m.absent, m.write != nil && m.write.unknown:
		m.readRecord()
	case m.ctl == nil && m.silent() && m.now-m.readAt >= m.timing.Heartbeat:
		m.readRecord()
	case m.ctl != nil && m.now >= m.ctl.authority && m.now-m.readAt >= m.timing.Heartbeat:
		m.readRecord()
	case m.ctl != nil && m.storeDown && m.write == nil && m.now-m.readAt >= outageRead:
		m.readRecord()
	case m.absent && m.write == nil:
		m.createRecord()
	}
}

// silent reports whether the controller has answered nothing for a while.
func (m *Machine) silent() bool {
	return m.now-m.holder.heard > silentHeartbeats*m.timing.Heartbeat
}

func (m *Machine) readRecord() {
	if m.reading || m.now-m.readAt < readRetry {
		return
	}
	m.reading = true
	m.readAt = m.now
	m.emit(ReadRecord{})
}

func (m *Machine) recordRead(e RecordRead) {
	m.reading = false
	switch e.Status {
	case ReadFailed:
		m.storeDown = true
	case ReadAbsent:
		m.storeDown = false
		m.recordAbsent()
	case ReadFound:
		m.storeDown = false
		m.absent = false
		m.confirmed = m.now
		m.resolve(e)
		m.learn(e.Version, e.Record)
		m.moveVersion(e.Version)
	}
}

func (m *Machine) recordAbsent() {
	if m.rec != nil {
		return
	}
	m.absent = true
	if m.write != nil && m.write.unknown {
		m.moveVersion(0)
		return
	}
	m.createRecord()
}

// createRecord makes this node the controller of a new cell.
func (m *Machine) createRecord() {
	if m.write != nil || m.leaving {
		return
	}
	r := &Record{Cell: m.cfg.Cell, Region: m.cfg.Self.Region, Epoch: 1, FenceEpoch: 1, Controller: m.self, Naming: 1}
	r.putNode(m.selfMember())
	m.decide("create cell", keyspace.SliceID{}, m.self.Name, "the cell has no record")
	m.put(writeNaming, 0, r, nil)
}

func (m *Machine) selfMember() Member {
	s := m.cfg.Self
	s.Target = m.target
	return s
}

// learn takes a newer record.
func (m *Machine) learn(version int64, rec *Record) {
	if version <= m.version || rec == nil {
		return
	}
	if m.rec == nil || m.rec.SheetVersion != rec.SheetVersion {
		m.sheetFollowed = version
	}
	m.rec = rec
	m.version = version
	m.versionSeen = m.now
	m.absent = false
	if rec.Epoch >= m.epoch {
		m.follow(rec.Epoch, rec.ControllerMember())
	}
	m.learnController()
	m.learnStandby()
}

// follow makes the node report to the controller of an epoch that is not older than its own.
func (m *Machine) follow(epoch uint64, controller Member) {
	if epoch < m.epoch || controller.IsZero() {
		return
	}
	if epoch > m.epoch {
		m.holder.newEpoch()
	}
	m.epoch = epoch
	m.leader = controller
}

func (m *Machine) poked(p Poke) {
	if p.Epoch < m.epoch {
		return
	}
	if p.Epoch > m.epoch && m.rec != nil {
		m.readRecord()
	}
	m.follow(p.Epoch, p.Controller)
	m.holder.beatSoon = true
	m.heartbeatTick()
}

func (m *Machine) targetReported(e TargetReported) {
	if m.target.State != e.Target.State || m.target.Incarnation != e.Target.Incarnation {
		m.holder.beatSoon = true
	}
	replaced := e.Target.Incarnation != m.target.Incarnation && !e.Target.ChecksFences
	m.target = e.Target
	if replaced && !m.guards.anyTarget {
		m.endAll("the target's process was replaced")
	}
	m.loads = append(m.loads, e.Loads...)
}

func (m *Machine) peerGone(n Node) {
	if _, known := m.gone[n]; !known && n != m.self {
		m.gone[n] = m.now
		m.decide("peer gone", keyspace.SliceID{}, n.Name, "its VM refused the connection or runs another incarnation")
	}
}

// clockJumped ends everything that was measured by a clock that cannot be trusted.
func (m *Machine) clockJumped() {
	m.holder.sent = make(map[uint64]sentBeat)
	m.endAll("the clocks disagree")
	if m.ctl != nil {
		m.ctl.clockJumped(m.now, m.now+m.timing.wait(m.timing.Lease))
	}
	m.standby.extend(m.now + m.timing.wait(max(m.timing.Lease, m.timing.Promise)))
}

func (m *Machine) leaveAsked() {
	m.leaving = true
	m.holder.beatSoon = true
	m.heartbeatTick()
}

func (m *Machine) newWriteID() string {
	m.writes++
	return m.self.Name + "." + strconv.FormatUint(m.self.Incarnation, 16) + "." + strconv.FormatUint(m.writes, 10)
}

func lower(a, b fence.Fence) bool { return a.Less(b) || a == b }
