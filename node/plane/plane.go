// Package plane holds the narrow interfaces between the two halves of a node: the control
// side, which agrees on who owns what, and the request side, which serves callers.
//
// Times named Until are readings of the boot-time clock, which does not stop while the
// machine sleeps (package bootclock).
package plane

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// ErrNotReady reports that the node has no sheet or route table yet.
var ErrNotReady = errors.New("routes are not known yet")

// Peer is one node as others reach it.
type Peer struct {
	// Name is the name of the node's VM, from its settings.
	Name string
	// Incarnation numbers the processes of the VM; it grows with each start.
	Incarnation uint64
	// Address is the IP address and port of the node's gRPC listener.
	Address string
	// EntryAddress is the IP address and port of the node's callers' listener.
	EntryAddress string
	// AdminAddress is the IP address and port of the node's admin listener.
	AdminAddress  string
	Region        string
	FailureDomain string
	Cell          string
	// Target is what the node last reported of its target.
	Target TargetReport
}

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

// TargetReport is what the request side tells the control side about the local target.
type TargetReport struct {
	State TargetState
	// Incarnation is the target process's own, from its announcement.
	Incarnation uint64
	// Address is the IP address and port at which the target takes work.
	Address string
	Slots   uint32
	// InFlight counts requests that the node has sent and that are not answered.
	InFlight uint32
	// Utilization is the measured share of the slots in use, in thousandths.
	Utilization uint32
	// ChecksFences tells that the target refuses lapsed and lower grants itself.
	ChecksFences bool
}

// SliceLoad is the work measured on one held slice since the last report.
type SliceLoad struct {
	Slice keyspace.SliceID
	// WorkMillis is slot time used, in milliseconds.
	WorkMillis uint32
	Requests   uint32
	// HotKey is the key with the largest share of the work; empty when none stands out.
	HotKey string
	// HotShare is the hot key's share of the slice's work, in thousandths.
	HotShare uint32
}

// Lease is the right to serve one slice until a time.
type Lease struct {
	Slice   keyspace.SliceID
	Service string
	Fence   fence.Fence
	// Until is when the lease lapses, on the boot-time clock.
	Until time.Duration
	// FirstAt is the wall time of this owner's first grant of the slice. Request ids minted
	// before it are refused as unknown unless a window of ids was handed over.
	FirstAt time.Time
	// Window is the encoded window of ids that the former owner handed over; nil if none.
	Window []byte
}

// Holder is the request side as the control side sees it.
type Holder interface {
	// Adopt takes new and renewed leases.
	Adopt(leases []Lease)
	// End stops serving the slices at once: their leases lapsed or were taken away.
	End(slices []keyspace.SliceID, reason string)
	// Abandon stops serving the slices at once if the target checks fences and no grant that
	// it was ever sent can still be valid; otherwise it does nothing and returns false.
	Abandon(slices []keyspace.SliceID, reason string) bool
	// Drain stops admitting to the slice, gives up what is queued and calls done with the
	// encoded window of ids when nothing of the slice runs any more. Until then Adopt may
	// prolong the lease of what runs; only a lease with a higher fence opens the slice again.
	Drain(slice keyspace.SliceID, done func(window []byte))
	// Report returns the local target's state.
	Report() TargetReport
	// SliceLoads returns and resets the work measured per slice.
	SliceLoads() []SliceLoad
}

// Route tells where the requests of one key go.
type Route struct {
	Range keyspace.Range
	Slice keyspace.SliceID
	// Owner is the slice's owner; its Name is empty when it is not known.
	Owner Peer
	// Moving tells that the slice is being handed over; requests may wait for its next owner.
	Moving bool
	// Contacts are nodes of the range's cell that can name the owner.
	Contacts []Peer
	// Candidates are the nodes that may serve a shared range, in no order.
	Candidates []Peer
	// SheetVersion is the version of the sheet in force on this node.
	SheetVersion int64
}

// Router is the control side as the request side sees it.
type Router interface {
	// Locate returns the route of key; it fails with ErrNotReady or the errors of
	// package keyspace.
	Locate(service, key string) (Route, error)
	// Learn records an owner named by a redirect. An owner of the node's own cell is ignored.
	Learn(slice keyspace.SliceID, owner Peer)
	// Self returns this node.
	Self() Peer
	// Changed returns a channel that is closed at the next change of any route.
	Changed() <-chan struct{}
}
