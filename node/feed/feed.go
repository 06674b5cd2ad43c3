// Package feed passes the changes of objects in the store on to all nodes of a region. One node of the
// region reads them from the store; the others follow it along a tree (package core/fanout). So a
// change crosses the link to the store about once for each region, rather than once for each node.
//
// Each node knows at which time its state was last confirmed to be current. A follower whose state is
// not confirmed in time leaves its source; with no source left it reads the store itself. A lost,
// stopped or cut-off node therefore delays the others only briefly.
//
// A feed keeps the latest state of each object. Of a deleted object it keeps a tombstone with the version of the
// batch that showed the deletion. A node that has listed the objects lacks the tombstones from before; its
// followers that knew an earlier state get the names of the present objects as well. Tombstones are kept for the
// life of the process: the keys below the prefixes name services and failure domains, of which there are few.
//
// Lock order: Feed.mu is a leaf lock; no call is made and nothing is compressed while it is held.
package feed

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Store is the part of the store that a feed reads.
type Store interface {
	List(ctx context.Context, prefix string) (objects.Listing, error)
	Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error)
}

// Config holds the settings and dependencies of a Feed.
type Config struct {
	// Self is the node's name.
	Self string
	// Prefixes are the prefixes of the keys that the feed passes on.
	Prefixes []string
	Store    Store
	Pool     *h1.Pool
	// Members returns the addresses of the region's live nodes by name; empty while none is known.
	Members func() map[string]string
	// IsFindingMembers reports whether the node is still trying to learn of the members; nil if it never is.
	IsFindingMembers func() bool
	// Clock returns the time of a clock that goes on while the machine sleeps.
	Clock func() time.Duration
	Log   *slog.Logger
}

// Feed holds a copy of the objects below some prefixes and keeps it current. It is safe for
// concurrent use.
type Feed struct {
	cfg     Config
	started time.Duration

	mu       sync.Mutex
	replicas map[string]*replica
	// changed is closed and replaced after each change of the state below.
	changed chan struct{}
	// readsStore is set while the node reads the store itself.
	readsStore bool
	// avoided holds, by name, until when a source is not followed.
	avoided map[string]time.Duration
	// receiving is the number of responses that the node is receiving, and sourceReceives is set if
	// its source said that it was receiving one.
	receiving      int
	sourceReceives bool
}

// replica is the state of the objects below one prefix.
type replica struct {
	objects map[string]packedObject
	// known is set once the state has been received. It was complete up to the version next, and
	// was confirmed to be current at confirmedAt.
	known bool
	next  objects.Version
	// deletionsSince is the version since which each deletion has left a tombstone.
	deletionsSince objects.Version
	confirmedAt    time.Duration
	// currentAt is the latest time at which the state is known to have been that of the store: when the response
	// that confirmed it began. It is before confirmedAt by the time that the responses took to arrive.
	currentAt time.Duration
	// changedAt is when the latest change was received.
	changedAt time.Duration
}

// New returns a Feed that knows nothing until Run is called.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, started: cfg.Clock(), replicas: make(map[string]*replica), changed: make(chan struct{}), avoided: make(map[string]time.Duration)}
	for _, prefix := range cfg.Prefixes {
		f.replicas[prefix] = &replica{objects: make(map[string]packedObject)}
	}
	return f
}

// Run keeps the state current until the context ends, and returns the context's error.
func (f *Feed) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, prefix := range f.cfg.Prefixes {
		group.Go(func() { f.readLoop(ctx, prefix) })
	}
	group.Go(func() { f.placeLoop(ctx) })
	group.Wait()
	return ctx.Err()
}

// Watch delivers the objects below one of the feed's prefixes and then their changes, in the order of
// their versions, until the context ends. It returns the context's error. Several changes of an
// object may be delivered as one.
func (f *Feed) Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error {
	var after objects.Version
	for ctx.Err() == nil {
		packed, changed := f.objectsAfter(prefix, after)
		if len(packed) > 0 {
			after = packed[len(packed)-1].Version
			deliver(f.unpack(packed, after))
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// objectsAfter returns the objects with a later version, sorted by version, and a channel that is
// closed at the next change.
func (f *Feed) objectsAfter(prefix string, after objects.Version) ([]packedObject, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[prefix].objectsAfter(after), f.changed
}

// objectsAfter is Feed.objectsAfter for one replica. The caller holds the lock.
func (r *replica) objectsAfter(after objects.Version) []packedObject {
	var found []packedObject
	for _, o := range r.objects {
		if o.Version > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b packedObject) int { return cmp.Compare(a.Version, b.Version) })
	return found
}

func (f *Feed) unpack(packed []packedObject, next objects.Version) objects.Batch {
	batch := objects.Batch{Next: next}
	for _, p := range packed {
		if p.Deleted {
			batch.Events = append(batch.Events, objects.Event{Object: objects.Object{Key: p.Key, Version: p.Version}, Deleted: true})
			continue
		}
		object, err := p.unpack()
		if err != nil {
			f.cfg.Log.Error("malformed object ignored", "key", p.Key, "version", p.Version, "cause", err.Error())
			continue
		}
		batch.Events = append(batch.Events, objects.Event{Object: object})
	}
	return batch
}

// update is a state received from the store or another node.
type update struct {
	objects []packedObject
	// present holds the keys of all objects at the version next; nil if it is not known. Other objects are deleted.
	present     map[string]bool
	next        objects.Version
	confirmedAt time.Duration
	currentAt   time.Duration
}

// apply records an update and wakes those that wait for a change.
func (f *Feed) apply(prefix string, u update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[prefix]
	if !r.known {
		r.deletionsSince = u.next
	}
	u.objects = append(u.objects, r.missingIn(u)...)
	if len(u.objects) > 0 {
		r.changedAt = f.cfg.Clock()
	}
	for _, o := range u.objects {
		if o.Version > r.objects[o.Key].Version {
			r.objects[o.Key] = o
		}
		r.next = max(r.next, o.Version)
	}
	r.known, r.next, r.confirmedAt = true, max(r.next, u.next), max(r.confirmedAt, u.confirmedAt)
	r.currentAt = max(r.currentAt, u.currentAt)
	f.wake()
}

// missingIn returns tombstones for the objects that an update with a complete state does not have. The caller
// holds the lock.
func (r *replica) missingIn(u update) []packedObject {
	if u.present == nil {
		return nil
	}
	var missing []packedObject
	for key, o := range r.objects {
		if !o.Deleted && !u.present[key] && o.Version <= u.next {
			missing = append(missing, packedObject{Key: key, Version: u.next, Deleted: true})
		}
	}
	return missing
}

// presentKeys returns the keys of the objects that are not deleted. The caller holds the lock.
func (r *replica) presentKeys() []string {
	keys := make([]string, 0, len(r.objects))
	for key, o := range r.objects {
		if !o.Deleted {
			keys = append(keys, key)
		}
	}
	return keys
}

// wake wakes those that wait for a change. The caller holds the lock.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Age returns how long ago the state was last confirmed to be current, and false before it is known.
func (f *Feed) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

// age is Age for a caller that holds the lock.
func (f *Feed) age() (time.Duration, bool) {
	now := f.cfg.Clock()
	oldest, known := time.Duration(0), true
	for _, r := range f.replicas {
		oldest = max(oldest, now-r.confirmedAt)
		known = known && r.known
	}
	return oldest, known
}

// State tells how current the objects below a prefix are.
type State struct {
	// Version is the latest version of the objects; zero if there is none.
	Version objects.Version
	// CurrentAt is the latest time at which they are known to have been those of the store, and ChangedAt when the
	// last change was received, both on the feed's clock.
	CurrentAt, ChangedAt time.Duration
}

// State returns the state of the objects below one of the feed's prefixes; false before it is known.
func (f *Feed) State(prefix string) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[prefix]
	s := State{CurrentAt: r.currentAt, ChangedAt: r.changedAt}
	for _, o := range r.objects {
		s.Version = max(s.Version, o.Version)
	}
	return s, r.known
}

// ReadsStore reports whether the node reads the store itself.
func (f *Feed) ReadsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsStore
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
