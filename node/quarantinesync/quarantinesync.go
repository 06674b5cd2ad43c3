package quarantinesync

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// keyPrefix and the name of a cell form the store key of the cell's entries.
	keyPrefix = "quarantine/"
	// maxWriteAttempts is the maximum number of conditional writes of a batch before the next retry.
	maxWriteAttempts = 5
	// retryInterval is the delay before a failed read or write is retried.
	retryInterval = 2 * time.Second
	storeTimeout  = time.Second
)

// Publisher sends quarantine entries to the other nodes of the cell.
type Publisher interface {
	Publish(ctx context.Context, entries []quarantine.Entry)
}

// Tracker holds the quarantine entries of this node.
type Tracker interface {
	MergeQuarantine(entries []quarantine.Entry)
	Quarantine() []quarantine.Entry
}

// Config holds the settings of a Distributor.
type Config struct {
	Cell   string
	Policy quarantine.Policy
	Log    *slog.Logger
}

// Distributor writes quarantine changes to the store and publishes them to the nodes of the cell.
type Distributor struct {
	config    Config
	store     objects.Store
	publisher Publisher
	tracker   Tracker
	wake      chan struct{}

	// unwritten is the batch that may not be in the store yet; only Run accesses it.
	unwritten batch

	mu sync.Mutex
	// pending are the changes that are not part of a batch yet.
	pending []quarantine.Change
}

// batch holds changes that are written together under one write id.
type batch struct {
	id      string
	changes []quarantine.Change
}

// New returns a distributor; Attach must be called before Run.
func New(config Config, store objects.Store) *Distributor {
	return &Distributor{config: config, store: store, wake: make(chan struct{}, 1)}
}

// Attach sets the dependencies that are built after the distributor. It must be called before Run.
func (d *Distributor) Attach(tracker Tracker, publisher Publisher) {
	d.tracker = tracker
	d.publisher = publisher
}

// Publish queues changes to be distributed. It does not block.
func (d *Distributor) Publish(changes []quarantine.Change) {
	d.mu.Lock()
	d.pending = append(d.pending, changes...)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run reads the cell's entries and distributes changes until the context ends. It returns nil.
func (d *Distributor) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	loaded := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-timer.C:
		}
		if !loaded {
			loaded = d.load(ctx)
		}
		if !d.distribute(ctx) || !loaded {
			timer.Reset(retryInterval)
		}
	}
}

// load merges the cell's entries from the store into the tracker and reports whether they could be
// read.
func (d *Distributor) load(ctx context.Context) bool {
	entries, _, err := d.read(ctx)
	if err != nil {
		d.config.Log.Warn("quarantine entries not read", "cell", d.config.Cell, "reason", err.Error())
		return false
	}
	d.tracker.MergeQuarantine(entries)
	return true
}

// distribute publishes this node's entries, writes one batch of changes to the store and publishes the
// resulting entries of the cell. It reports false if the batch could not be written.
func (d *Distributor) distribute(ctx context.Context) bool {
	if len(d.unwritten.changes) == 0 {
		d.unwritten = d.takePending()
	}
	if len(d.unwritten.changes) == 0 {
		return true
	}
	d.publisher.Publish(ctx, d.tracker.Quarantine())
	entries, err := d.write(ctx, d.unwritten)
	if err != nil {
		d.config.Log.Warn("quarantine entries not written", "cell", d.config.Cell, "reason", err.Error())
		return false
	}
	d.unwritten = batch{}
	d.tracker.MergeQuarantine(entries)
	d.publisher.Publish(ctx, entries)
	return true
}

// takePending removes and returns the pending changes as one batch.
func (d *Distributor) takePending() batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := batch{id: ulid.Make().String(), changes: d.pending}
	d.pending = nil
	return b
}

// write applies the batch to the store's object and returns the resulting entries. If the response to a
// write is lost, the next read shows by the object's write id whether it took effect, so that the
// batch is not counted twice.
func (d *Distributor) write(ctx context.Context, b batch) ([]quarantine.Entry, error) {
	var lastErr error
	for range maxWriteAttempts {
		entries, object, err := d.read(ctx)
		if err != nil {
			return nil, err
		}
		if object.WriteID == b.id {
			return entries, nil
		}
		entries = d.config.Policy.ApplyChanges(time.Now(), entries, b.changes)
		if lastErr = d.put(ctx, entries, object.Version, b.id); lastErr == nil {
			return entries, nil
		}
	}
	return nil, errors.Wrapf(lastErr, "conditional write failed %d times", maxWriteAttempts)
}

// read returns the cell's entries and the object that holds them; both are empty if there is none.
func (d *Distributor) read(ctx context.Context) ([]quarantine.Entry, objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := d.store.Get(ctx, keyPrefix+d.config.Cell)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, objects.Object{}, nil
	}
	if err != nil {
		return nil, objects.Object{}, errors.Wrap(err, "read quarantine entries")
	}
	var entries []quarantine.Entry
	err = json.Unmarshal(object.Value, &entries)
	return entries, object, errors.Wrap(err, "decode quarantine entries")
}

func (d *Distributor) put(ctx context.Context, entries []quarantine.Entry, expected objects.Version, id string) error {
	value, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode quarantine entries")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = d.store.Put(ctx, keyPrefix+d.config.Cell, value, expected, id)
	return errors.Wrap(err, "write quarantine entries")
}
