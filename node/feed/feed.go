// Package feed passes the changes of objects in the store on to all nodes of a region. One node of the
// region reads them from the store; the others follow it along a tree (package core/fanout). So a
// change crosses the link to the store about once for each region, rather than once for each node.
//
// Each node knows at which time its state was last confirmed to be current. A follower whose state is
// not confirmed in time leaves its source; with no source left it reads the store itself. A lost,
// stopped or cut-off node therefore delays the others only briefly.
//
// A feed keeps the latest state of each object. It does not pass deletions on.
//
// Lock order: Feed.mu is a leaf lock; no call is made and nothing is compressed while it is held.
package feed

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fanout"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/transfer"
)

const (
	// readTimeout bounds one read of the store until its response begins.
	readTimeout = 1100 * time.Millisecond
	// firstRetryPause and maxRetryPause bound the pause after a failed read of the store. The first is
	// short, since the store may drop polls while it answers other calls.
	firstRetryPause = 40 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
	// avoidTime is how long a source that failed is not followed again.
	avoidTime = 3 * time.Second
	// placeInterval is the interval at which a node that reads the store looks for a source.
	placeInterval = 200 * time.Millisecond
	// receivePatience is added to a node's patience while its source receives a response: the node
	// would have to receive the same.
	receivePatience = time.Second
	// memberWait is how long a starting node waits to learn of the other nodes before it reads the
	// store itself.
	memberWait = 300 * time.Millisecond
)

// errBehind reports a response of the store that is older than the known state.
var errBehind = errors.New("response of the store is older than the known state")

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
	// Clock returns the time of a clock that goes on while the machine sleeps.
	Clock func() time.Duration
	Log   *slog.Logger
}

// Feed holds a copy of the objects below some prefixes and keeps it current. It is safe for
// concurrent use.
type Feed struct {
	cfg Config

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
	known       bool
	next        objects.Version
	confirmedAt time.Duration
}

// New returns a Feed that knows nothing until Run is called.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, replicas: make(map[string]*replica), changed: make(chan struct{}), avoided: make(map[string]time.Duration)}
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

func (r *replica) objectsAfter(after objects.Version) []packedObject {
	var found []packedObject
	for _, o := range r.objects {
		if o.Version > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b packedObject) int { return int(a.Version - b.Version) })
	return found
}

func (f *Feed) unpack(packed []packedObject, next objects.Version) objects.Batch {
	batch := objects.Batch{Next: next}
	for _, p := range packed {
		object, err := p.unpack()
		if err != nil {
			f.cfg.Log.Error("malformed object ignored", "key", p.Key, "version", int64(p.Version), "cause", err.Error())
			continue
		}
		batch.Events = append(batch.Events, objects.Event{Object: object})
	}
	return batch
}

// update is a state received from the store or another node.
type update struct {
	objects     []packedObject
	next        objects.Version
	confirmedAt time.Duration
}

// apply records an update and wakes those that wait for a change.
func (f *Feed) apply(prefix string, u update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[prefix]
	for _, o := range u.objects {
		if o.Version > r.objects[o.Key].Version {
			r.objects[o.Key] = o
		}
		r.next = max(r.next, o.Version)
	}
	r.known, r.next, r.confirmedAt = true, max(r.next, u.next), max(r.confirmedAt, u.confirmedAt)
	f.wake()
}

// wake wakes those that wait for a change. The caller holds the lock.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// readLoop reads the objects below a prefix from the store while this node has no source.
func (f *Feed) readLoop(ctx context.Context, prefix string) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryPause, maxRetryPause
	for ctx.Err() == nil {
		f.mu.Lock()
		reads, changed := f.readsStore, f.changed
		f.mu.Unlock()
		if !reads {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if f.read(ctx, prefix) == nil {
			pause.Reset()
		} else {
			sleep(ctx, pause.NextBackOff())
		}
	}
}

// read reads the state or the changes after it once.
func (f *Feed) read(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ctx, received := f.observeReceipt(ctx)
	defer received()
	f.mu.Lock()
	known, after := f.replicas[prefix].known, f.replicas[prefix].next
	f.mu.Unlock()
	var changed []objects.Object
	var next objects.Version
	if known {
		batch, err := f.cfg.Store.Poll(ctx, prefix, after)
		if err != nil {
			return err
		}
		changed, next = presentObjects(batch), batch.Next
	} else {
		listing, err := f.cfg.Store.List(ctx, prefix)
		if err != nil {
			return err
		}
		changed, next = listing.Objects, listing.Version
	}
	if next < after {
		return errors.Wrapf(errBehind, "version %d, known %d", next, after)
	}
	confirmedAt := f.cfg.Clock()
	f.apply(prefix, update{objects: packNewer(changed, after), next: next, confirmedAt: confirmedAt})
	return nil
}

// observeReceipt returns a context whose call counts as being received once its response begins to
// arrive. The function that it returns must be called after the call.
func (f *Feed) observeReceipt(ctx context.Context) (context.Context, func()) {
	began := 0
	add := func(n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.receiving += n
	}
	ctx = transfer.WithObserver(ctx, func() {
		began++
		add(1)
	})
	return ctx, func() { add(-began) }
}

func presentObjects(batch objects.Batch) []objects.Object {
	var present []objects.Object
	for _, e := range batch.Events {
		if !e.Deleted {
			present = append(present, e.Object)
		}
	}
	return present
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

// ReadsStore reports whether the node reads the store itself.
func (f *Feed) ReadsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsStore
}

// placeLoop finds the node's source again and again and follows it.
func (f *Feed) placeLoop(ctx context.Context) {
	f.awaitMembers(ctx)
	for ctx.Err() == nil {
		place, address := f.place()
		if place.Source == "" {
			sleep(ctx, placeInterval)
			continue
		}
		f.follow(ctx, place, address)
	}
}

func (f *Feed) awaitMembers(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < memberWait && len(f.cfg.Members()) == 0; waited += interval {
		sleep(ctx, interval)
	}
}

// place returns the node's place and the address of its source, and records whether the node reads
// the store.
func (f *Feed) place() (fanout.Place, string) {
	addresses := f.cfg.Members()
	names := slices.Sorted(maps.Keys(addresses))
	now := f.cfg.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fanout.Find(names, f.cfg.Self, func(name string) bool { return now < f.avoided[name] })
	if reads := place.Source == ""; reads != f.readsStore {
		f.readsStore, f.sourceReceives = reads, false
		f.wake()
		f.cfg.Log.Info("source of store changes", "source", place.Source, "level", place.Level)
	}
	return place, addresses[place.Source]
}

// avoid makes the node follow another source for avoidTime.
func (f *Feed) avoid(source, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	for name, until := range f.avoided {
		if until <= now {
			delete(f.avoided, name)
		}
	}
	f.avoided[source], f.sourceReceives = now+avoidTime, false
	f.cfg.Log.Info("source of store changes left", "source", source, "reason", reason)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
