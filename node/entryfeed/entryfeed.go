// Package entryfeed passes the listing of the entries of all nodes on to the nodes of a region. One node of the region
// lists them from the store; the others follow it along a tree (package core/fanout) and receive only what has changed
// since the snapshot that they name (package core/roster).
//
// Each node knows a time at which its snapshot was surely current: a source names the age of its own, and the time of
// the way between two nodes counts as further age. A follower whose snapshot is not confirmed in time leaves its source.
// With no source left it has to list the entries itself, which its owner (package ownership) does and publishes here.
//
// Lock order: Feed.mu is held while the clock and the log are called; no network call is made and nothing is compressed.
package entryfeed

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fanout"
	"github.com/auburnrelay/auburnrelay/core/roster"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/transfer"
)

// Config holds the settings and dependencies of a Feed.
type Config struct {
	// Self is the node's name.
	Self string
	Pool *h1.Pool
	// Members returns the addresses of the region's live nodes by name; empty while none is known.
	Members func() map[string]string
	// Clock returns the time of a clock that goes on while the machine sleeps.
	Clock func() time.Duration
	Log   *slog.Logger
}

// State is a snapshot of the entries and how old it may be.
type State struct {
	// Snapshot is nil while nothing is known.
	Snapshot *roster.Snapshot
	// CurrentAt is a time at which the snapshot was that of the store, as far as the store's copies are current.
	CurrentAt time.Duration
	// FreshAt is a time after which the entries were read from the store itself, rather than from a copy that may be
	// stale; negative if that is not known.
	FreshAt time.Duration
}

// isFreshSince reports whether the store itself was read at or after a time.
func (s State) isFreshSince(t time.Duration) bool { return s.Snapshot != nil && s.FreshAt >= t }

// keptSnapshots is the number of snapshots from which differences are computed. A follower names the latest one, or
// one of some readings before if it was busy; each reading takes about 0.8 s.
const keptSnapshots = 8

// Feed keeps the latest snapshot of the entries. It is safe for concurrent use; Follow and Publish are called by one
// goroutine.
type Feed struct {
	cfg     Config
	started time.Duration

	mu sync.Mutex
	// state is the latest state, and kept the latest snapshots, the present one last.
	state State
	kept  []*roster.Snapshot
	// packed holds compressed differences to the latest snapshot by the snapshot from which they are.
	packed map[roster.ID][]byte
	// changed is closed and replaced after each change of the state.
	changed chan struct{}
	// source is the name of the node that is followed since sourceSince; empty if the node lists the entries itself.
	source      string
	sourceSince time.Duration
	// avoided holds, by name, until when a source is not followed.
	avoided map[string]time.Duration
	// receiving is the number of responses that the node is receiving, and sourceReceives is set if its source said
	// that it was receiving one.
	receiving      int
	sourceReceives bool
	// freshWantedAt is the latest time since which a follower wants the entries to be read from the store itself;
	// negative if none does.
	freshWantedAt time.Duration
	// interrupt ends the present call to the source, if that does not ask for a fresh reading; nil otherwise.
	interrupt context.CancelFunc
	// wanted wakes the reader of the store when a fresh reading is wanted.
	wanted chan struct{}
}

// never is before every time of the clock.
const never = time.Duration(-1)

// New returns a Feed that knows nothing.
func New(cfg Config) *Feed {
	return &Feed{
		cfg: cfg, started: cfg.Clock(), state: State{FreshAt: never}, packed: make(map[roster.ID][]byte),
		changed: make(chan struct{}), avoided: make(map[string]time.Duration), freshWantedAt: never, wanted: make(chan struct{}, 1),
	}
}

// Reading follows the receipt of the responses of one call. It is used by one goroutine.
type Reading struct {
	feed *Feed
	// began is when the call began, and firstAt when the first of its responses began to arrive.
	began, firstAt time.Duration
	responses      int
}

// BeginReading returns a context for a listing of the entries from the store. End must be called after the call.
func (f *Feed) BeginReading(ctx context.Context) (context.Context, *Reading) {
	r := &Reading{feed: f, began: f.cfg.Clock()}
	return transfer.WithObserver(ctx, r.observe), r
}

func (r *Reading) observe() {
	if r.responses == 0 {
		r.firstAt = r.feed.cfg.Clock()
	}
	r.responses++
	r.feed.addReceiving(1)
}

// End ends the reading.
func (r *Reading) End() { r.feed.addReceiving(-r.responses) }

func (f *Feed) addReceiving(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receiving += n
}

// Publish records a listing that this node has read from the store, and returns the state after it. isFresh is set if
// it was read from the store itself.
func (f *Feed) Publish(listing objects.Listing, prefix string, r *Reading, isFresh bool) State {
	items := make([]roster.Item, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		items = append(items, roster.NewItem(strings.TrimPrefix(o.Key, prefix), int64(o.Version), o.Value))
	}
	f.mu.Lock()
	known := f.state
	f.mu.Unlock()
	next, isLater := known.Snapshot.Merge(int64(listing.Version), items)
	if !isLater && objects.Version(next.ID().Version).Era() != listing.Version.Era() {
		return known
	}
	// A listing of an older copy confirms the later entries that are known as well as it would confirm its own.
	// Otherwise each reading of the store itself would leave the entries unconfirmed until the copies have caught up.
	s := State{Snapshot: next, CurrentAt: max(known.CurrentAt, r.began, r.firstAt), FreshAt: known.FreshAt}
	if isFresh {
		s.FreshAt = r.began
	}
	f.setState(s)
	return s
}

// setState replaces the state and wakes those that wait for a change.
func (f *Feed) setState(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Snapshot.ID() == s.Snapshot.ID() && f.state.Snapshot != nil {
		// The items of the known snapshot are kept, since others are compared with them.
		s.Snapshot = f.state.Snapshot
	} else {
		clear(f.packed)
		f.kept = append(f.kept, s.Snapshot)
		f.kept = f.kept[max(0, len(f.kept)-keptSnapshots):]
	}
	f.state = s
	close(f.changed)
	f.changed = make(chan struct{})
}

// Wanted returns a channel that receives when a fresh reading of the entries is wanted.
func (f *Feed) Wanted() <-chan struct{} { return f.wanted }

// IsFreshWanted reports whether a follower waits for the entries to be read from the store itself.
func (f *Feed) IsFreshWanted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshWantedAt > f.state.FreshAt
}

// wantFresh records that a follower wants the entries as read from the store itself since a time. The caller holds the
// lock.
func (f *Feed) wantFresh(since time.Duration) {
	if since <= f.state.FreshAt || since <= f.freshWantedAt {
		return
	}
	f.freshWantedAt = since
	if f.interrupt != nil {
		f.interrupt()
		f.interrupt = nil
	}
	select {
	case f.wanted <- struct{}{}:
	default:
	}
}

// ReadsStore reports whether the node has no source.
func (f *Feed) ReadsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source == ""
}

const (
	// avoidTime is how long a source that failed is not followed again.
	avoidTime = 3 * time.Second
	// readingPatience is added to the patience of fanout.Place: entries are read every 0.8 s, while the store confirms
	// the state of the feed, for which that is meant, every 0.4 s.
	readingPatience = 400 * time.Millisecond
	// sourceGrace is how long a new source may take to confirm its state: it may have to begin with reading the store,
	// which takes up to 0.25 s while the store is slow.
	sourceGrace = 400 * time.Millisecond
	// receivePatience is added while the source receives a response: this node would have to receive the same.
	receivePatience = time.Second
)

// place returns the node's place in the tree and the address of its source.
func (f *Feed) place() (fanout.Place, string) {
	addresses := f.cfg.Members()
	names := slices.Sorted(maps.Keys(addresses))
	now := f.cfg.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fanout.Find(names, f.cfg.Self, func(name string) bool { return now < f.avoided[name] })
	if place.Source != f.source {
		if place.Source == "" || f.source == "" {
			f.cfg.Log.Info("source of node entries", "source", place.Source, "level", place.Level)
		}
		f.source, f.sourceSince, f.sourceReceives = place.Source, now, false
	}
	return place, addresses[place.Source]
}

// avoid makes the node follow another source for avoidTime.
func (f *Feed) avoid(source, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	maps.DeleteFunc(f.avoided, func(_ string, until time.Duration) bool { return until <= now })
	f.avoided[source] = now + avoidTime
	f.cfg.Log.Info("source of node entries left", "source", source, "reason", reason)
}

// patienceEnd returns until when the node waits for its source to confirm the state.
func (f *Feed) patienceEnd(place fanout.Place) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	patience, grace := place.Patience()+readingPatience, sourceGrace
	if f.sourceReceives {
		patience, grace = patience+receivePatience, grace+receivePatience
	}
	if f.state.Snapshot == nil {
		return max(f.started+patience, f.sourceSince+grace)
	}
	return max(f.state.CurrentAt+patience, f.sourceSince+grace)
}
