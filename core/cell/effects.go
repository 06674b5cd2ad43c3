package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Effect is an output of the Machine that the driver carries out.
type Effect interface{ effect() }

// SendHeartbeat sends a heartbeat; the answer comes back as HeartbeatAnswered.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// AnswerHeartbeat answers the heartbeat that the step processed.
type AnswerHeartbeat struct {
	To     Node
	Answer HeartbeatResponse
}

// RequestPromise asks the standby for a promise; the answer comes back as PromiseAnswered.
type RequestPromise struct {
	To      Member
	Request PromiseRequest
}

// AnswerPromise answers the request for a promise that the step processed.
type AnswerPromise struct {
	To     Node
	Answer PromiseResponse
}

// SendPoke asks a node for an immediate heartbeat.
type SendPoke struct {
	To   Member
	Poke Poke
}

// ReadRecord reads the cell's record; the result comes back as RecordRead.
type ReadRecord struct{}

// WriteRecord writes the cell's record if its version is Expected; zero means that it must not
// exist. The result comes back as RecordWritten.
type WriteRecord struct {
	ID       string
	Expected int64
	Record   *Record
}

// Watch starts or stops watching the accepted sheet, the other cells' records and the planned
// stops; changes arrive as SheetRead, CellsRead and StopsRead.
type Watch struct{ On bool }

// AdoptedLease is a new or renewed lease. Until is a reading of the boot-time clock.
type AdoptedLease struct {
	Slice  keyspace.SliceID
	Fence  fence.Fence
	Until  time.Duration
	Window []byte
}

// AdoptLeases passes leases to the request side.
type AdoptLeases struct{ Leases []AdoptedLease }

// EndLeases tells the request side to stop serving slices at once.
type EndLeases struct {
	Slices []keyspace.SliceID
	Reason string
}

// DrainSlice tells the request side to finish the requests of a slice and accept no more;
// SliceDrained with the same number follows, unless the lease ends first.
type DrainSlice struct {
	Slice  keyspace.SliceID
	Number uint64
}

// AbandonSlices asks the request side to give up slices at once. It refuses while the target
// may still hold a grant; otherwise SlicesAbandoned follows.
type AbandonSlices struct {
	Slices []keyspace.SliceID
	Reason string
}

// TableChanged tells that the View may have changed.
type TableChanged struct{}

// ProbePeer checks whether a node's process has exited; PeerExited may follow.
type ProbePeer struct{ Peer Member }

// ProbeTarget checks whether a target's process has exited; TargetExited may follow.
type ProbeTarget struct {
	Name        string
	Incarnation uint64
	Address     string
}

// LeaveDone tells that this node's planned departure is complete and its process may stop.
type LeaveDone struct{}

// Decision is a log entry: what was decided, for which slice or node, and why.
type Decision struct {
	What   string
	Slice  keyspace.SliceID
	Node   string
	Reason string
}

func (SendHeartbeat) effect()   {}
func (AnswerHeartbeat) effect() {}
func (RequestPromise) effect()  {}
func (AnswerPromise) effect()   {}
func (SendPoke) effect()        {}
func (ReadRecord) effect()      {}
func (WriteRecord) effect()     {}
func (Watch) effect()           {}
func (AdoptLeases) effect()     {}
func (EndLeases) effect()       {}
func (DrainSlice) effect()      {}
func (AbandonSlices) effect()   {}
func (TableChanged) effect()    {}
func (ProbePeer) effect()       {}
func (ProbeTarget) effect()     {}
func (LeaveDone) effect()       {}
func (Decision) effect()        {}
