// Package ownership agrees with the other nodes, through the platform's store alone, on which
// target holds which keys, and tells this node's target what to hold.
//
// Each node keeps an entry in the store. Each write of the entry renews the node's lease, counted
// from before the write was sent; a node grants keys to its target for no longer than its lease
// lasts. Each keyed service has one table of slices, changed by conditional writes. When a node's
// lease has lapsed by another node's clock, that node first revokes it by a conditional write of
// the entry, which no renewal under way can survive, and then takes its slices away in the table.
// A node whose lease was revoked writes the tables once before it grants anything again, so that
// a takeover decided earlier fails.
//
// While the store does not answer, a lease is extended by promises of more than half of the voters
// that the node's entry names (holding.Ballot). A takeover therefore needs the consent of as many,
// or waits until no extension can last.
//
// Any node may plan: the first by name of those that live acts at once, the others after a delay
// that grows with their rank, and the conditional writes decide between two that act together.
//
// Lock order: Ownership.mu before those of Measure; no store call is made under it.
package ownership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Store is what the package asks of the platform's store.
type Store interface {
	objects.Store
	// ListStale is List at a lower price; its result may be seconds old.
	ListStale(ctx context.Context, prefix string) (objects.Listing, error)
}

// Timing holds the times of the protocol.
type Timing struct {
	// Lease is how long a renewal of the entry lasts.
	Lease time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Look is the time between two readings of the other nodes' entries.
	Look time.Duration
	// Act is the time between two looks for something to do when nothing changes.
	Act time.Duration
	// Rank is how much longer each further node waits before it plans.
	Rank time.Duration
	// Settle is the time between two plans by load: what was measured before a move does not
	// show its effect.
	Settle time.Duration
	// Gather is how long a new service's targets are awaited before its keys are first divided.
	Gather time.Duration
	// Promise is how long another node's promise extends a lease that the store does not renew.
	Promise time.Duration
	// Extend is the time between two rounds of asking for promises.
	Extend time.Duration
	// ExtendLimit is how long after its last renewal a lease may be extended.
	ExtendLimit time.Duration
	// Forget is how long a node must be silent until its entry is removed; longer than ExtendLimit.
	Forget time.Duration
	// HoldMax is the longest grant that a target accepts.
	HoldMax time.Duration
	// Silence is how long a target may be silent before it is no longer offered to others.
	Silence time.Duration
	// DrainGrace is how long after a target said that it leaves keyed work may go to it.
	DrainGrace time.Duration
}

// Measure is what the guard of the target measures and learns. It must not call the Ownership.
type Measure interface {
	// Load measures the target since the last call.
	Load() holding.Load
	// TargetEnded tells that the target's process ended without a word.
	TargetEnded()
	// Suspects returns the requests that may have ended this node's targets.
	Suspects() []quarantine.Entry
	// Learn takes in the suspects of another node.
	Learn(node string, suspects []quarantine.Entry)
}

// Question is what a node asks a voter about the lease of an owner: to promise its extension, or,
// if Revoked, to consent to its end. Version is that of the owner's entry.
type Question struct {
	Owner   string `json:"owner"`
	Version int64  `json:"version"`
	Revoked bool   `json:"revoked,omitempty"`
}

// Voters asks other nodes for their votes.
type Voters interface {
	// Ask asks the voter of the name at the address; an error is no answer.
	Ask(ctx context.Context, voter, address string, q Question) (bool, error)
}

// Config is what an Ownership is made of.
type Config struct {
	// Self is the node's entry as it starts, without a target.
	Self   Entry
	Timing Timing
	// Clock reads a clock that does not stop with the machine.
	Clock func() time.Duration
	// IsKeyed reports whether a service is divided by key; false while that is not known.
	IsKeyed func(service string) bool
	// Voters are asked about leases that the store cannot renew.
	Voters Voters
	// AnswerSize is the room for grants in an answer to the target.
	AnswerSize holding.AnswerSize
	// Measure is asked what was measured of the target.
	Measure Measure
	Log     *slog.Logger
}

// Ownership is one node's part. It is safe for concurrent use.
type Ownership struct {
	cfg   Config
	store Store
	kick  chan struct{}
	renew chan struct{}
	view  atomic.Pointer[View]

	mu    sync.Mutex
	lease holding.Lease
	// version is that of the own entry; zero before the first write.
	version objects.Version
	peers   map[string]*peer
	tables  map[string]*table
	life    *life
	// departed are targets whose leaving was acknowledged without a life of theirs, by id.
	departed map[string]departure
	// former are earlier lives of targets beside this node whose grants may not have lapsed.
	former []*life
	// planSince is when a need to plan was first seen, by service.
	planSince map[string]time.Duration
	// movedAt is when slices of a service were last seen on their way.
	movedAt  map[string]time.Duration
	stopping bool
	started  time.Duration
	// lookedAt is when the entries of all nodes were last read, and informed tells that this
	// process has read them from the store itself and not from an older copy.
	lookedAt time.Duration
	informed bool
	ballot   *holding.Ballot
	// voters are those of the last entry that was written, and pending, valid with inDoubt, those
	// of an entry whose write may still take effect.
	voters, pending []string
	inDoubt         bool
	// agreed are the revocations, by node, to whose effect the voters have consented.
	agreed map[string]objects.Version
}

// table is the table of a service as last read or written.
type table struct {
	*holding.Table
	version objects.Version
}

// New returns an Ownership that takes no part yet; Run does.
func New(cfg Config, store Store) *Ownership {
	o := &Ownership{
		cfg: cfg, store: store,
		kick: make(chan struct{}, 1), renew: make(chan struct{}, 1),
		lease:     holding.Lease{Length: cfg.Timing.Lease, Promise: cfg.Timing.Promise, Limit: cfg.Timing.ExtendLimit},
		ballot:    holding.NewBallot(cfg.Timing.Promise, cfg.Clock()),
		agreed:    make(map[string]objects.Version),
		departed:  make(map[string]departure),
		peers:     make(map[string]*peer),
		tables:    make(map[string]*table),
		planSince: make(map[string]time.Duration),
		movedAt:   make(map[string]time.Duration),
		started:   cfg.Clock(),
	}
	o.view.Store(&View{services: map[string]*serviceView{}})
	return o
}

// Run takes part until the context ends.
func (o *Ownership) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){o.renewLoop, o.extendLoop, o.lookLoop, o.watchLoop, o.actLoop} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// SetMeasure sets what measures the target; it must be called before Run.
func (o *Ownership) SetMeasure(m Measure) { o.cfg.Measure = m }

// Stop tells the others that the node's process is about to end.
func (o *Ownership) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	signal(o.renew)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait pauses until the time has passed, the signal comes or the context ends.
func wait(ctx context.Context, d time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
}
