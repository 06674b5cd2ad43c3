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
	// keyPrefix starts the store key of a cell's entries.
	keyPrefix = "quarantine/"
	// writeTries bounds the conditional writes of one round.
	writeTries = 5
	// retryInterval is the time between two rounds while the store cannot be reached.
	retryInterval = 2 * time.Second
	storeTimeout  = time.Second
)

// Publisher sends the cell's entries to its other nodes.
type Publisher interface {
	Publish(ctx context.Context, entries []quarantine.Entry)
}

// Tracker holds the entries of this node.
type Tracker interface {
	MergeQuarantine(entries []quarantine.Entry)
	Quarantine() []quarantine.Entry
}

// Config is what a Sharer needs to know.
type Config struct {
	Cell   string
	Policy quarantine.Policy
	Log    *slog.Logger
}

// Sharer carries changes to the store and to the cell's nodes.
type Sharer struct {
	config    Config
	store     objects.Store
	publisher Publisher
	tracker   Tracker
	wake      chan struct{}

	// unwritten is the batch that the store may not have taken yet; only Run touches it.
	unwritten batch

	mu      sync.Mutex
	waiting []quarantine.Change
}

// batch is a number of changes under one write id.
type batch struct {
	id      string
	changes []quarantine.Change
}

// New returns a sharer that still needs Attach.
func New(config Config, store objects.Store) *Sharer {
	return &Sharer{config: config, store: store, wake: make(chan struct{}, 1)}
}

// Attach sets the parts that are built after the sharer; it must be called before Run.
func (s *Sharer) Attach(tracker Tracker, publisher Publisher) {
	s.tracker = tracker
	s.publisher = publisher
}

// Share takes changes to be spread. It does not block.
func (s *Sharer) Share(changes []quarantine.Change) {
	s.mu.Lock()
	s.waiting = append(s.waiting, changes...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reads the cell's entries and then spreads changes until the context ends.
func (s *Sharer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	read := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
		if !read {
			read = s.load(ctx)
		}
		if !s.spread(ctx) || !read {
			timer.Reset(retryInterval)
		}
	}
}

// load takes the cell's entries in and reports whether the store answered.
func (s *Sharer) load(ctx context.Context) bool {
	entries, _, err := s.read(ctx)
	if err != nil {
		s.config.Log.Warn("quarantine not read", "cell", s.config.Cell, "reason", err.Error())
		return false
	}
	s.tracker.MergeQuarantine(entries)
	return true
}

// spread publishes what waits and writes it to the store. It reports whether nothing is left.
func (s *Sharer) spread(ctx context.Context) bool {
	if len(s.unwritten.changes) == 0 {
		s.unwritten = s.next()
	}
	if len(s.unwritten.changes) == 0 {
		return true
	}
	s.publisher.Publish(ctx, s.tracker.Quarantine())
	entries, err := s.write(ctx, s.unwritten)
	if err != nil {
		s.config.Log.Warn("quarantine not written", "cell", s.config.Cell, "reason", err.Error())
		return false
	}
	s.unwritten = batch{}
	s.tracker.MergeQuarantine(entries)
	s.publisher.Publish(ctx, entries)
	return true
}

// next takes the changes that wait as one batch.
func (s *Sharer) next() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{id: ulid.Make().String(), changes: s.waiting}
	s.waiting = nil
	return b
}

// write folds the batch into the store's object. A lost answer is resolved by the next read:
// a batch that is already there is not counted twice, because its write id tells it apart.
func (s *Sharer) write(ctx context.Context, b batch) ([]quarantine.Entry, error) {
	var last error
	for range writeTries {
		entries, object, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		if object.WriteID == b.id {
			return entries, nil
		}
		entries = s.config.Policy.Fold(time.Now(), entries, b.changes)
		if last = s.put(ctx, entries, object.Version, b.id); last == nil {
			return entries, nil
		}
	}
	return nil, errors.Wrapf(last, "after %d tries", writeTries)
}

func (s *Sharer) read(ctx context.Context) ([]quarantine.Entry, objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, keyPrefix+s.config.Cell)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, objects.Object{}, nil
	}
	if err != nil {
		return nil, objects.Object{}, errors.Wrap(err, "read quarantine")
	}
	var entries []quarantine.Entry
	err = json.Unmarshal(object.Value, &entries)
	return entries, object, errors.Wrap(err, "decode quarantine")
}

func (s *Sharer) put(ctx context.Context, entries []quarantine.Entry, expected objects.Version, id string) error {
	value, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode quarantine")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = s.store.Put(ctx, keyPrefix+s.config.Cell, value, expected, id)
	return errors.Wrap(err, "write quarantine")
}
