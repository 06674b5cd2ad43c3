package ledger

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// fixture holds the ledgers of three nodes of one cell, with an in-memory store and a wall clock
// that a test can advance. It implements Directory.
type fixture struct {
	*testing.T
	store      *memstore.Store
	mu         sync.Mutex
	now        time.Time
	controller plane.Peer
	nodes      []*Ledger
	servers    []*grpc.Server
}

func (f *fixture) Controller() plane.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controller
}

// RecordedNodes returns no process: the collector learns of the nodes from their reports.
func (f *fixture) RecordedNodes() []cell.Node { return nil }

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fixture) advanceClock(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fixture) setController(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller = f.nodes[i].config.Self
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, store: memstore.New(memstore.Options{}), now: time.Date(2026, 11, 3, 6, 0, 0, 0, time.UTC)}
	for i, name := range []string{"vm-0", "vm-1", "vm-2"} {
		f.startNode(name, uint64(i+1))
	}
	f.setController(0)
	return f
}

func (f *fixture) startNode(name string, incarnation uint64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	pool := forward.NewPool(8)
	config := Config{
		Cluster: "test", Self: plane.Peer{Name: name, Incarnation: incarnation, Address: listener.Addr().String(), Cell: "alfold"},
		ReportInterval: 10 * time.Second, SegmentInterval: time.Minute, SilenceTimeout: 5 * time.Minute,
		Logger: slog.New(slog.DiscardHandler), Now: f.clock,
	}
	l := New(config, f.store, f, pool)
	server := grpc.NewServer()
	l.Register(server)
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() {
		server.Stop()
		pool.Close()
	})
	f.nodes = append(f.nodes, l)
	f.servers = append(f.servers, server)
}

// advanceAndRun advances the clock by d and lets the nodes with the given indexes collect, report
// and collect again.
func (f *fixture) advanceAndRun(d time.Duration, alive ...int) {
	f.advanceClock(d)
	for _, i := range alive {
		f.nodes[i].collect(f.Context())
	}
	for _, i := range alive {
		f.nodes[i].reportDue(f.Context())
	}
	for _, i := range alive {
		f.nodes[i].collect(f.Context())
	}
}

var booking = plane.Route{
	Range:        keyspace.Range{Service: "booking", Kind: keyspace.Keyed, To: "m", Slices: 8, Line: 2},
	Slice:        keyspace.SliceID{Range: 7},
	SheetVersion: 12,
}

func (f *fixture) audit() *account.Audit {
	f.Helper()
	a := account.NewAudit("alfold", "2026-11", nil)
	listing, err := f.store.List(f.Context(), account.MonthPrefix("alfold", "2026-11"))
	if err != nil {
		f.Fatal(err)
	}
	for i, object := range listing.Objects {
		a.Add(uint64(i+1), object.Value)
	}
	for _, fault := range a.Faults() {
		f.Errorf("%s", fault)
	}
	return a
}

func (f *fixture) bookedAnswers() int64 {
	var sum int64
	for _, row := range f.audit().Rows() {
		sum += row.Answered
	}
	return sum
}

// TestBookedOnceUnderFaults counts requests on every node during each fault. Once the fault is
// over, every request must be booked exactly once.
func TestBookedOnceUnderFaults(t *testing.T) {
	faults := map[string]struct {
		during     memstore.Faults
		controller int
	}{
		"none":                        {},
		"store down":                  {during: memstore.Faults{Down: true}},
		"answers lost":                {during: memstore.Faults{LoseResponseRate: 1}},
		"one answer lost":             {during: memstore.Faults{LoseNextResponses: 1}},
		"controller replaced":         {controller: 1},
		"replaced with store down":    {during: memstore.Faults{Down: true}, controller: 1},
		"replaced while answers lost": {during: memstore.Faults{LoseResponseRate: 1}, controller: 2},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.advanceAndRun(time.Second, 0, 1, 2)
			f.advanceAndRun(10*time.Second, 0, 1, 2)
			for step := range 30 {
				for _, node := range f.nodes {
					node.Count(booking, outcome.Answered)
				}
				switch step {
				case 8:
					f.store.SetFaults(fault.during)
				case 16:
					f.setController(fault.controller)
				case 22:
					f.store.SetFaults(memstore.Faults{})
				}
				f.advanceAndRun(20*time.Second, 0, 1, 2)
			}
			for range 6 {
				f.advanceAndRun(30*time.Second, 0, 1, 2)
			}
			if got := f.bookedAnswers(); got != 90 {
				t.Errorf("booked %d of 90 requests", got)
			}
			if gaps := f.audit().Gaps(); len(gaps) > 0 {
				t.Errorf("gaps without lost counts: %+v", gaps)
			}
		})
	}
}

func TestLostNodeLeavesAGap(t *testing.T) {
	f := newFixture(t)
	f.advanceAndRun(time.Second, 0, 1, 2)
	f.advanceAndRun(10*time.Second, 0, 1, 2)
	f.nodes[2].Count(booking, outcome.Answered)
	f.advanceAndRun(20*time.Second, 0, 1, 2)
	f.nodes[2].Count(booking, outcome.Answered)
	for range 20 {
		f.advanceAndRun(20*time.Second, 0, 1)
	}
	gaps := f.audit().Gaps()
	if got := f.bookedAnswers(); got != 1 || len(gaps) != 1 || gaps[0].Node != "vm-2" || gaps[0].After != 1 {
		t.Errorf("booked %d, gaps %+v", got, gaps)
	}
}

func TestCloseBooksTheLastCounts(t *testing.T) {
	f := newFixture(t)
	f.advanceAndRun(time.Second, 0, 1, 2)
	for _, node := range f.nodes {
		node.Count(booking, outcome.Unknown)
	}
	for _, i := range []int{2, 1, 0} {
		closed := make(chan struct{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		go func() {
			defer close(closed)
			f.nodes[i].Close(ctx)
		}()
		for open := true; open; {
			f.nodes[0].collect(t.Context())
			select {
			case <-closed:
				open = false
			case <-time.After(10 * time.Millisecond):
			}
		}
		if ctx.Err() != nil || !f.nodes[i].allBooked() {
			t.Errorf("node %d closed before its counts were booked", i)
		}
		cancel()
	}
	rows := f.audit().Rows()
	if len(rows) != 1 || rows[0].Unknown != 3 || rows[0].Sheet != 12 || rows[0].SheetLine != 2 {
		t.Errorf("booked %+v", rows)
	}
}

func TestReportOfAnotherCell(t *testing.T) {
	f := newFixture(t)
	f.advanceAndRun(time.Second, 0, 1, 2)
	request := batchToWire("test", "dunantul", account.Batch{Process: account.Process{Node: "x", Incarnation: 1}, Oldest: 1})
	if _, err := f.nodes[0].Report(t.Context(), request); err == nil {
		t.Error("a report of another cell was accepted")
	}
}

func TestFindLast(t *testing.T) {
	for _, count := range []uint64{0, 1, 2, 3, 7, 8, 100} {
		store := memstore.New(memstore.Options{})
		for n := uint64(1); n <= count; n++ {
			sealed, err := account.Seal(account.Segment{ID: account.ID{Cell: "c", Month: "2026-10", Number: n}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := store.Put(t.Context(), sealed.Key(), sealed.Value, 0, "w"); err != nil {
				t.Fatal(err)
			}
		}
		for _, hint := range []uint64{0, min(1, count), count} {
			f := finder{store: store, cell: "c"}
			if hint > 0 {
				f.known = account.ID{Cell: "c", Month: "2026-10", Number: hint}
			}
			last, err := f.last(t.Context(), time.Date(2026, 11, 3, 0, 0, 0, 0, time.UTC))
			if err != nil || (last == nil) != (count == 0) || last != nil && last.Number != count {
				t.Errorf("%d segments, hint %d: got %v, %v", count, hint, last, err)
			}
		}
	}
}

func BenchmarkCount(b *testing.B) {
	var c counter
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.add(booking.Range, booking.Slice.Range, booking.SheetVersion, outcome.Answered)
		}
	})
}
