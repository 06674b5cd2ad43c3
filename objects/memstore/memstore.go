// Package memstore is an in-memory objects.Store with injectable faults, for tests and for the
// stand-in of the platform's store.
//
// Lock order: a Store has one mutex and calls nothing while holding it.
package memstore

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	defaultPollWait = 5 * time.Second
	defaultHistory  = 4096
)

// Options configure a Store; zero values select the defaults.
type Options struct {
	// PollWait is how long Poll waits for a change; 5 s by default.
	PollWait time.Duration
	// History is the number of changes kept for watches; 4096 by default.
	History int
	// MaxValueBytes is the size limit of a value; objects.MaxValueBytes by default.
	MaxValueBytes int
	// Seed seeds the random choice of the responses that are lost.
	Seed uint64
}

// Store is an in-memory objects.Store. It is safe for concurrent use.
type Store struct {
	pollWait time.Duration
	history  int
	maxBytes int

	mu      sync.Mutex
	objects map[string]objects.Object
	version objects.Version
	// events holds the most recent changes in the order of their versions.
	events []objects.Event
	// dropped is the version of the last change that was removed from events.
	dropped objects.Version
	// changed is closed and replaced whenever an object or the faults change.
	changed chan struct{}
	faults  Faults
	random  *rand.Rand
}

var _ objects.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	if o.PollWait <= 0 {
		o.PollWait = defaultPollWait
	}
	if o.History <= 0 {
		o.History = defaultHistory
	}
	if o.MaxValueBytes <= 0 {
		o.MaxValueBytes = objects.MaxValueBytes
	}
	return &Store{
		maxBytes: o.MaxValueBytes,
		pollWait: o.PollWait,
		history:  o.History,
		objects:  make(map[string]objects.Object),
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, key string) (objects.Object, error) {
	if err := s.beforeCall(ctx); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return objects.Object{}, errors.Wrapf(objects.ErrNotFound, "key %q", key)
	}
	return cloneObject(object), nil
}

// List implements objects.Store. The objects are sorted by key.
func (s *Store) List(ctx context.Context, prefix string) (objects.Listing, error) {
	if err := s.beforeCall(ctx); err != nil {
		return objects.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return objects.Listing{Objects: s.listLocked(prefix), Version: s.version}, nil
}

// Put implements objects.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	if len(value) > s.maxBytes {
		return 0, errors.Wrapf(objects.ErrTooLarge, "key %q: %d bytes", key, len(value))
	}
	object := objects.Object{Key: key, Value: slices.Clone(value), WriteID: writeID}
	return s.write(ctx, func() (objects.Version, error) {
		return s.putLocked(object, expected)
	})
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, key string, expected objects.Version) error {
	_, err := s.write(ctx, func() (objects.Version, error) {
		return s.deleteLocked(key, expected)
	})
	return err
}

func (s *Store) putLocked(object objects.Object, expected objects.Version) (objects.Version, error) {
	if expected.Revision() == 0 {
		expected = 0
	}
	if current := s.objects[object.Key].Version; current != expected {
		return 0, conflictError(object.Key, current, expected)
	}
	s.version++
	object.Version = s.version
	s.objects[object.Key] = object
	s.recordLocked(objects.Event{Object: object})
	return object.Version, nil
}

func (s *Store) deleteLocked(key string, expected objects.Version) (objects.Version, error) {
	object, ok := s.objects[key]
	if !ok {
		return 0, errors.Wrapf(objects.ErrNotFound, "key %q", key)
	}
	if object.Version != expected {
		return 0, conflictError(key, object.Version, expected)
	}
	s.version++
	delete(s.objects, key)
	tombstone := objects.Object{Key: key, Version: s.version}
	s.recordLocked(objects.Event{Object: tombstone, Deleted: true})
	return s.version, nil
}

// Copy is a copy of a store's state.
type Copy struct {
	objects  map[string]objects.Object
	revision int64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), revision: s.version.Revision()}
}

// Restore returns to the state of a copy and begins a new era. All history is dropped, and the revisions
// after that of the copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.version.Era() + 1
	s.objects = make(map[string]objects.Object, len(c.objects))
	for key, object := range c.objects {
		object.Version = objects.NewVersion(era, object.Version.Revision())
		s.objects[key] = object
	}
	s.version = objects.NewVersion(era, c.revision)
	s.events, s.dropped = nil, s.version
	s.notifyLocked()
}

// Era returns the store's era, which begins at zero.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Era()
}

func (s *Store) recordLocked(event objects.Event) {
	s.events = append(s.events, event)
	if excess := len(s.events) - s.history; excess > 0 {
		s.dropped = s.events[excess-1].Object.Version
		s.events = slices.Delete(s.events, 0, excess)
	}
	s.notifyLocked()
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) listLocked(prefix string) []objects.Object {
	var objects []objects.Object
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, cloneObject(s.objects[key]))
		}
	}
	return objects
}

func conflictError(key string, current, expected objects.Version) error {
	return errors.Wrapf(objects.ErrConflict, "key %q: version %d, expected %d", key, current, expected)
}

func cloneObject(object objects.Object) objects.Object {
	object.Value = slices.Clone(object.Value)
	return object
}
