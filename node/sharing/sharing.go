package sharing

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

// Config holds the settings of a Sharer.
type Config struct {
	Cell   string
	Policy quarantine.Policy
	Log    *slog.Logger
}

// Sharer writes quarantine changes to the store and publishes them to the nodes of the cell.
type Sharer struct {
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

// New returns a sharer; Attach must be called before Run.
func New(config Config, store objects.Store) *Sharer {
	return &Sharer{config: config, store: store, wake: make(chan struct{}, 1)}
}

// Attach sets the dependencies that are built after the sharer. It must be called before Run.
func (s *Sharer) Attach(tracker Tracker, publisher Publisher) {
	s.tracker = tracker
	s.publisher = publisher
}

// Share queues changes to be distributed. It does not block.
func (s *Sharer) Share(changes []quarantine.Change) {
	s.mu.Lock()
	s.pending = append(s.pending, changes...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reads the cell's entries and distributes changes until the context ends. It returns nil.
func (s *Sharer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	loaded := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
		if !loaded {
			loaded = s.load(ctx)
		}
		if !s.distribute(ctx) || !loaded {
			timer.Reset(retryInterval)
		}
	}
}

// load merges the cell's entries from the store into the tracker and reports whether they could be
// read.
func (s *Sharer) load(ctx context.Context) bool {
	entries, _, err := s.read(ctx)
	if err != nil {
		s.config.Log.Warn("quarantine entries not read", "cell", s.config.Cell, "reason", err.Error())
		return false
	}
	s.tracker.MergeQuarantine(entries)
	return true
}

// distribute publishes one batch of changes and writes it to the store. It reports false if the batch
// could not be written.
func (s *Sharer) distribute(ctx context.Context) bool {
	if len(s.unwritten.changes) == 0 {
		s.unwritten = s.takePending()
	}
	if len(s.unwritten.changes) == 0 {
		return true
	}
	s.publisher.Publish(ctx, s.tracker.Quarantine())
	entries, err := s.write(ctx, s.unwritten)
	if err != nil {
		s.config.Log.Warn("quarantine entries not written", "cell", s.config.Cell, "reason", err.Error())
		return false
	}
	s.unwritten = batch{}
	s.tracker.MergeQuarantine(entries)
	s.publisher.Publish(ctx, entries)
	return true
}

// takePending removes and returns the pending changes as one batch.
func (s *Sharer) takePending() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{id: ulid.Make().String(), changes: s.pending}
	s.pending = nil
	return b
}

// write applies the batch to the store's object and returns the resulting entries. If the answer of a
// write is lost, the next read shows by the object's write id whether it took effect, so that the
// batch is not counted twice.
func (s *Sharer) write(ctx context.Context, b batch) ([]quarantine.Entry, error) {
	var lastErr error
	for range maxWriteAttempts {
		entries, object, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		if object.WriteID == b.id {
			return entries, nil
		}
		entries = s.config.Policy.ApplyChanges(time.Now(), entries, b.changes)
		if lastErr = s.put(ctx, entries, object.Version, b.id); lastErr == nil {
			return entries, nil
		}
	}
	return nil, errors.Wrapf(lastErr, "conditional write failed %d times", maxWriteAttempts)
}

// read returns the cell's entries and the object that holds them; both are empty if there is none.
func (s *Sharer) read(ctx context.Context) ([]quarantine.Entry, objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, keyPrefix+s.config.Cell)
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

func (s *Sharer) put(ctx context.Context, entries []quarantine.Entry, expected objects.Version, id string) error {
	value, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode quarantine entries")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = s.store.Put(ctx, keyPrefix+s.config.Cell, value, expected, id)
	return errors.Wrap(err, "write quarantine entries")
}
