package cell

import (
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Event is an input of the Machine.
type Event interface{ event() }

// ReadStatus says how a read of the record ended.
type ReadStatus uint8

const (
	// ReadFound means that the record was read.
	ReadFound ReadStatus = iota + 1
	// ReadAbsent means that the cell has no record yet.
	ReadAbsent
	// ReadFailed means that the store did not answer.
	ReadFailed
)

// WriteStatus says how a conditional write of the record ended.
type WriteStatus uint8

const (
	// WriteDone means that the write took effect.
	WriteDone WriteStatus = iota + 1
	// WriteConflict means that the record had another version; nothing was written.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may do so later.
	WriteUnknown
	// WriteUnavailable means that the store was not reached; nothing was written.
	WriteUnavailable
)

// Tick advances time; the driver sends one every TickInterval.
type Tick struct{}

// RecordRead is the result of a ReadRecord effect.
type RecordRead struct {
	Status  ReadStatus
	Version int64
	WriteID string
	Record  *Record
}

// RecordWritten is the result of a WriteRecord effect.
type RecordWritten struct {
	ID      string
	Status  WriteStatus
	Version int64
}

// HeartbeatReceived is a heartbeat that reached this node.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// HeartbeatAnswered is an answer to one of this node's heartbeats.
type HeartbeatAnswered struct{ Answer HeartbeatResponse }

// PromiseRequested is a controller's request for a promise that reached this node.
type PromiseRequested struct{ Request PromiseRequest }

// PromiseAnswered is the standby's answer to this node's request.
type PromiseAnswered struct{ Answer PromiseResponse }

// Poked is a controller's request for an immediate heartbeat.
type Poked struct{ Poke Poke }

// SheetRead is an accepted sheet; its layout's version is the sheet's version in the store.
type SheetRead struct{ Layout *keyspace.Layout }

// CellsRead is a summary of the other cells' records at a version of the store.
type CellsRead struct {
	Version int64
	Cells   []OtherCell
}

// TargetReported is the local target's state and the load measured since the last report.
type TargetReported struct {
	Target Target
	Loads  []SliceLoad
}

// SliceDrained tells that no request of a drained slice is running any more. Number is that of
// the DrainSlice effect.
type SliceDrained struct {
	Slice  keyspace.SliceID
	Number uint64
	Window []byte
}

// SlicesAbandoned tells that the request side gave slices up, as AbandonSlices asked.
type SlicesAbandoned struct{ Slices []keyspace.SliceID }

// PeerExited tells that a node's process is known to have exited: its VM refused the connection
// or its address answered under another incarnation.
type PeerExited struct{ Node Node }

// TargetExited tells that a target's process is known to have exited.
type TargetExited struct {
	Name        string
	Incarnation uint64
}

// ClockJumped tells that the node's clocks disagree, so that no lease can be trusted.
type ClockJumped struct{}

// StopsRead names the nodes of the cell to drain now because of planned stops.
type StopsRead struct{ Drain []string }

// LeaveRequested starts this node's planned departure from the cell.
type LeaveRequested struct{}

func (Tick) event()              {}
func (RecordRead) event()        {}
func (RecordWritten) event()     {}
func (HeartbeatReceived) event() {}
func (HeartbeatAnswered) event() {}
func (PromiseRequested) event()  {}
func (PromiseAnswered) event()   {}
func (Poked) event()             {}
func (SheetRead) event()         {}
func (CellsRead) event()         {}
func (TargetReported) event()    {}
func (SliceDrained) event()      {}
func (SlicesAbandoned) event()   {}
func (PeerExited) event()        {}
func (TargetExited) event()      {}
func (ClockJumped) event()       {}
func (StopsRead) event()         {}
func (LeaveRequested) event()    {}
