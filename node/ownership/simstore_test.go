package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// simStore is the simulated store that all nodes share.
type simStore struct {
	objects map[string]objects.Object
	version objects.Version
	// downUntil is the time until which the store is unavailable.
	downUntil time.Duration
	// delayed holds the writes that take effect later if their condition still holds.
	delayed []delayedWrite
	// lostResponses is the fraction of writes whose response is lost, and delayedWrites the fraction
	// of writes that are applied later.
	lostResponses, delayedWrites float64
	// copies are former states, for stale listings.
	copies []storeCopy
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
	write := delayedWrite{object: objects.Object{Key: key, Value: value, WriteID: id}, expected: expected}
	if sim.chance(sim.store.delayedWrites) {
		write.at = sim.now + sim.randomUpTo(6*second)
		sim.store.delayed = append(sim.store.delayed, write)
		return 0, errors.WithStack(objects.ErrUnknownOutcome)
	}
	version, ok := sim.store.apply(write)
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

// apply carries out a write if its condition holds, and reports whether it did.
func (s *simStore) apply(write delayedWrite) (objects.Version, bool) {
	if s.objects[write.object.Key].Version != write.expected {
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
	return n.sim.store.listing(), nil
}

// ListStale implements Store.
func (n *simNode) ListStale(context.Context, string) (objects.Listing, error) {
	if err := n.storeError(); err != nil {
		return objects.Listing{}, err
	}
	copies := n.sim.store.copies
	if len(copies) == 0 || n.sim.chance(0.5) {
		return n.sim.store.listing(), nil
	}
	return copies[n.sim.random.IntN(len(copies))].listing, nil
}

// Delete implements Store.
func (n *simNode) Delete(_ context.Context, key string, expected objects.Version) error {
	n.sim.passTime()
	if err := n.storeError(); err != nil {
		return err
	}
	s := &n.sim.store
	if s.objects[key].Version != expected {
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
