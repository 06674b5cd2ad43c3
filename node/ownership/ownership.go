// Package ownership assigns the keys of each keyed service to targets, in agreement with the other
// nodes, and grants the local target the keys that it holds. Nodes coordinate through the platform's
// store alone.
//
// Each node has an entry in the store. Each write of the entry renews the node's lease, counted from
// before the write was sent; a node grants keys to its target for no longer than its lease lasts.
// Each keyed service has one table of slices, changed by conditional writes. When a node's lease has
// lapsed by another node's clock, that other node first revokes the lease by a conditional write of
// the entry, which makes any renewal in flight fail, and then reassigns the node's slices in the
// table. A node whose lease was revoked grants nothing again until the table has been written once more, by
// itself or another node, so that a takeover decided earlier fails.
//
// While the store is unavailable, a lease is extended by promises of a majority of the voters that
// the node's entry names (holding.Voter). A takeover therefore needs the consent of a majority, or
// waits until every possible extension has ended.
//
// The store may return from an older copy (a new era, see objects.Version) that lacks the latest writes
// of entries and tables. Owners and takers then know different tables for a while; see restore.go.
//
// Any node may plan changes to a table: the live node whose name sorts first acts at once, the
// others after a delay that grows with their rank, and they check less often whether a change is needed.
// If two act concurrently, the conditional writes let only one succeed.
//
// Lock order: Ownership.mu before the locks of TargetMonitor and Evacuations. No store call is made while it is
// held.
package ownership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/core/roster"
	"github.com/auburnrelay/auburnrelay/node/entryfeed"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Store is the part of the platform's store that the package uses. It must also have a Watch method
// (see watchLoop).
type Store interface {
	objects.Store
	// ListStale is a cheaper List whose result may be seconds old.
	ListStale(ctx context.Context, prefix string) (objects.Listing, error)
}

// Timing holds the durations and intervals of the ownership protocol.
type Timing struct {
	// Lease is the duration of a lease after each renewal.
	Lease time.Duration
	// RenewInterval is the interval between two renewals.
	RenewInterval time.Duration
	// RenewSharedInterval is the interval between two renewals by a node whose target belongs to a shared service, and
	// SharedLease the lease that its entry then names. If the interval is zero, such nodes renew like all others. A node
	// grants keys for no longer than Lease in either case.
	RenewSharedInterval, SharedLease time.Duration
	// EntryReadInterval is the interval between two reads of the entries of all nodes.
	EntryReadInterval time.Duration
	// ReconcileInterval is the interval between two checks of the tables while no change is
	// signalled.
	ReconcileInterval time.Duration
	// RankDelay is the delay before this node makes a needed change, for each live node whose name
	// sorts before its own.
	RankDelay time.Duration
	// SettleTime is the time after slices have moved before others may move by load: a load
	// measured before a move does not show its effect.
	SettleTime time.Duration
	// InitialAssignDelay is how long to wait for the targets of a new service before its keys are
	// first assigned.
	InitialAssignDelay time.Duration
	// Promise is how long the promises of other nodes extend a lease that the store cannot renew.
	Promise time.Duration
	// ExtendInterval is the interval between two rounds of asking for promises.
	ExtendInterval time.Duration
	// ExtendLimit is how long after its last renewal a lease may be extended.
	ExtendLimit time.Duration
	// EntryExpiry is how long after its last renewal a node's entry is deleted; longer than
	// ExtendLimit.
	EntryExpiry time.Duration
	// HoldMax is the longest grant that a target accepts.
	HoldMax time.Duration
	// TargetTimeout is how long after its last heartbeat a target is still announced in the node's
	// entry.
	TargetTimeout time.Duration
	// DrainGrace is how long a target still gets keyed requests after its first heartbeat in state
	// draining or its leave call.
	DrainGrace time.Duration
}

// TargetMonitor measures the load of the local target and tracks the requests suspected of crashing
// targets. Its methods must not call the Ownership.
type TargetMonitor interface {
	// Load returns the target's load since the last call.
	Load() holding.Load
	// TargetReported records a heartbeat of the target that says for how long it stays cold, zero if it is warm.
	TargetReported(local LocalTarget, coldFor time.Duration)
	// TargetEnded records that the target's process ended without announcing it.
	TargetEnded()
	// Suspects returns the requests suspected of having crashed this node's targets.
	Suspects() []quarantine.Entry
	// SetSuspects records the suspects of another node.
	SetSuspects(node string, suspects []quarantine.Entry)
}

// VoteRequest is a request for a vote on the lease of an owner: a promise that extends the lease
// or, if Revoked is set, consent to a takeover. Version is the version of the owner's entry.
type VoteRequest struct {
	Owner   string `json:"owner"`
	Version int64  `json:"version"`
	Revoked bool   `json:"revoked,omitempty"`
}

// VoteClient is the client that asks other nodes for their votes.
type VoteClient interface {
	// Ask asks the named voter at the address for its vote. An error means that it did not answer.
	Ask(ctx context.Context, voter, address string, request VoteRequest) (bool, error)
}

// Evacuations tells which failure domains are evacuated. Its methods must not call the Ownership.
type Evacuations interface {
	// Refuses reports whether requests may not be sent now to targets in the domain. Those for keys may still be sent
	// for a time after its evacuation began.
	Refuses(domain string, keyed bool) bool
}

// Config holds the settings and dependencies of an Ownership.
type Config struct {
	// Self is the node's initial entry, without a target.
	Self Entry
	// Service is the service of the local target, and TargetAddress its address; the address is empty if it is not
	// known. Heartbeats that name others are ignored.
	Service, TargetAddress string
	Timing                 Timing
	// Clock returns the time of a clock that goes on while the machine sleeps.
	Clock func() time.Duration
	// IsKeyed reports whether a service is keyed; false while that is not known.
	IsKeyed func(service string) bool
	// MayOwn reports whether targets in the region may own keys of the service; nil if they may everywhere.
	MayOwn func(service, region string) bool
	// IsShared reports whether the configuration says that a service is not keyed; false while it does not name the
	// service. It may be nil.
	IsShared func(service string) bool
	// Entries passes the listing of the entries on within the region. If it is nil, the node lists them itself.
	Entries *entryfeed.Feed
	// Voters asks other nodes for votes while the store cannot renew leases.
	Voters VoteClient
	// Evacuations tells which failure domains are evacuated; nil if that is not watched.
	Evacuations Evacuations
	// ResponseLimit bounds the grants in a heartbeat response.
	ResponseLimit holding.ResponseLimit
	// Monitor measures the local target.
	Monitor TargetMonitor
	Log     *slog.Logger
}

// Ownership runs the ownership protocol of one node. It is safe for concurrent use.
type Ownership struct {
	cfg   Config
	store Store
	// entries is cfg.Entries, or a feed without other members. Its lock is a leaf lock.
	entries *entryfeed.Feed
	// reconcileSoon wakes reconcileLoop, and renewSoon wakes renewLoop.
	reconcileSoon chan struct{}
	renewSoon     chan struct{}
	view          atomic.Pointer[View]
	// isFindingMembers is set until the process has tried to learn of the other nodes of its region.
	isFindingMembers atomic.Bool
	// checkedAt is when checkLoop last held the lock, by cfg.Clock.
	checkedAt atomic.Int64

	mu    sync.Mutex
	lease holding.Lease
	// version is the version of this node's entry; zero before the first write.
	version objects.Version
	// acquiredAt is the version of the entry whose write acquired the lease, or renewed it first in the store's
	// present era; zero before.
	acquiredAt objects.Version
	// peers holds the last known entries by node name, this node's included.
	peers map[string]*peer
	// peersAt holds the same entries by address.
	peersAt map[string][]*peer
	tables  map[string]*table
	// target is the present process of the local target; nil before its first heartbeat.
	target *targetProcess
	// leaveNotices holds the calls of Leave by targets without a report, by target id.
	leaveNotices map[string]leaveNotice
	// formerTargets are other processes of the local target whose grants may not have lapsed.
	formerTargets []*targetProcess
	// planNeededSince is when a table was first seen to need a change that any node may make, by
	// service.
	planNeededSince map[string]time.Duration
	// planChecks holds the last checks whether a table needs such a change, by service.
	planChecks map[string]planCheck
	// goneLeftUntil is until when this node leaves it to the first node to remove its ended targets from a
	// table, by service. When all targets restart, the writes of their nodes would collide for seconds.
	goneLeftUntil map[string]time.Duration
	// movingSeenAt is when slices of a service were last seen moving, by service.
	movingSeenAt map[string]time.Duration
	stopping     bool
	// started is when this process started.
	started time.Duration
	// entriesReadAt is a time at which the known entries of all nodes were current. hasReadStore is set once this
	// process knows a reading from the store itself, rather than from a stale copy, that began after its start.
	entriesReadAt time.Duration
	hasReadStore  bool
	// listed is the last listing of all entries.
	listed *roster.Snapshot
	// startMembers holds the addresses of the region's nodes, by name, as another node has told them before this
	// process knows the entries.
	startMembers map[string]string
	// formerVoters are the voters in the entry of this node when the process first read it, and ownEntryRead is closed
	// then.
	formerVoters []string
	ownEntryRead chan struct{}
	// ownWrites are the last renewals of this node's entry, the earliest first.
	ownWrites []ownWrite
	// newestListed is the latest version of an entry in any listing, first seen at newestListedAt.
	newestListed   objects.Version
	newestListedAt time.Duration
	// written is the entry as last written, announcedLoad the load in it, and announcedUntil when the lease that it
	// names ends.
	written        Entry
	announcedLoad  holding.Load
	announcedUntil time.Duration
	voter          *holding.Voter
	// voters are the voters of the last entry that was written. While writeInDoubt is set,
	// pendingVoters are the voters of an entry whose write may still take effect.
	voters, pendingVoters []string
	writeInDoubt          bool
	// consentedRevocations holds, by node, the version of the revocation for which a majority of
	// the voters has consented to the takeover.
	consentedRevocations map[string]objects.Version
	// era is the latest era of the store that this process has seen. It began at about eraBeganAt, which is
	// zero if that was before the process read the store.
	era        int64
	eraBeganAt time.Duration
	// restored holds, by service, what is known of a table that the store may have lost writes of.
	restored map[string]*restoredTable
}

// table is the table of a service as last read or written.
type table struct {
	*holding.Table
	version objects.Version
}

// New returns an Ownership that does nothing until Run is called.
func New(cfg Config, store Store) *Ownership {
	o := &Ownership{
		cfg: cfg, store: store,
		ownEntryRead: make(chan struct{}), reconcileSoon: make(chan struct{}, 1), renewSoon: make(chan struct{}, 1),
		lease:                holding.Lease{Length: cfg.Timing.Lease, Promise: cfg.Timing.Promise, Limit: cfg.Timing.ExtendLimit},
		voter:                holding.NewVoter(cfg.Timing.Promise, cfg.Clock()),
		consentedRevocations: make(map[string]objects.Version),
		restored:             make(map[string]*restoredTable),
		leaveNotices:         make(map[string]leaveNotice),
		peers:                make(map[string]*peer),
		peersAt:              make(map[string][]*peer),
		tables:               make(map[string]*table),
		planNeededSince:      make(map[string]time.Duration),
		planChecks:           make(map[string]planCheck),
		goneLeftUntil:        make(map[string]time.Duration),
		movingSeenAt:         make(map[string]time.Duration),
		started:              cfg.Clock(),
	}
	if o.entries = cfg.Entries; o.entries == nil {
		o.entries = entryfeed.New(entryfeed.Config{
			Self: cfg.Self.Name, Members: func() map[string]string { return nil }, Clock: cfg.Clock, Log: cfg.Log,
		})
	}
	o.isFindingMembers.Store(cfg.Entries != nil)
	o.view.Store(&View{services: map[string]*serviceView{}})
	o.checkedAt.Store(int64(o.started))
	return o
}

// Run runs the protocol until the context ends, and returns the context's error.
func (o *Ownership) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){o.renewLoop, o.extendLoop, o.readEntriesLoop, o.watchLoop, o.reconcileLoop, o.checkLoop} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

const (
	// checkInterval is the interval at which checkLoop takes the lock.
	checkInterval = 250 * time.Millisecond
	// stuckAfter is how long the lock may be held before IsStuck reports it. The longest work under it, on the
	// tables of a large fleet, takes some milliseconds, on a slowed VM some hundred.
	stuckAfter = 3 * time.Second
)

// checkLoop takes the lock regularly until the context ends.
func (o *Ownership) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		o.LeaseLeft()
		o.checkedAt.Store(int64(o.cfg.Clock()))
		wait(ctx, checkInterval, nil)
	}
}

// IsStuck reports whether no call has been able to take the lock for several seconds, so that neither requests nor
// heartbeats are served. It does not take the lock.
func (o *Ownership) IsStuck() bool {
	return o.cfg.Clock()-time.Duration(o.checkedAt.Load()) > stuckAfter
}

// SetMonitor sets Config.Monitor. It must be called before Run.
func (o *Ownership) SetMonitor(m TargetMonitor) { o.cfg.Monitor = m }

// Stop announces to the other nodes, in this node's entry, that its process shuts down. It does not
// end Run.
func (o *Ownership) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	notify(o.renewSoon)
}

// notify wakes the receiver of a channel that holds one element; it does not block.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait blocks until the duration has passed, the signal arrives or the context ends. It reports whether the duration has
// passed.
func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
	case <-ctx.Done():
	}
	return false
}
