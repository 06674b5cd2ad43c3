// Package evacuation watches the operator's evacuations of failure domains in the store, through the feed.
//
// Locks: Watcher.mu is a leaf lock; nothing else is called while it is held.
package evacuation

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	evacuations "github.com/auburnrelay/auburnrelay/core/evacuation"
	"github.com/auburnrelay/auburnrelay/node/feed"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

// Prefix and the name of a failure domain form the key of an evacuation's entry in the store.
const Prefix = objectstore.EvacuationsKind + "/"

const (
	// checkInterval is the interval at which the watcher records that its state is confirmed. It is a few times shorter
	// than the time between two confirmations.
	checkInterval = 100 * time.Millisecond
	// unknownAfter is how long after its entry was read a failure domain without nodes is logged. A node that starts
	// reads the entries of the others within this time.
	unknownAfter = 5 * time.Second
)

// Feed is the part of the node's feed that the watcher uses.
type Feed interface {
	Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error
	State(prefix string) (feed.State, bool)
}

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	Feed Feed
	// Own is the node's failure domain.
	Own string
	// InForceAfter is the time after the store's acknowledgement within which an evacuation must be in force.
	InForceAfter time.Duration
	// Clock is the feed's clock.
	Clock func() time.Duration
	// OwnEnded is called when an evacuation of the node's own failure domain has ended, before Changed. What was known
	// of the local target before, for example that it is warm, may no longer be true.
	OwnEnded func()
	// Changed is called after each change of the evacuated domains.
	Changed func()
	// HasNodes reports whether any node in the failure domain is known.
	HasNodes func(domain string) bool
	Log      *slog.Logger
}

// Watcher knows which failure domains are evacuated. It is safe for concurrent use.
type Watcher struct {
	cfg Config

	mu  sync.Mutex
	set *evacuations.Set
	// read is the version of the store up to which the entries have been recorded.
	read objects.Version
	// known is set once the entries have been read. They were last known to be those of the store at confirmedAt.
	known       bool
	confirmedAt time.Duration
	// unchecked holds the domains that are evacuated and not yet known to have nodes, with the time at which their
	// entries were read.
	unchecked map[string]time.Duration
}

// New returns a watcher that knows of no evacuation until Run is called.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, set: evacuations.New(cfg.InForceAfter), unchecked: make(map[string]time.Duration)}
}

// Run watches the evacuations until the context ends, and returns the context's error.
func (w *Watcher) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { w.checkLoop(ctx) })
	err := w.cfg.Feed.Watch(ctx, Prefix, w.apply)
	group.Wait()
	return err
}

// IsKnown reports whether the evacuations have been read once. A node that does not know them may not choose targets.
func (w *Watcher) IsKnown() bool {
	w.mu.Lock()
	known := w.known
	w.mu.Unlock()
	return known || w.confirm()
}

// Refuses reports whether requests may not be sent now to targets in the failure domain. Requests for keys may still be
// sent for a time after an evacuation began.
func (w *Watcher) Refuses(domain string, keyed bool) bool {
	now := w.cfg.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Refuses(now, domain, keyed)
}

// Count returns the number of evacuated failure domains.
func (w *Watcher) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.set.Domains())
}

// apply records the changes of a batch, each by itself: the entries need not come in one batch.
func (w *Watcher) apply(b objects.Batch) {
	now := w.cfg.Clock()
	changed := false
	for _, e := range b.Events {
		domain, ok := strings.CutPrefix(e.Object.Key, Prefix)
		if !ok || domain == "" {
			continue
		}
		began, ended, ownEnded := w.record(domain, e, now)
		if ownEnded {
			w.cfg.OwnEnded()
		}
		changed = changed || began || ended
		switch {
		case began:
			w.cfg.Log.Info("evacuation began", "domain", domain, "version", e.Object.Version)
		case ended:
			w.cfg.Log.Info("evacuation ended", "domain", domain, "version", e.Object.Version)
		}
	}
	w.mu.Lock()
	w.read = max(w.read, b.Next)
	w.mu.Unlock()
	if changed {
		w.cfg.Changed()
	}
}

// record records one change and reports whether it began or ended an evacuation, and whether the node's own failure
// domain is no longer evacuated after it.
func (w *Watcher) record(domain string, e objects.Event, now time.Duration) (began, ended, ownEnded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := int64(e.Object.Version)
	if e.Deleted {
		ended = w.set.End(domain, version)
		delete(w.unchecked, domain)
		// An evacuation that this node has not heard of may have begun and ended at once.
		return false, ended, domain == w.cfg.Own && !w.set.Refuses(now, domain, false)
	}
	began = w.set.Begin(evacuations.Notice{Domain: domain, Version: version, At: now, AbsentAt: w.confirmedAt, WasAbsent: w.known})
	if began {
		w.unchecked[domain] = now
	}
	return began, false, false
}

// checkLoop records the confirmations of the state and logs evacuations of unknown failure domains.
func (w *Watcher) checkLoop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.confirm()
		w.logUnknown()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// confirm records until when the recorded entries are known to have been those of the store, and reports whether they
// are known at all.
func (w *Watcher) confirm() bool {
	state, known := w.cfg.Feed.State(Prefix)
	w.mu.Lock()
	defer w.mu.Unlock()
	if known && state.Version <= w.read {
		w.known, w.confirmedAt = true, max(w.confirmedAt, state.CurrentAt)
	}
	return w.known
}

// logUnknown logs, once for each entry, the evacuated failure domains in which there is no node. They are kept all the
// same: a node may start there.
func (w *Watcher) logUnknown() {
	now := w.cfg.Clock()
	w.mu.Lock()
	var due []string
	for domain, since := range w.unchecked {
		if now-since >= unknownAfter {
			due = append(due, domain)
			delete(w.unchecked, domain)
		}
	}
	w.mu.Unlock()
	slices.Sort(due)
	for _, domain := range due {
		if !w.cfg.HasNodes(domain) {
			w.cfg.Log.Warn("evacuation of a failure domain without nodes", "domain", domain)
		}
	}
}
