package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Node names one process: the VM it runs on and its incarnation, which grows with each
// start. After a restart the VM's node is another process. The zero Node is nobody.
type Node struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether the node is nobody.
func (n Node) IsZero() bool { return n == Node{} }

// TargetState is the condition of a node's local target.
type TargetState uint8

const (
	// TargetAbsent means that no target has announced itself, or that its process is known
	// to have ended.
	TargetAbsent TargetState = iota
	// TargetStarting means announced but not yet ready for work.
	TargetStarting
	// TargetReady means that the target takes work.
	TargetReady
	// TargetDraining means that the target finishes its work and takes no more.
	TargetDraining
	// TargetSuspect means that probes fail or calls hang although the process may live.
	TargetSuspect
)

// Target is what a node reports of its local target.
type Target struct {
	State        TargetState `json:"state"`
	Incarnation  uint64      `json:"incarnation"`
	Address      string      `json:"address,omitempty"`
	Slots        uint32      `json:"slots"`
	InFlight     uint32      `json:"-"`
	Utilization  uint32      `json:"-"`
	ChecksFences bool        `json:"checks_fences"`
}

// Member is a node with its addresses and its target.
type Member struct {
	Node
	Address       string `json:"address"`
	EntryAddress  string `json:"entry_address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Target        Target `json:"target"`
}

// Timing holds the protocol's durations.
type Timing struct {
	// Lease is how long a grant lasts, counted by its holder from before it asked.
	Lease time.Duration
	// Promise is how long a standby's promise binds it.
	Promise time.Duration
	// Heartbeat is the time between a node's heartbeats.
	Heartbeat time.Duration
	// Ask is the time between the controller's requests for a promise.
	Ask time.Duration
	// DriftPerMille bounds the difference in rate of two clocks, in thousandths.
	DriftPerMille int64
}

// DefaultTiming returns the durations that fit a loss and its recovery into three seconds.
func DefaultTiming() Timing {
	return Timing{
		Lease:         2000 * time.Millisecond,
		Promise:       1400 * time.Millisecond,
		Heartbeat:     500 * time.Millisecond,
		Ask:           200 * time.Millisecond,
		DriftPerMille: 10,
	}
}

// wait returns how long to wait until d has passed on any clock within the drift bound.
func (t Timing) wait(d time.Duration) time.Duration {
	return d + d*time.Duration(2*t.DriftPerMille)/1000 + time.Millisecond
}

// Grant is the right to one slice as the controller gives it.
type Grant struct {
	Slice keyspace.SliceID
	Fence fence.Fence
	// Window is the former owner's window of request ids; nil if none was handed over.
	Window []byte
}

// HeldSlice is a lease that a node reports to a new controller.
type HeldSlice struct {
	Slice keyspace.SliceID
	Fence fence.Fence
}

// Release gives a slice back. The releasing node never again adopts a grant of the slice
// with this or a lower fence.
type Release struct {
	Slice  keyspace.SliceID
	Fence  fence.Fence
	Window []byte
}

// SliceLoad is the work measured on one held slice since the last report.
type SliceLoad struct {
	Slice      keyspace.SliceID
	WorkMillis uint32
	Requests   uint32
	HotKey     string
	// HotShare is the hot key's share of the slice's work, in thousandths.
	HotShare uint32
}

// Heartbeat is a node's numbered request to its controller.
type Heartbeat struct {
	// From lacks the addresses when the controller must know them already.
	From   Member
	Number uint64
	Epoch  uint64
	// Set is the set of grants that the node holds, zero before the first of the epoch.
	Set          uint64
	SheetVersion int64
	Table        TableVersion
	Cells        TableVersion
	// Held lists what the node held when it first reported to the epoch.
	Held     []HeldSlice
	Released []Release
	Loads    []SliceLoad
	// Leaving asks the controller to move everything away from the node.
	Leaving bool
}

// Answer is the controller's reply to one heartbeat.
type Answer struct {
	Number   uint64
	Accepted bool
	// Unknown asks for a heartbeat that names the node in full.
	Unknown bool
	// Epoch and Controller are the newest that the answering node knows.
	Epoch      uint64
	Controller Member
	// For bounds the leases, counted from before the heartbeat was sent.
	For time.Duration
	// Set numbers the set of grants; Full tells that Grants lists it whole, otherwise the
	// set that the heartbeat named is renewed.
	Set    uint64
	Full   bool
	Grants []Grant
	// Needs is the version of the route table without which the grants must not be adopted.
	Needs TableVersion
	// Drain lists slices to hand back.
	Drain []keyspace.SliceID
	// Taken lists releases that the controller has noted.
	Taken []Release
	Sheet *keyspace.Layout
	Table *TableDelta
	Cells *CellsView
	// Left tells a leaving node that nothing names it any more.
	Left bool
}

// PromiseAsk asks the standby not to take over for a while.
type PromiseAsk struct {
	From    Node
	Standby Node
	Epoch   uint64
	Number  uint64
	// Resign tells that the controller has given up its authority for good.
	Resign bool
}

// PromiseAnswer is the standby's reply.
type PromiseAnswer struct {
	From     Node
	Epoch    uint64
	Number   uint64
	Promised bool
}

// Poke asks a node to send a heartbeat now; it carries no authority.
type Poke struct {
	Epoch      uint64
	Controller Member
}
