package client_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	timeout             = 100 * time.Millisecond
	ampleCallsPerSecond = 10_000
)

// hookedStore is a store that runs afterWrite once, after the next write.
type hookedStore struct {
	*memstore.Store
	afterWrite func()
}

func (h *hookedStore) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	version, err := h.Store.Put(ctx, key, value, expected, writeID)
	h.runHook()
	return version, err
}

func (h *hookedStore) Delete(ctx context.Context, key string, expected objects.Version) error {
	err := h.Store.Delete(ctx, key, expected)
	h.runHook()
	return err
}

func (h *hookedStore) runHook() {
	if hook := h.afterWrite; hook != nil {
		h.afterWrite = nil
		hook()
	}
}

// write writes the object "a".
func write(t *testing.T, s objects.Store, value string, expected objects.Version) objects.Version {
	t.Helper()
	version, err := s.Put(context.Background(), "a", []byte(value), expected, value)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestLostAnswers loses the response of a write to the object "a". In some cases another event
// follows before the object is read back.
func TestLostAnswers(t *testing.T) {
	lost := memstore.Faults{LoseNextResponses: 1}
	rows := []struct {
		name string
		// interfere runs after the write has taken effect, at version 2.
		interfere func(t *testing.T, s *memstore.Store)
		remove    bool
		want      []error
		unwanted  []error
	}{
		{name: "write"},
		{name: "delete", remove: true},
		{
			name:      "another writer follows",
			interfere: func(t *testing.T, s *memstore.Store) { write(t, s, "other", 2) },
			want:      []error{objects.ErrUnknownOutcome, client.ErrSuperseded},
			unwanted:  []error{objects.ErrConflict, objects.ErrUnavailable},
		},
		{
			name:      "another writer deletes it",
			interfere: func(_ *testing.T, s *memstore.Store) { _ = s.Delete(context.Background(), "a", 2) },
			want:      []error{objects.ErrUnknownOutcome, client.ErrSuperseded},
			unwanted:  []error{objects.ErrConflict, objects.ErrUnavailable},
		},
		{
			name:      "the store goes down",
			interfere: func(_ *testing.T, s *memstore.Store) { s.SetFaults(memstore.Faults{Down: true}) },
			want:      []error{objects.ErrUnknownOutcome},
			unwanted:  []error{client.ErrSuperseded, objects.ErrUnavailable},
		},
		{
			name:      "another writer recreates the deleted object",
			interfere: func(t *testing.T, s *memstore.Store) { write(t, s, "other", 0) },
			remove:    true,
			want:      []error{objects.ErrUnknownOutcome, client.ErrSuperseded},
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			memory := memstore.New(memstore.Options{})
			store := &hookedStore{Store: memory}
			// The backoff is longer than the timeout, so the deadline passes during a pause.
			c := newClient(store, client.Options{Timeout: timeout, FirstBackoff: 5 * timeout, MaxBackoff: 5 * timeout})
			version := write(t, memory, "before", 0)
			memory.SetFaults(lost)
			if row.interfere != nil {
				store.afterWrite = func() { row.interfere(t, memory) }
			}
			var err error
			if row.remove {
				err = c.Delete(context.Background(), "a", version)
			} else {
				_, err = c.Put(context.Background(), "a", []byte("own"), version, "own")
			}
			if row.want == nil && err != nil {
				t.Errorf("got error %v", err)
			}
			for _, want := range row.want {
				if !errors.Is(err, want) {
					t.Errorf("got error %v, want %v", err, want)
				}
			}
			if err != nil && errors.IsAny(err, row.unwanted...) {
				t.Errorf("got error %v, want none of %v", err, row.unwanted)
			}
		})
	}
}

func newClient(store objects.Store, o client.Options) *client.Client {
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = ampleCallsPerSecond
	}
	return client.New(store, o)
}

func TestConflictIsNotRetried(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	write(t, memory, "other", 0)
	registry := prometheus.NewRegistry()
	c := newClient(memory, client.Options{Registerer: registry})
	if _, err := c.Put(context.Background(), "a", nil, 0, "own"); !errors.Is(err, objects.ErrConflict) {
		t.Errorf("got error %v", err)
	}
	wantCalls(t, registry, `auburnrelay_store_calls_total{call="put",outcome="conflict"} 1`)
}

func wantCalls(t *testing.T, registry *prometheus.Registry, lines ...string) {
	t.Helper()
	want := "# HELP auburnrelay_store_calls_total Calls of the object store by kind and outcome, each attempt counted.\n" +
		"# TYPE auburnrelay_store_calls_total counter\n" + strings.Join(lines, "\n") + "\n"
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "auburnrelay_store_calls_total"); err != nil {
		t.Error(err)
	}
}

func TestBudget(t *testing.T) {
	memory := memstore.New(memstore.Options{PollWait: time.Millisecond})
	registry := prometheus.NewRegistry()
	c := newClient(memory, client.Options{CallsPerSecond: 1, Burst: 3, Timeout: timeout, Registerer: registry})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	write(t, c, "1", 0)
	if _, err := c.Get(ctx, "a"); err != nil {
		t.Errorf("read: %v", err)
	}
	if _, err := c.Poll(ctx, "x", 1); err != nil {
		t.Errorf("poll: %v", err)
	}
	if _, err := c.Put(ctx, "c", nil, 0, "w"); !errors.Is(err, objects.ErrBudgetExhausted) {
		t.Errorf("write above the budget: got error %v", err)
	}
	wantCalls(t, registry,
		`auburnrelay_store_calls_total{call="get",outcome="ok"} 1`,
		`auburnrelay_store_calls_total{call="poll",outcome="ok"} 1`,
		`auburnrelay_store_calls_total{call="put",outcome="budget"} 1`,
		`auburnrelay_store_calls_total{call="put",outcome="ok"} 1`)
}

// TestLowPriorityLeavesAReserve exhausts the share of the burst that low-priority calls may use and
// checks that half of the burst is left to the client itself.
func TestLowPriorityLeavesAReserve(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	write(t, memory, "1", 0)
	c := newClient(memory, client.Options{CallsPerSecond: 0.1, Burst: 6, Timeout: timeout})
	lowPriority := c.LowPriority()
	calls := func(c *client.Client) int {
		for n := 0; ; n++ {
			if _, err := c.Get(context.Background(), "a"); errors.Is(err, objects.ErrBudgetExhausted) {
				return n
			} else if err != nil {
				t.Fatal(err)
			}
		}
	}
	if first, rest := calls(lowPriority), calls(c); first != 3 || rest != 3 {
		t.Errorf("%d low-priority calls, then %d of the client itself", first, rest)
	}
}

// TestWatchDoesNotSpin checks that a watch waits for the backoff between failing polls.
func TestWatchDoesNotSpin(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	registry := prometheus.NewRegistry()
	c := client.New(memory, client.Options{
		CallsPerSecond: ampleCallsPerSecond, FirstBackoff: timeout / 4, MaxBackoff: timeout / 4, Registerer: registry,
	})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	memory.SetFaults(memstore.Faults{WatchBroken: true})
	if err := c.Watch(ctx, "a", func(objects.Batch) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("watch ended with %v", err)
	}
	// A randomized pause is at least half of its mean, which is a quarter of the timeout.
	count, err := testutil.GatherAndCount(registry, "auburnrelay_store_calls_total")
	if err != nil || count == 0 {
		t.Fatalf("%d counters, %v", count, err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "auburnrelay_store_calls_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if calls := metric.GetCounter().GetValue(); calls > 9 {
				t.Errorf("%v: %v calls", metric.GetLabel(), calls)
			}
		}
	}
}
