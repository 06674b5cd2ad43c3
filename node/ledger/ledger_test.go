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

// bench is a test fixture: the ledgers of three nodes of one cell, with an in-memory store and a
// wall clock that a test can advance. It implements Directory.
type bench struct {
	*testing.T
	store      *memstore.Store
	mu         sync.Mutex
	now        time.Time
	controller plane.Peer
	nodes      []*Ledger
	servers    []*grpc.Server
}

func (b *bench) Controller() plane.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.controller
}

// Recorded returns no process: the collector learns of the nodes from their reports.
func (b *bench) Recorded() []cell.Node { return nil }

func (b *bench) clock() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bench) pass(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(d)
}

func (b *bench) lead(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.controller = b.nodes[i].config.Self
}

func newBench(t *testing.T) *bench {
	b := &bench{T: t, store: memstore.New(memstore.Options{}), now: time.Date(2026, 11, 3, 6, 0, 0, 0, time.UTC)}
	for i, name := range []string{"vm-0", "vm-1", "vm-2"} {
		b.start(name, uint64(i+1))
	}
	b.lead(0)
	return b
}

func (b *bench) start(name string, incarnation uint64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	pool := forward.NewPool(8)
	config := Config{
		Cluster: "test", Self: plane.Peer{Name: name, Incarnation: incarnation, Address: listener.Addr().String(), Cell: "alfold"},
		ReportInterval: 10 * time.Second, SegmentInterval: time.Minute, Silence: 5 * time.Minute,
		Logger: slog.New(slog.DiscardHandler), Now: b.clock,
	}
	l := New(config, b.store, b, pool)
	server := grpc.NewServer()
	l.Register(server)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		server.Stop()
		pool.Close()
	})
	b.nodes = append(b.nodes, l)
	b.servers = append(b.servers, server)
}

// round advances the clock by d and lets the given nodes report and collect.
func (b *bench) round(d time.Duration, alive ...int) {
	b.pass(d)
	for _, i := range alive {
		b.nodes[i].collect(b.Context())
	}
	for _, i := range alive {
		b.nodes[i].report(b.Context())
	}
	for _, i := range alive {
		b.nodes[i].collect(b.Context())
	}
}

var booking = plane.Route{
	Range:        keyspace.Range{Service: "booking", Kind: keyspace.Keyed, To: "m", Slices: 8, Line: 2},
	Slice:        keyspace.SliceID{Range: 7},
	SheetVersion: 12,
}

func (b *bench) audit() *account.Audit {
	b.Helper()
	a := account.NewAudit("alfold", "2026-11", nil)
	listing, err := b.store.List(b.Context(), account.MonthPrefix("alfold", "2026-11"))
	if err != nil {
		b.Fatal(err)
	}
	for i, object := range listing.Objects {
		a.Add(uint64(i+1), object.Value)
	}
	for _, fault := range a.Faults() {
		b.Errorf("%s", fault)
	}
	return a
}

func (b *bench) answered() int64 {
	var sum int64
	for _, row := range b.audit().Rows() {
		sum += row.Answered
	}
	return sum
}

// TestBookedOnceUnderFaults counts requests on every node during each fault. Once the fault is
// over, every request must be booked exactly once.
func TestBookedOnceUnderFaults(t *testing.T) {
	faults := map[string]struct {
		during memstore.Faults
		lead   int
	}{
		"none":                        {},
		"store down":                  {during: memstore.Faults{Down: true}},
		"answers lost":                {during: memstore.Faults{LoseShare: 1}},
		"one answer lost":             {during: memstore.Faults{LoseNext: 1}},
		"controller replaced":         {lead: 1},
		"replaced with store down":    {during: memstore.Faults{Down: true}, lead: 1},
		"replaced while answers lost": {during: memstore.Faults{LoseShare: 1}, lead: 2},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.round(time.Second, 0, 1, 2)
			b.round(10*time.Second, 0, 1, 2)
			for step := range 30 {
				for _, node := range b.nodes {
					node.Count(booking, outcome.Answered)
				}
				switch step {
				case 8:
					b.store.SetFaults(fault.during)
				case 16:
					b.lead(fault.lead)
				case 22:
					b.store.SetFaults(memstore.Faults{})
				}
				b.round(20*time.Second, 0, 1, 2)
			}
			for range 6 {
				b.round(30*time.Second, 0, 1, 2)
			}
			if got := b.answered(); got != 90 {
				t.Errorf("booked %d of 90 requests", got)
			}
			if gaps := b.audit().Gaps(); len(gaps) > 0 {
				t.Errorf("gaps without lost counts: %+v", gaps)
			}
		})
	}
}

func TestLostNodeLeavesAGap(t *testing.T) {
	b := newBench(t)
	b.round(time.Second, 0, 1, 2)
	b.round(10*time.Second, 0, 1, 2)
	b.nodes[2].Count(booking, outcome.Answered)
	b.round(20*time.Second, 0, 1, 2)
	b.nodes[2].Count(booking, outcome.Answered)
	for range 20 {
		b.round(20*time.Second, 0, 1)
	}
	gaps := b.audit().Gaps()
	if got := b.answered(); got != 1 || len(gaps) != 1 || gaps[0].Node != "vm-2" || gaps[0].After != 1 {
		t.Errorf("booked %d, gaps %+v", got, gaps)
	}
}

func TestCloseBooksTheLastCounts(t *testing.T) {
	b := newBench(t)
	b.round(time.Second, 0, 1, 2)
	for _, node := range b.nodes {
		node.Count(booking, outcome.Unknown)
	}
	for _, i := range []int{2, 1, 0} {
		closed := make(chan struct{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		go func() {
			defer close(closed)
			b.nodes[i].Close(ctx)
		}()
		for open := true; open; {
			b.nodes[0].collect(t.Context())
			select {
			case <-closed:
				open = false
			case <-time.After(10 * time.Millisecond):
			}
		}
		if ctx.Err() != nil || !b.nodes[i].settled() {
			t.Errorf("node %d closed before its counts were booked", i)
		}
		cancel()
	}
	rows := b.audit().Rows()
	if len(rows) != 1 || rows[0].Unknown != 3 || rows[0].Sheet != 12 || rows[0].SheetLine != 2 {
		t.Errorf("booked %+v", rows)
	}
}

func TestReportOfAnotherCell(t *testing.T) {
	b := newBench(t)
	b.round(time.Second, 0, 1, 2)
	request := batchToWire("test", "dunantul", account.Batch{Process: account.Process{Node: "x", Incarnation: 1}, Oldest: 1})
	if _, err := b.nodes[0].Report(t.Context(), request); err == nil {
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
				f.hint = account.ID{Cell: "c", Month: "2026-10", Number: hint}
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
