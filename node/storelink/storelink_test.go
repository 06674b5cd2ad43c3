package storelink

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/contract"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// cuttableStore is a client of a shared store that gets no answers while cut is set.
type cuttableStore struct {
	*memstore.Store
	cut *bool
}

func (f cuttableStore) ListStale(ctx context.Context, prefix string) (objects.Listing, error) {
	if *f.cut {
		return objects.Listing{}, objects.ErrUnavailable
	}
	return f.List(ctx, prefix)
}

func (f cuttableStore) Get(ctx context.Context, key string) (objects.Object, error) {
	if *f.cut {
		return objects.Object{}, objects.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f cuttableStore) Put(ctx context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	if *f.cut {
		return 0, objects.ErrUnavailable
	}
	return f.Store.Put(ctx, key, value, expected, id)
}

func (f cuttableStore) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	if *f.cut {
		return objects.Batch{}, objects.ErrUnavailable
	}
	return f.Store.Poll(ctx, prefix, after)
}

// newTestStore returns a Store over direct with the addresses as its other nodes.
func newTestStore(direct Direct, peers ...string) *Store {
	pool := h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Second, UnackedTimeout: time.Second, MaxConns: 8})
	return New(direct, pool, func() []string { return peers }, slog.New(slog.DiscardHandler))
}

// newCutOffStore returns the Store of a node that cannot reach the store directly while cut is set,
// and that has one other node, which always can.
func newCutOffStore(t *testing.T, memory *memstore.Store, cut *bool) *Store {
	t.Helper()
	notCut := false
	peer := newTestStore(cuttableStore{memory, &notCut})
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	return newTestStore(cuttableStore{memory, cut}, strings.TrimPrefix(server.URL, "http://"))
}

// TestCutOffNodeReachesTheStore checks that calls go through another node while the store does not
// answer, and directly again once it does.
func TestCutOffNodeReachesTheStore(t *testing.T) {
	cut := true
	memory := memstore.New(memstore.Options{PollWait: contract.PollWait})
	s := newCutOffStore(t, memory, &cut)
	ctx := context.Background()
	version, err := s.Put(ctx, "a/1", []byte("x"), 0, "w1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a/1", []byte("y"), 0, "w2"); !errors.Is(err, objects.ErrConflict) {
		t.Errorf("second create of the object: %v, want a conflict", err)
	}
	object, err := s.Get(ctx, "a/1")
	if err != nil || string(object.Value) != "x" || object.Version != version || object.WriteID != "w1" {
		t.Errorf("got %+v, %v", object, err)
	}
	if _, err := s.Get(ctx, "b"); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("object that does not exist: %v, want not found", err)
	}
	listing, err := s.ListStale(ctx, "a/")
	if err != nil || len(listing.Objects) != 1 {
		t.Errorf("got %+v, %v", listing, err)
	}
	batch, err := s.Poll(ctx, "a/", 0)
	if err != nil || len(batch.Events) != 1 {
		t.Errorf("got %+v, %v", batch, err)
	}
	if s.IsDirect() {
		t.Error("the store counts as directly reachable")
	}
	cut = false
	time.Sleep(probeInterval + 50*time.Millisecond)
	if _, err := s.Get(ctx, "a/1"); err != nil || !s.IsDirect() {
		t.Errorf("direct call after the store answers again: %v", err)
	}
}

// TestCallsArePassedOnOnce checks that a node that cannot reach the store itself does not forward the
// calls of another node.
func TestCallsArePassedOnOnce(t *testing.T) {
	cut := true
	memory := memstore.New(memstore.Options{PollWait: contract.PollWait})
	cutOff := newCutOffStore(t, memory, &cut)
	if _, err := cutOff.Put(context.Background(), "a", nil, 0, "w"); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(cutOff)
	defer server.Close()
	remote := newTestStore(cuttableStore{memory, &cut}, strings.TrimPrefix(server.URL, "http://"))
	if _, err := remote.Get(context.Background(), "a"); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("got %v, want unavailable", err)
	}
}

// TestLostAnswerStaysUnknown checks that a forwarded write whose response from the store is lost has an
// unknown outcome.
func TestLostAnswerStaysUnknown(t *testing.T) {
	cut := true
	memory := memstore.New(memstore.Options{PollWait: contract.PollWait})
	s := newCutOffStore(t, memory, &cut)
	memory.SetFaults(memstore.Faults{LoseNextResponses: 1})
	if _, err := s.Put(context.Background(), "a", []byte("x"), 0, "w"); !errors.Is(err, objects.ErrUnknownOutcome) {
		t.Errorf("got %v", err)
	}
	if object, err := s.Get(context.Background(), "a"); err != nil || object.WriteID != "w" {
		t.Errorf("got %+v, %v", object, err)
	}
}

// TestPollLeavesALostPeer polls while the node that answered last no longer does: the poll must
// give up on that node in time and go through another one.
func TestPollLeavesALostPeer(t *testing.T) {
	cut, notCut := true, false
	memory := memstore.New(memstore.Options{PollWait: time.Minute})
	release := make(chan struct{})
	lost := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer lost.Close()
	defer close(release)
	good := httptest.NewServer(newTestStore(cuttableStore{memory, &notCut}))
	defer good.Close()
	s := newTestStore(cuttableStore{memory, &cut}, strings.TrimPrefix(lost.URL, "http://"), strings.TrimPrefix(good.URL, "http://"))
	if _, err := s.Get(context.Background(), "a"); !errors.Is(err, objects.ErrNotFound) || s.IsDirect() {
		t.Fatalf("got %v", err)
	}
	s.lastPeer = strings.TrimPrefix(lost.URL, "http://")
	version, err := memory.Put(context.Background(), "a/1", nil, 0, "w")
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	const limit = 2 * (forwardedPollWait + forwardTimeout)
	batch, err := s.Poll(context.Background(), "a/", version)
	if took := time.Since(began); took > limit {
		t.Errorf("the poll took %v", took)
	}
	if err != nil || len(batch.Events) != 0 || batch.Next != version {
		t.Errorf("got %+v, %v", batch, err)
	}
}

// delayedStore answers a listing after the delay, unless its call ends before.
type delayedStore struct {
	cuttableStore
	delay time.Duration
	calls *int
}

func (d delayedStore) List(ctx context.Context, prefix string) (objects.Listing, error) {
	*d.calls++
	select {
	case <-time.After(d.delay):
		return d.Store.List(ctx, prefix)
	case <-ctx.Done():
		return objects.Listing{}, errors.Mark(ctx.Err(), objects.ErrUnavailable)
	}
}

// TestStartingNodeIsNotCutOffByASlowListing guards against a node that has just started, and that makes no call for a
// second after one answer was slow: it knows no other node through which it could read the configuration meanwhile.
func TestStartingNodeIsNotCutOffByASlowListing(t *testing.T) {
	cut := false
	calls := 0
	memory := memstore.New(memstore.Options{PollWait: contract.PollWait})
	s := newTestStore(delayedStore{cuttableStore{memory, &cut}, 2 * directTimeout, &calls})
	if _, err := memory.Put(context.Background(), "a/1", []byte("x"), 0, "w"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*directTimeout)
	defer cancel()
	if listing, err := s.List(ctx, "a/"); err != nil || len(listing.Objects) != 1 || calls != 1 {
		t.Errorf("slow listing: %d objects after %d calls, %v", len(listing.Objects), calls, err)
	}
	// A call that fails does not stop the others either.
	cut = true
	if _, err := s.Get(ctx, "a/1"); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("store that does not answer: %v", err)
	}
	cut = false
	if batch, err := s.Poll(ctx, "a/", 0); err != nil || len(batch.Events) != 1 {
		t.Errorf("poll right after a failed call: %d changes, %v", len(batch.Events), err)
	}
}
