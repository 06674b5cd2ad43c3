package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Node identifies one process by the name of its VM and its incarnation, which increases with
// each start: a restarted process is a different Node. The zero Node means no node.
type Node struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether n is the zero Node.
func (n Node) IsZero() bool { return n == Node{} }

// TargetState is the condition of a node's local target.
type TargetState uint8

const (
	// TargetAbsent means that no target has announced itself, or that its process is known
	// to have exited.
	TargetAbsent TargetState = iota
	// TargetStarting means that the target has announced itself but is not yet ready.
	TargetStarting
	// TargetReady means that the target accepts requests.
	TargetReady
	// TargetDraining means that the target finishes its running requests and accepts no more.
	TargetDraining
	// TargetSuspect means that probes fail or calls hang although the process may be alive.
	TargetSuspect
)

// Target is a node's report on its local target. ChecksFences tells that the target itself
// rejects requests whose fence is outdated or whose grant has lapsed.
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

// Timing holds the durations of the protocol and the bound on clock drift.
type Timing struct {
	// Lease is how long a grant lasts, counted by its holder from before it asked.
	Lease time.Duration
	// Promise is how long the standby refrains from a takeover after a promise.
	Promise time.Duration
	// HeartbeatInterval is the interval between a node's heartbeats.
	HeartbeatInterval time.Duration
	// PromiseInterval is the interval between the controller's requests for a promise.
	PromiseInterval time.Duration
	// DriftPerMille bounds the difference in rate between two clocks, in thousandths.
	DriftPerMille int64
}

// DefaultTiming returns durations with which slices are served again within three seconds of
// the loss of a VM.
func DefaultTiming() Timing {
	return Timing{
		Lease:             2000 * time.Millisecond,
		Promise:           1400 * time.Millisecond,
		HeartbeatInterval: 500 * time.Millisecond,
		PromiseInterval:   200 * time.Millisecond,
		DriftPerMille:     10,
	}
}

// withDrift returns how long to wait on the local clock until d has passed on every clock within
// the drift bound.
func (t Timing) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(2*t.DriftPerMille)/1000 + time.Millisecond
}

// Grant is the right to serve one slice, as the controller sends it.
type Grant struct {
	Slice keyspace.SliceID
	Fence fence.Fence
	// Window is the previous owner's window of request ids; nil if none was handed over.
	Window []byte
}

// HeldSlice is an unexpired lease that a node reports to a new controller.
type HeldSlice struct {
	Slice keyspace.SliceID
	Fence fence.Fence
}

// Release returns a slice to the controller. The releasing node never again adopts a grant of
// the slice with this or a lower fence.
type Release struct {
	Slice  keyspace.SliceID
	Fence  fence.Fence
	Window []byte
}

// SliceLoad is the load measured on one held slice since the last report. WorkMillis is the
// time that requests occupied target slots, in milliseconds.
type SliceLoad struct {
	Slice      keyspace.SliceID
	WorkMillis uint32
	Requests   uint32
	HotKey     string
	// HotShare is the share of the slice's work done for HotKey, in thousandths.
	HotShare uint32
}

// Heartbeat is a node's periodic, numbered report to its controller; the answer renews its
// leases.
type Heartbeat struct {
	// From omits the addresses once the controller has received them.
	From   Member
	Number uint64
	Epoch  uint64
	// Set is the number of the set of grants that the node has, zero before the first one of
	// the epoch.
	Set          uint64
	SheetVersion int64
	Table        TableVersion
	Cells        TableVersion
	// Held lists the node's unexpired leases; it is sent until the first set of grants of the
	// epoch arrives.
	Held     []HeldSlice
	Released []Release
	Loads    []SliceLoad
	// Leaving asks the controller to move all slices and the standby's role away from the node.
	Leaving bool
}

// HeartbeatResponse is the answer to one heartbeat.
type HeartbeatResponse struct {
	Number   uint64
	Accepted bool
	// NeedsAddresses asks for a heartbeat with the node's addresses, which the controller lacks.
	NeedsAddresses bool
	// Epoch is the newest epoch that the answering node knows, Controller its controller.
	Epoch      uint64
	Controller Member
	// LeaseDuration is the duration of the leases, counted from before the heartbeat was sent.
	LeaseDuration time.Duration
	// Set is the number of the set of grants. If Full, Grants lists the whole set; otherwise
	// the answer renews the set that the heartbeat named.
	Set    uint64
	Full   bool
	Grants []Grant
	// MinTableVersion is the oldest version of the route table with which the grants may be
	// adopted.
	MinTableVersion TableVersion
	// Drain lists slices to drain and release.
	Drain []keyspace.SliceID
	// ProcessedReleases lists the releases that the controller has processed.
	ProcessedReleases []Release
	Sheet             *keyspace.Layout
	Table             *TableDelta
	Cells             *CellsView
	// MayStop tells a leaving node that it may stop: it owns nothing and is not the standby.
	MayStop bool
}

// PromiseRequest asks the standby to promise not to take over for Timing.Promise.
type PromiseRequest struct {
	From    Node
	Standby Node
	Epoch   uint64
	Number  uint64
	// Resign tells that the controller has given up its authority, so that the standby may take
	// over at once.
	Resign bool
}

// PromiseResponse is the standby's answer to a PromiseRequest.
type PromiseResponse struct {
	From     Node
	Epoch    uint64
	Number   uint64
	Promised bool
}

// Poke asks a node to send a heartbeat now and names the controller to send it to. It grants
// nothing.
type Poke struct {
	Epoch      uint64
	Controller Member
}
