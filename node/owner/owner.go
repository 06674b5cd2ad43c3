// Package owner serves requests at the node that owns their keys: it checks the lease, prevents
// duplicate executions, admits requests to the local target and reports their outcome.
//
// Locks: Owner.mu guards the slices, the admission queue, the quarantine and the unresolved
// calls. It is a leaf lock: no callback, target call or encoding runs while it is held.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/pacing"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

// ErrConfig reports invalid settings of an Owner.
var ErrConfig = errors.New("invalid owner settings")

// Target is the owner's interface to the local target; target.Link implements it.
type Target interface {
	Call(ctx context.Context, call target.Call, sink plane.Sink) target.CallResult
	PutGrants(ctx context.Context, grants []target.Grant, revoke []keyspace.SliceID) ([]string, error)
	Cancel(ctx context.Context, id string, attempt uint64) target.CallState
	Info() target.Info
	Report() plane.TargetReport
	Subscribe(listener func(target.Event))
}

// QuarantinePublisher publishes this node's quarantine changes to the other nodes of the cell.
// Publish must not block.
type QuarantinePublisher interface {
	Publish(changes []quarantine.Change)
}

// Config holds the settings of an Owner.
type Config struct {
	Admission  admission.Policy
	Window     outcome.Limits
	Quarantine quarantine.Policy
	// Pacing limits the rate of long answers to callers in other regions.
	Pacing pacing.Policy
	// MaxConcurrent bounds the concurrent requests at the target, however many slots it announces.
	MaxConcurrent int
	// DefaultTimeout applies to requests without a deadline.
	DefaultTimeout time.Duration
	// Clock reads the boot-time clock.
	Clock func() time.Duration
	// Publisher may be nil; crashes are then counted on this node only.
	Publisher QuarantinePublisher
	Logger    *slog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// DefaultConfig returns the default settings; nodes is the number of nodes that share the
// region's link.
func DefaultConfig(nodes int, clock func() time.Duration, logger *slog.Logger) Config {
	return Config{
		Admission:      admission.DefaultPolicy(),
		Window:         outcome.DefaultLimits(),
		Quarantine:     quarantine.DefaultPolicy(),
		Pacing:         pacing.DefaultPolicy(nodes),
		MaxConcurrent:  32,
		DefaultTimeout: 30 * time.Second,
		Clock:          clock,
		Logger:         logger,
	}
}

// Owner serves the requests of the slices that this node holds and of shared services. It
// implements plane.LeaseHolder and plane.Server.
type Owner struct {
	cfg    Config
	target Target
	pacer  *pacing.Pacer
	// queueEpoch is the time origin of the admission queue's clock.
	queueEpoch time.Time
	// sendGrantsNow signals sendGrants to send the grants now.
	sendGrantsNow chan struct{}

	mu     sync.Mutex
	slices map[keyspace.SliceID]*slice
	// ended holds slices whose lease has ended while their requests may still be running.
	ended map[keyspace.SliceID]*slice
	// drainedFences holds the fence under which each slice was handed over. A renewal under this
	// or a lower fence is stale and is ignored.
	drainedFences map[keyspace.SliceID]fence.Fence
	queue         *admission.Queue
	tracker       *quarantine.Tracker
	// lastID is the last queue ID that was assigned.
	lastID uint64
	queued map[uint64]*requestRun
	// dispatchTimer runs dispatch when the queue is next due for a check.
	dispatchTimer  *time.Timer
	unresolved     map[*unresolvedCall]struct{}
	pendingRevokes []keyspace.SliceID
	// grantedUntil is the latest expiry of any grant sent to the target. grantsUnanswered is
	// set while the target has not answered the last grants.
	grantedUntil     time.Duration
	grantsUnanswered bool
	usage            slotUsage
}

var (
	_ plane.LeaseHolder = (*Owner)(nil)
	_ plane.Server      = (*Owner)(nil)
)

// New returns an owner that holds no leases. It fails with ErrConfig, admission.ErrPolicy or
// pacing.ErrPolicy.
func New(cfg Config, link Target) (*Owner, error) {
	if cfg.Clock == nil || cfg.Logger == nil || link == nil {
		return nil, errors.Wrap(ErrConfig, "Clock, Logger and target are required")
	}
	if cfg.MaxConcurrent < 1 || cfg.DefaultTimeout <= 0 {
		return nil, errors.Wrap(ErrConfig, "MaxConcurrent and DefaultTimeout must be positive")
	}
	queue, err := admission.NewQueue(cfg.Admission)
	if err != nil {
		return nil, err
	}
	pacer, err := pacing.New(cfg.Pacing)
	if err != nil {
		return nil, err
	}
	o := &Owner{
		cfg:           cfg,
		target:        link,
		pacer:         pacer,
		queueEpoch:    time.Now(),
		sendGrantsNow: make(chan struct{}, 1),
		slices:        map[keyspace.SliceID]*slice{},
		ended:         map[keyspace.SliceID]*slice{},
		drainedFences: map[keyspace.SliceID]fence.Fence{},
		queue:         queue,
		tracker:       quarantine.New(cfg.Quarantine),
		queued:        map[uint64]*requestRun{},
		unresolved:    map[*unresolvedCall]struct{}{},
	}
	o.dispatchTimer = time.AfterFunc(time.Hour, o.dispatchNow)
	o.dispatchTimer.Stop()
	link.Subscribe(o.handleTargetEvent)
	return o, nil
}

// Run sends grants to the target and polls it about unresolved calls until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	pollingDone := make(chan struct{})
	go func() {
		defer close(pollingDone)
		o.pollUnresolved(ctx)
	}()
	o.sendGrants(ctx)
	<-pollingDone
	return nil
}

// elapsed returns the current time on the admission queue's clock.
func (o *Owner) elapsed() time.Duration { return time.Since(o.queueEpoch) }

// handleTargetEvent handles an event of the target link.
func (o *Owner) handleTargetEvent(event target.Event) {
	switch event.Kind {
	case target.EventReady:
		o.handleTargetReady()
	case target.EventGone:
		o.handleTargetGone(event.Incarnation)
	}
}

func (o *Owner) handleTargetReady() {
	info := o.target.Info()
	now := o.elapsed()
	readySince := now - (o.cfg.Clock() - info.ReadySince)
	o.mu.Lock()
	o.queue.SetSlots(min(info.Slots, o.cfg.MaxConcurrent), readySince)
	o.usage.setSlots(now, info.Slots)
	for _, s := range o.slices {
		s.grant.reset()
	}
	o.grantsUnanswered = false
	o.mu.Unlock()
	o.requestSendGrants()
	o.dispatchNow()
}

func (o *Owner) handleTargetGone(incarnation uint64) {
	o.mu.Lock()
	changes := o.tracker.Crash(time.Now())
	callbacks := o.resolveIncarnation(incarnation)
	o.mu.Unlock()
	for _, change := range changes {
		o.cfg.Logger.Warn("request suspected of a crash", "fingerprint", uint64(change.Fingerprint),
			"incarnation", incarnation, "reason", "in flight when the target process ended")
	}
	o.publishChanges(changes)
	callAll(callbacks)
}

func (o *Owner) publishChanges(changes []quarantine.Change) {
	if o.cfg.Publisher != nil && len(changes) > 0 {
		o.cfg.Publisher.Publish(changes)
	}
}

// MergeQuarantine merges the cell's suspects and bans into this node's.
func (o *Owner) MergeQuarantine(entries []quarantine.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.Merge(entries)
}

// Quarantine returns the suspects and bans known to this node.
func (o *Owner) Quarantine() []quarantine.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Entries(time.Now())
}
