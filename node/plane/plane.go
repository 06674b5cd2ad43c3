// Package plane defines the interfaces and types shared by the two parts of a node: the control
// side, which agrees with other nodes on the owners of slices, and the request side, which serves
// callers.
//
// Times named Until are readings of the boot-time clock (package bootclock), which advances while
// the machine is suspended.
package plane

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// ErrNotReady reports that the node has no sheet or route table yet.
var ErrNotReady = errors.New("routes are not known yet")

// Peer is the identity of one node with the addresses at which other nodes reach it.
type Peer struct {
	// Name is the name of the node's VM from its settings.
	Name string
	// Incarnation identifies the process; it increases with each start on the VM.
	Incarnation uint64
	// Address is the IP address and port of the node's gRPC listener.
	Address string
	// EntryAddress is the IP address and port of the node's listener for callers.
	EntryAddress string
	// AdminAddress is the IP address and port of the node's admin listener.
	AdminAddress  string
	Region        string
	FailureDomain string
	Cell          string
	// Target is the node's last report about its local target.
	Target TargetReport
}

// TargetState is the state of a node's local target.
type TargetState uint8

const (
	// TargetAbsent means that no target has announced itself, or that its process is known to
	// have exited.
	TargetAbsent TargetState = iota
	// TargetStarting means that the target has announced itself but is not ready for requests.
	TargetStarting
	// TargetReady means that the target accepts requests.
	TargetReady
	// TargetDraining means that the target completes its running requests and accepts no more.
	TargetDraining
	// TargetSuspect means that probes fail or calls hang although the process may be alive.
	TargetSuspect
)

// TargetReport is the state of the local target as the request side reports it to the control side.
type TargetReport struct {
	State TargetState
	// Incarnation identifies the target's process; it comes from the target's announcement.
	Incarnation uint64
	// Address is the IP address and port at which the target accepts requests.
	Address string
	Slots   uint32
	// InFlight is the number of requests that the node has sent to the target and that are not
	// answered yet.
	InFlight uint32
	// Utilization is the measured share of the slots in use, in thousandths.
	Utilization uint32
	// ChecksFences is set if the target itself refuses requests under a lapsed grant or a lower
	// fence.
	ChecksFences bool
}

// SliceLoad is the load measured on one held slice since the last report.
type SliceLoad struct {
	Slice keyspace.SliceID
	// WorkMillis is the time for which requests of the slice occupied slots, in milliseconds.
	WorkMillis uint32
	Requests   uint32
	// HotKey is the key with the largest share of the load; empty if no key stands out.
	HotKey string
	// HotShare is the hot key's share of the slice's load, in thousandths.
	HotShare uint32
}

// Lease is the right to serve one slice until a point in time.
type Lease struct {
	Slice   keyspace.SliceID
	Service string
	Fence   fence.Fence
	// Until is when the lease lapses, on the boot-time clock.
	Until time.Duration
	// FirstAt is the wall-clock time at which this owner was first granted the slice. Request ids
	// created before it are refused as unknown unless the former owner handed over its window of ids.
	FirstAt time.Time
	// Window is the encoded window of request ids that the former owner handed over; nil if none.
	Window []byte
}

// LeaseHolder is the interface of the request side for the control side: it holds the leases of the
// node.
type LeaseHolder interface {
	// AdoptLeases adds new leases and extends renewed ones.
	AdoptLeases(leases []Lease)
	// EndLeases stops serving the slices immediately: their leases have lapsed or were revoked.
	EndLeases(slices []keyspace.SliceID, reason string)
	// Abandon stops serving the slices immediately, provided that the target checks fences and that
	// every grant ever sent to it has lapsed. Otherwise it does nothing and returns false.
	Abandon(slices []keyspace.SliceID, reason string) bool
	// Drain stops admitting requests to the slice, refuses the queued ones and calls done with the
	// encoded window of request ids once no request of the slice is running. Until then AdoptLeases
	// may extend the lease for the running requests; only a lease with a higher fence reopens the
	// slice.
	Drain(slice keyspace.SliceID, done func(window []byte))
	// Report returns the state of the local target.
	Report() TargetReport
	// SliceLoads returns and resets the load measured per slice.
	SliceLoads() []SliceLoad
}

// Route is the destination of the requests for one key.
type Route struct {
	Range keyspace.Range
	Slice keyspace.SliceID
	// Owner is the owner of the slice; its Name is empty if the owner is not known.
	Owner Peer
	// Moving is set while the slice is handed over; requests may wait for its next owner.
	Moving bool
	// Contacts are nodes of the range's cell that know the owner; set for ranges of other cells.
	Contacts []Peer
	// Candidates are the nodes that may serve a shared range, in no particular order.
	Candidates []Peer
	// SheetVersion is the version of the sheet in force on this node.
	SheetVersion int64
}

// Router is the interface of the control side for the request side: it looks up routes.
type Router interface {
	// Locate returns the route of a key of the service. It fails with ErrNotReady or with an
	// error of package keyspace.
	Locate(service, key string) (Route, error)
	// CacheOwner caches an owner named by a redirect. An empty name removes the cached owner; an
	// owner in the node's own cell is ignored.
	CacheOwner(slice keyspace.SliceID, owner Peer)
	// Self returns this node.
	Self() Peer
	// Changed returns a channel that is closed when any route changes.
	Changed() <-chan struct{}
}
