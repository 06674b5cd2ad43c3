// Package owner serves requests at the node that owns their keys: it checks the lease, keeps
// requests from running twice, admits them to the local target and says how they ended.
//
// Locks: Owner.mu guards the slices, the admission queue, the quarantine and the pending
// calls. It is a leaf: no callback, target call or encoding runs under it.
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

// ErrConfig reports settings that the owner cannot work with.
var ErrConfig = errors.New("invalid settings of the owner")

// Target is the link to the local target.
type Target interface {
	Call(ctx context.Context, call target.Call, sink plane.Sink) target.Ending
	PutGrants(ctx context.Context, grants []target.Grant, revoke []keyspace.SliceID) ([]string, error)
	Cancel(ctx context.Context, id string, attempt uint64) target.CallState
	Info() target.Info
	Report() plane.TargetReport
	Subscribe(listener func(target.Event))
}

// Sharer carries what this node learned of crashes to the other nodes of the cell. Share must
// not block.
type Sharer interface {
	Share(changes []quarantine.Change)
}

// Config holds the settings of an Owner.
type Config struct {
	Admission  admission.Policy
	Window     outcome.Limits
	Quarantine quarantine.Policy
	// Pacing bounds long answers to callers of another region.
	Pacing pacing.Policy
	// MaxConcurrent bounds the requests at the target at a time, whatever slots it announces.
	MaxConcurrent int
	// DefaultTimeout is the deadline of requests that name none.
	DefaultTimeout time.Duration
	// Clock reads the boot-time clock.
	Clock func() time.Duration
	// Sharer may be nil: then crashes are counted on this node only.
	Sharer Sharer
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// DefaultConfig returns the settings for a region whose link nodes of them share.
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

// Owner is the owner side of one node. It implements plane.Holder and plane.Server.
type Owner struct {
	cfg    Config
	target Target
	pacer  *pacing.Pacer
	// begin is the zero of the admission queue's clock.
	begin time.Time
	// push asks for grants to be sent to the target.
	push chan struct{}

	mu     sync.Mutex
	slices map[keyspace.SliceID]*slice
	// ended holds the slices whose lease is gone while requests of theirs may still run.
	ended map[keyspace.SliceID]*slice
	// drained holds the fence under which each slice was handed over; a renewal under it or a
	// lower one comes too late.
	drained map[keyspace.SliceID]fence.Fence
	queue   *admission.Queue
	tracker *quarantine.Tracker
	// lastID numbers the works in the queue.
	lastID  uint64
	waiting map[uint64]*run
	// alarm calls dispatch when waiting work must be looked at.
	alarm   *time.Timer
	pending map[*pendingCall]struct{}
	revoke  []keyspace.SliceID
	// grantedUntil is the latest end of a grant that was ever sent to the target; unanswered
	// tells that it has not acknowledged the last ones.
	grantedUntil time.Duration
	unanswered   bool
	use          usage
}

var (
	_ plane.Holder = (*Owner)(nil)
	_ plane.Server = (*Owner)(nil)
)

// New returns an owner without leases. It fails with ErrConfig, admission.ErrPolicy or
// pacing.ErrPolicy.
func New(cfg Config, link Target) (*Owner, error) {
	if cfg.Clock == nil || cfg.Logger == nil || link == nil {
		return nil, errors.Wrap(ErrConfig, "clock, logger and target are required")
	}
	if cfg.MaxConcurrent < 1 || cfg.DefaultTimeout <= 0 {
		return nil, errors.Wrap(ErrConfig, "concurrency and timeout must be positive")
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
		cfg:     cfg,
		target:  link,
		pacer:   pacer,
		begin:   time.Now(),
		push:    make(chan struct{}, 1),
		slices:  map[keyspace.SliceID]*slice{},
		ended:   map[keyspace.SliceID]*slice{},
		drained: map[keyspace.SliceID]fence.Fence{},
		queue:   queue,
		tracker: quarantine.New(cfg.Quarantine),
		waiting: map[uint64]*run{},
		pending: map[*pendingCall]struct{}{},
	}
	o.alarm = time.AfterFunc(time.Hour, o.wake)
	o.alarm.Stop()
	link.Subscribe(o.targetChanged)
	return o, nil
}

// Run sends grants to the target and follows calls in doubt until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		o.followPending(ctx)
	}()
	o.sendGrants(ctx)
	<-followed
	return nil
}

// elapsed returns the admission queue's time.
func (o *Owner) elapsed() time.Duration { return time.Since(o.begin) }

// targetChanged takes in a change of the target.
func (o *Owner) targetChanged(event target.Event) {
	switch event.Kind {
	case target.EventReady:
		o.targetReady()
	case target.EventGone:
		o.targetGone(event.Incarnation)
	}
}

func (o *Owner) targetReady() {
	info := o.target.Info()
	now := o.elapsed()
	warmSince := now - (o.cfg.Clock() - info.ReadySince)
	o.mu.Lock()
	o.queue.SetSlots(min(info.Slots, o.cfg.MaxConcurrent), warmSince)
	o.use.setSlots(now, info.Slots)
	for _, s := range o.slices {
		s.grant.reset()
	}
	o.unanswered = false
	o.mu.Unlock()
	o.requestPush()
	o.wake()
}

func (o *Owner) targetGone(incarnation uint64) {
	o.mu.Lock()
	changes := o.tracker.Crash(time.Now())
	freed := o.resolveIncarnation(incarnation)
	o.mu.Unlock()
	for _, change := range changes {
		o.cfg.Logger.Warn("request suspected of a crash", "fingerprint", uint64(change.Fingerprint),
			"incarnation", incarnation, "reason", "in flight when the target ended")
	}
	o.share(changes)
	runAll(freed)
}

func (o *Owner) share(changes []quarantine.Change) {
	if o.cfg.Sharer != nil && len(changes) > 0 {
		o.cfg.Sharer.Share(changes)
	}
}

// MergeQuarantine takes in the cell's suspects and bans.
func (o *Owner) MergeQuarantine(entries []quarantine.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.Merge(entries)
}

// Quarantine returns the suspects and bans that this node knows.
func (o *Owner) Quarantine() []quarantine.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Entries(time.Now())
}
