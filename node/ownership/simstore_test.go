package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// simStore is the simulated store that all nodes share.
type simStore struct {
	objects map[string]objects.Object
	// version is the version of the latest change; all objects have versions of its era.
	version objects.Version
	// downUntil is the time until which the store is unavailable.
	downUntil time.Duration
	// delayed holds the writes that take effect later if their condition still holds.
	delayed []delayedWrite
	// lostResponses is the fraction of writes whose response is lost, and delayedWrites the fraction
	// of writes that are applied later.
	lostResponses, delayedWrites float64
	// copies are former states for stale listings, and restorable those to which the store may return.
	copies, restorable []storeCopy
}

// restore returns the store to a former state in a new era.
func (s *simStore) restore(c storeCopy) {
	era := s.version.Era() + 1
	s.objects = make(map[string]objects.Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = objects.NewVersion(era, o.Version.Revision())
		s.objects[key] = o
	}
	s.version = objects.NewVersion(era, c.listing.Version.Revision())
}

// delayedWrite is a conditional write to be applied at a given time.
type delayedWrite struct {
	at       time.Duration
	object   objects.Object
	expected objects.Version
}

// storeCopy is the state of the store at a given time.
type storeCopy struct {
	at      time.Duration
	listing objects.Listing
	objects map[string]objects.Object
}

// storeError returns an error while the node cannot reach the store.
func (n *simNode) storeError() error {
	if sim := n.sim; sim.now < sim.store.downUntil || sim.now < n.storeCutUntil {
		return errors.WithStack(objects.ErrUnavailable)
	}
	return nil
}

// Get implements Store.
func (n *simNode) Get(_ context.Context, key string) (objects.Object, error) {
	n.sim.passTime()
	if err := n.storeError(); err != nil {
		return objects.Object{}, err
	}
	o, ok := n.sim.store.objects[key]
	n.seenEra = n.sim.store.version.Era()
	n.sim.passTime()
	if !ok {
		return o, errors.WithStack(objects.ErrNotFound)
	}
	return o, nil
}

// Put implements Store.
func (n *simNode) Put(_ context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	sim := n.sim
	sim.passTime()
	if err := n.storeError(); err != nil {
		return 0, err
	}
	if expected != 0 && expected.Era() < n.seenEra {
		return 0, errors.WithStack(objects.ErrConflict)
	}
	write := delayedWrite{object: objects.Object{Key: key, Value: value, WriteID: id}, expected: expected}
	if sim.chance(sim.store.delayedWrites) {
		write.at = sim.now + sim.randomUpTo(6*second)
		sim.store.delayed = append(sim.store.delayed, write)
		return 0, errors.WithStack(objects.ErrUnknownOutcome)
	}
	version, ok := sim.store.apply(write)
	n.seenEra = sim.store.version.Era()
	lost := sim.chance(sim.store.lostResponses)
	sim.passTime()
	switch {
	case lost:
		return 0, errors.WithStack(objects.ErrUnknownOutcome)
	case !ok:
		return 0, errors.WithStack(objects.ErrConflict)
	default:
		return version, nil
	}
}

// apply carries out a write if its condition holds, and reports whether it did. As in the real store, the
// condition is on the revision alone, which another object of a later era may have.
func (s *simStore) apply(write delayedWrite) (objects.Version, bool) {
	if s.objects[write.object.Key].Version.Revision() != write.expected.Revision() {
		return 0, false
	}
	s.version++
	write.object.Version = s.version
	s.objects[write.object.Key] = write.object
	return s.version, true
}

func (s *simStore) listing() objects.Listing {
	l := objects.Listing{Version: s.version}
	for key, o := range s.objects {
		if strings.HasPrefix(key, NodesPrefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// List implements Store.
func (n *simNode) List(context.Context, string) (objects.Listing, error) {
	if err := n.storeError(); err != nil {
		return objects.Listing{}, err
	}
	n.seenEra = n.sim.store.version.Era()
	return n.sim.store.listing(), nil
}

// ListStale implements Store. All responses name the present era, also one that shows a state from before it.
func (n *simNode) ListStale(context.Context, string) (objects.Listing, error) {
	if err := n.storeError(); err != nil {
		return objects.Listing{}, err
	}
	store := &n.sim.store
	n.seenEra = store.version.Era()
	if len(store.copies) == 0 || n.sim.chance(0.5) {
		return store.listing(), nil
	}
	return inEra(store.copies[n.sim.random.IntN(len(store.copies))].listing, n.seenEra), nil
}

// inEra returns a listing with its revisions as versions of an era.
func inEra(l objects.Listing, era int64) objects.Listing {
	l.Version = objects.NewVersion(era, l.Version.Revision())
	l.Objects = slices.Clone(l.Objects)
	for i := range l.Objects {
		l.Objects[i].Version = objects.NewVersion(era, l.Objects[i].Version.Revision())
	}
	return l
}

// Delete implements Store.
func (n *simNode) Delete(_ context.Context, key string, expected objects.Version) error {
	n.sim.passTime()
	if err := n.storeError(); err != nil {
		return err
	}
	s := &n.sim.store
	if expected.Era() < n.seenEra || s.objects[key].Version.Revision() != expected.Revision() {
		return errors.WithStack(objects.ErrConflict)
	}
	s.version++
	delete(s.objects, key)
	return nil
}

// Poll implements Store.
func (n *simNode) Poll(context.Context, string, objects.Version) (objects.Batch, error) {
	return objects.Batch{}, objects.ErrUnavailable
}
