package cell

import (
	"strconv"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// TickInterval is how often the driver sends Tick.
const TickInterval = 50 * time.Millisecond

const (
	// minReadInterval is the minimum interval between two reads of the record.
	minReadInterval = 300 * time.Millisecond
	// outageReadInterval is the interval between a controller's reads while the store is down.
	outageReadInterval = time.Second
	// silentHeartbeats is how many heartbeat intervals may pass without an accepted answer
	// before the node reads the record.
	silentHeartbeats = 2
)

// Config holds the settings of a Machine.
type Config struct {
	Cell   string
	Self   Member
	Timing Timing
}

// Machine is the coordination state machine of one node.
type Machine struct {
	cfg     Config
	timing  Timing
	self    Node
	target  Target
	loads   []SliceLoad
	now     time.Duration
	effects []Effect
	guards  guards

	// record is the newest record read, nil before the first.
	record        *Record
	recordVersion int64
	// absent tells that the store has no record of the cell.
	absent        bool
	reading       bool
	readStartedAt time.Duration
	storeDown     bool
	// recordConfirmedAt is when the record was last read, even if its version had not changed.
	recordConfirmedAt time.Duration
	// versionSeenAt is when the current version was first seen.
	versionSeenAt time.Duration
	write         *write
	writeCount    uint64

	// epoch is the newest epoch known, controllerMember its controller.
	epoch            uint64
	controllerMember Member
	// exitedPeers holds the processes known to have exited and when this node learned of it.
	exitedPeers map[Node]time.Duration

	holder  holder
	standby standby
	ctl     *controller

	sheet    *keyspace.Layout
	cells    CellsView
	table    *Table
	leaving  bool
	departed bool
	// sheetRecordVersion is the store version of the record with which its current sheet version
	// was first seen.
	sheetRecordVersion int64
}

// guards disables individual safety rules, so that tests can show that each one is needed.
type guards struct {
	dateByAnswer            bool
	noVersionChange         bool
	noStandbyWait           bool
	promiseDuringTakeover   bool
	noQuietTime             bool
	grantUnreported         bool
	acceptReplacedStandby   bool
	unboundOwnLease         bool
	unboundLeases           bool
	fullQuietTime           bool
	acceptPreviousEpochs    bool
	ignoreIncarnation       bool
	noLapseWait             bool
	moveUnfenced            bool
	noReleaseFence          bool
	noTableWait             bool
	acceptOlderSheet        bool
	ignoreOtherCells        bool
	noSilenceWithoutStandby bool
	heartbeatWithoutRecord  bool
	acceptLowerFence        bool
	ignoreExitedPromise     bool
	keepLeasesAcrossTargets bool
	grantDroppedRanges      bool
	grantUnlisted           bool
	activateUnfenced        bool
	grantSplitSlices        bool
}

// New returns the machine of a process that has just started.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:         cfg,
		timing:      cfg.Timing,
		self:        cfg.Self.Node,
		target:      cfg.Self.Target,
		exitedPeers: make(map[Node]time.Duration),
	}
	m.holder.init()
	m.readStartedAt = -time.Hour
	return m
}

// Step processes one event at now, the reading of the boot-time clock, and returns the effects
// to carry out, in order.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.effects = nil
	m.handle(event)
	return m.effects
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
	case PromiseRequested:
		m.promiseRequested(e.Request)
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
	case PeerExited:
		m.peerExited(e.Node)
	case TargetExited:
		m.targetExited(e)
	case ClockJumped:
		m.clockJumped()
	case StopsRead:
		m.stopsRead(e)
	case LeaveRequested:
		m.leaveRequested()
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) logDecision(what string, slice keyspace.SliceID, node, reason string) {
	m.emit(Decision{What: what, Slice: slice, Node: node, Reason: reason})
}

func (m *Machine) tick() {
	m.finishUnansweredLeave()
	m.holderTick()
	m.abandonTick()
	m.readTick()
	m.standbyTick()
	m.controllerTick()
	m.heartbeatTick()
}

// readTick reads the record when the node has none, when a write is in doubt, when the
// controller is silent, and when this node is the controller and has lost its authority or the
// store is down. It creates the record of a new cell.
func (m *Machine) readTick() {
	switch {
	case m.record == nil && !m.absent, m.write != nil && m.write.unknown:
		m.readRecord()
	case m.ctl == nil && m.controllerSilent() && m.now-m.readStartedAt >= m.timing.HeartbeatInterval:
		m.readRecord()
	case m.ctl != nil && m.now >= m.ctl.authority && m.now-m.readStartedAt >= m.timing.HeartbeatInterval:
		m.readRecord()
	case m.ctl != nil && m.storeDown && m.write == nil && m.now-m.readStartedAt >= outageReadInterval:
		m.readRecord()
	case m.absent && m.write == nil:
		m.createRecord()
	}
}

// controllerSilent reports whether the controller has accepted no heartbeat for silentHeartbeats
// intervals.
func (m *Machine) controllerSilent() bool {
	return m.now-m.holder.lastAcceptedAt > silentHeartbeats*m.timing.HeartbeatInterval
}

func (m *Machine) readRecord() {
	if m.reading || m.now-m.readStartedAt < minReadInterval {
		return
	}
	m.reading = true
	m.readStartedAt = m.now
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
		m.recordConfirmedAt = m.now
		m.resolveWrite(e)
		m.adoptRecord(e.Version, e.Record)
		m.bumpVersion(e.Version)
	}
}

func (m *Machine) recordAbsent() {
	if m.record != nil {
		return
	}
	m.absent = true
	if m.write != nil && m.write.unknown {
		m.bumpVersion(0)
		return
	}
	m.createRecord()
}

// createRecord writes the first record of a new cell, with this node as the controller.
func (m *Machine) createRecord() {
	if m.write != nil || m.leaving {
		return
	}
	r := &Record{Cell: m.cfg.Cell, Region: m.cfg.Self.Region, Epoch: 1, FenceEpoch: 1, Controller: m.self, RoleVersion: 1}
	r.putNode(m.selfMember())
	m.logDecision("create cell", keyspace.SliceID{}, m.self.Name, "the cell has no record")
	m.startWrite(writeStandby, 0, r, nil)
}

func (m *Machine) selfMember() Member {
	s := m.cfg.Self
	s.Target = m.target
	return s
}

// adoptRecord adopts the record if its version is newer than the known one.
func (m *Machine) adoptRecord(version int64, rec *Record) {
	if version <= m.recordVersion || rec == nil {
		return
	}
	if m.record == nil || m.record.SheetVersion != rec.SheetVersion {
		m.sheetRecordVersion = version
	}
	m.record = rec
	m.recordVersion = version
	m.versionSeenAt = m.now
	m.absent = false
	if rec.Epoch >= m.epoch {
		m.followController(rec.Epoch, rec.ControllerMember())
	}
	m.updateControllerRole()
	m.updateStandbyRole()
}

// followController makes the node report to the controller of the epoch, unless it knows a newer
// epoch.
func (m *Machine) followController(epoch uint64, controller Member) {
	if epoch < m.epoch || controller.IsZero() {
		return
	}
	if epoch > m.epoch {
		m.holder.resetGrantSet()
	}
	m.epoch = epoch
	m.controllerMember = controller
}

func (m *Machine) poked(p Poke) {
	if p.Epoch < m.epoch {
		return
	}
	if p.Epoch > m.epoch && m.record != nil {
		m.readRecord()
	}
	m.followController(p.Epoch, p.Controller)
	m.holder.heartbeatNow = true
	m.heartbeatTick()
}

func (m *Machine) targetReported(e TargetReported) {
	if m.target.State != e.Target.State || m.target.Incarnation != e.Target.Incarnation {
		m.holder.heartbeatNow = true
	}
	replaced := e.Target.Incarnation != m.target.Incarnation && !e.Target.ChecksFences
	m.target = e.Target
	if replaced && !m.guards.keepLeasesAcrossTargets {
		m.endAllLeases("the target's process was replaced")
	}
	m.loads = append(m.loads, e.Loads...)
}

func (m *Machine) peerExited(n Node) {
	if _, known := m.exitedPeers[n]; !known && n != m.self {
		m.exitedPeers[n] = m.now
		m.logDecision("peer gone", keyspace.SliceID{}, n.Name, "its VM refused the connection or runs another incarnation")
	}
}

// clockJumped drops all leases and the controller's authority and restarts the standby's
// waits, since all of them were measured with clocks that disagree now.
func (m *Machine) clockJumped() {
	m.holder.sent = make(map[uint64]sentHeartbeat)
	m.endAllLeases("the clocks disagree")
	if m.ctl != nil {
		m.ctl.clockJumped(m.now, m.now+m.timing.withDrift(m.timing.Lease))
	}
	m.standby.postponeTakeover(m.now + m.timing.withDrift(max(m.timing.Lease, m.timing.Promise)))
}

func (m *Machine) leaveRequested() {
	m.leaving = true
	m.holder.heartbeatNow = true
	m.heartbeatTick()
}

func (m *Machine) newWriteID() string {
	m.writeCount++
	return m.self.Name + "." + strconv.FormatUint(m.self.Incarnation, 16) + "." + strconv.FormatUint(m.writeCount, 10)
}

func atMost(a, b fence.Fence) bool { return a.Less(b) || a == b }
