package quarantinesync

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// crashFingerprint is the fingerprint of a request that crashes targets.
const crashFingerprint = quarantine.Fingerprint(7)

// fakeTracker is a node's tracker. As a Publisher it stands for the connection to that node.
type fakeTracker struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
}

func (f *fakeTracker) MergeQuarantine(entries []quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Merge(entries)
}

func (f *fakeTracker) Quarantine() []quarantine.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Entries(time.Now())
}

func (f *fakeTracker) verdict() quarantine.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict, _ := f.tracker.Check(time.Now(), crashFingerprint)
	return verdict
}

// Publish implements Publisher: it merges the entries that another node sends.
func (f *fakeTracker) Publish(_ context.Context, entries []quarantine.Entry) {
	f.MergeQuarantine(entries)
}

func newTracker() *fakeTracker {
	return &fakeTracker{tracker: quarantine.New(quarantine.DefaultPolicy())}
}

// lossyStore applies the next writes, as many as lose says, but loses their responses.
type lossyStore struct {
	objects.Store
	lose int
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	version, err := l.Store.Put(ctx, key, value, expected, id)
	if l.lose > 0 {
		l.lose--
		return 0, objects.ErrUnknownOutcome
	}
	return version, err
}

// TestCrashesAreCountedAcrossTheCell has the same request crash a target at each of two nodes. The
// second crash must ban the request at both nodes and at one that starts later. A write whose response
// is lost must not count a crash twice.
func TestCrashesAreCountedAcrossTheCell(t *testing.T) {
	store := &lossyStore{Store: memstore.New(memstore.Options{}), lose: 1}
	first, second, late := newTracker(), newTracker(), newTracker()
	start := func(tracker, peer *fakeTracker) *Distributor {
		s := New(Config{Cell: "alfold", Policy: quarantine.DefaultPolicy(), Log: slog.New(slog.DiscardHandler)}, store)
		s.Attach(tracker, peer)
		go func() { _ = s.Run(t.Context()) }()
		return s
	}
	a, b := start(first, second), start(second, first)
	a.Publish([]quarantine.Change{{Fingerprint: crashFingerprint, Kind: quarantine.Crashed, At: time.Now()}})
	waitFor(t, func() bool { return second.verdict() == quarantine.Suspect })
	if got := first.verdict(); got != quarantine.Suspect {
		t.Fatalf("after one crash: %v", got)
	}
	b.Publish([]quarantine.Change{{Fingerprint: crashFingerprint, Kind: quarantine.Crashed, At: time.Now()}})
	waitFor(t, func() bool { return first.verdict() == quarantine.Banned })
	start(late, newTracker())
	waitFor(t, func() bool { return late.verdict() == quarantine.Banned })
}

// waitFor waits until the condition holds, for at most 5 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
	}
}
