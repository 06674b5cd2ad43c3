package bans

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/memstore"
)

const poison quarantine.Fingerprint = 66

// peer is one node of the cell: its tracker and its sharer.
type peer struct {
	sharer *Sharer

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

func newPeer(t *testing.T, store platform.Store) *peer {
	p := &peer{tracker: quarantine.New(quarantine.DefaultPolicy())}
	p.sharer = New(Config{
		Cell: "alfold", Store: store, Policy: quarantine.DefaultPolicy(), Pause: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = p.sharer.Run(ctx, p.merge) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return p
}

func (p *peer) merge(entries []quarantine.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Merge(entries)
}

// crash runs the poisonous request into a crash of the peer's target.
func (p *peer) crash() {
	p.mu.Lock()
	p.tracker.Begin(poison)
	changes := p.tracker.Crash(time.Now())
	p.tracker.Finish(time.Now(), poison, false, false)
	p.mu.Unlock()
	p.sharer.Share(changes)
}

func (p *peer) verdict() quarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, _ := p.tracker.Check(time.Now(), poison)
	return verdict
}

func reach(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func (p *peer) pendingLen() int {
	p.sharer.mu.Lock()
	defer p.sharer.mu.Unlock()
	return len(p.sharer.pending)
}

// TestTwoNodesShareABan lets two nodes see one crash each, while the store fails in one of several
// ways. Together that is a ban, which a third node learns when it asks.
func TestTwoNodesShareABan(t *testing.T) {
	faults := map[string]struct{ during, after memstore.Faults }{
		"none":            {},
		"one answer lost": {during: memstore.Faults{LoseNext: 1}},
		"down for a time": {during: memstore.Faults{Down: true}, after: memstore.Faults{}},
		"slow":            {during: memstore.Faults{Delay: 20 * time.Millisecond}},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			store := memstore.New(memstore.Options{})
			a, b, c := newPeer(t, store), newPeer(t, store), newPeer(t, store)
			store.SetFaults(f.during)
			a.crash()
			if f.during.Down {
				time.Sleep(10 * time.Millisecond)
				store.SetFaults(f.after)
			}
			reach(t, "first crash shared", func() bool { return a.pendingLen() == 0 })
			if got := a.verdict(); got != quarantine.Suspect {
				t.Errorf("verdict %d after one crash, want a suspicion", got)
			}
			b.crash()
			reach(t, "ban on the second node", func() bool { return b.verdict() == quarantine.Banned })
			c.sharer.Refresh()
			reach(t, "ban on the third node", func() bool { return c.verdict() == quarantine.Banned })
		})
	}
}

// TestRacingCrashesAddUp lets many nodes crash at the same time: no change is lost.
func TestRacingCrashesAddUp(t *testing.T) {
	store := memstore.New(memstore.Options{})
	const nodes = 8
	peers := make([]*peer, nodes)
	for i := range peers {
		peers[i] = newPeer(t, store)
	}
	for _, p := range peers {
		p.crash()
	}
	for _, p := range peers {
		reach(t, "crash shared", func() bool { return p.pendingLen() == 0 })
	}
	_, entries, err := peers[0].sharer.read(context.Background())
	if err != nil || len(entries) != 1 || entries[0].Crashes != nodes {
		t.Errorf("entries %+v, %v; want one with %d crashes", entries, err, nodes)
	}
}

func TestMalformedObjectIsReplaced(t *testing.T) {
	store := memstore.New(memstore.Options{})
	if _, err := store.Put(context.Background(), keyPrefix+"alfold", []byte("{"), 0, "w"); err != nil {
		t.Fatal(err)
	}
	p := newPeer(t, store)
	p.crash()
	reach(t, "crash shared", func() bool { return p.pendingLen() == 0 })
}

func TestPendingIsBounded(t *testing.T) {
	s := New(Config{})
	s.Share(make([]quarantine.Change, 3*maxPending))
	if len(s.pending) != maxPending {
		t.Errorf("%d pending changes", len(s.pending))
	}
}
