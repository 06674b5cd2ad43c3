package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// walkStore is the simulated store that all nodes share.
type walkStore struct {
	objects map[string]objects.Object
	version objects.Version
	// down is the time until which the store is unavailable.
	down time.Duration
	// late holds the writes that take effect later if their condition still holds.
	late []lateWrite
	// loses is the fraction of writes whose answer is lost, and delays the fraction of writes that
	// are applied later.
	loses, delays float64
	// copies are former states, for stale listings.
	copies []walkCopy
}

// lateWrite is a conditional write to be applied at a given time.
type lateWrite struct {
	at       time.Duration
	object   objects.Object
	expected objects.Version
}

// walkCopy is the state of the store at a given time.
type walkCopy struct {
	at      time.Duration
	listing objects.Listing
}

// reaches returns an error while the node cannot reach the store.
func (n *walker) reaches() error {
	if w := n.world; w.now < w.store.down || w.now < n.cutStore {
		return errors.WithStack(objects.ErrUnavailable)
	}
	return nil
}

// Get implements Store.
func (n *walker) Get(_ context.Context, key string) (objects.Object, error) {
	n.world.pass()
	if err := n.reaches(); err != nil {
		return objects.Object{}, err
	}
	o, ok := n.world.store.objects[key]
	n.world.pass()
	if !ok {
		return o, errors.WithStack(objects.ErrNotFound)
	}
	return o, nil
}

// Put implements Store.
func (n *walker) Put(_ context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	w := n.world
	w.pass()
	if err := n.reaches(); err != nil {
		return 0, err
	}
	write := lateWrite{object: objects.Object{Key: key, Value: value, WriteID: id}, expected: expected}
	if w.chance(w.store.delays) {
		write.at = w.now + w.upTo(6*second)
		w.store.late = append(w.store.late, write)
		return 0, errors.WithStack(objects.ErrUnknownOutcome)
	}
	version, ok := w.store.apply(write)
	lost := w.chance(w.store.loses)
	w.pass()
	switch {
	case lost:
		return 0, errors.WithStack(objects.ErrUnknownOutcome)
	case !ok:
		return 0, errors.WithStack(objects.ErrConflict)
	default:
		return version, nil
	}
}

// apply carries out a write if its condition holds, and reports whether it did.
func (s *walkStore) apply(w lateWrite) (objects.Version, bool) {
	if s.objects[w.object.Key].Version != w.expected {
		return 0, false
	}
	s.version++
	w.object.Version = s.version
	s.objects[w.object.Key] = w.object
	return s.version, true
}

func (s *walkStore) listing() objects.Listing {
	l := objects.Listing{Version: s.version}
	for key, o := range s.objects {
		if strings.HasPrefix(key, NodesPrefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// List implements Store.
func (n *walker) List(context.Context, string) (objects.Listing, error) {
	if err := n.reaches(); err != nil {
		return objects.Listing{}, err
	}
	return n.world.store.listing(), nil
}

// ListStale implements Store.
func (n *walker) ListStale(context.Context, string) (objects.Listing, error) {
	if err := n.reaches(); err != nil {
		return objects.Listing{}, err
	}
	copies := n.world.store.copies
	if len(copies) == 0 || n.world.chance(0.5) {
		return n.world.store.listing(), nil
	}
	return copies[n.world.random.IntN(len(copies))].listing, nil
}

// Delete implements Store.
func (n *walker) Delete(_ context.Context, key string, expected objects.Version) error {
	n.world.pass()
	if err := n.reaches(); err != nil {
		return err
	}
	s := &n.world.store
	if s.objects[key].Version != expected {
		return errors.WithStack(objects.ErrConflict)
	}
	s.version++
	delete(s.objects, key)
	return nil
}

// Poll implements Store.
func (n *walker) Poll(context.Context, string, objects.Version) (objects.Batch, error) {
	return objects.Batch{}, objects.ErrUnavailable
}
