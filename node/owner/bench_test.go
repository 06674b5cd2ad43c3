package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

// instantTarget answers at once, so that benchmarks measure only the owner's overhead.
type instantTarget struct{ listener func(target.Event) }

func (*instantTarget) Call(_ context.Context, call target.Call, sink plane.Sink) target.CallResult {
	if call.Remaining() <= 0 || sink.Head(plane.Head{Status: 200, Target: "vm1"}) != nil || sink.Write([]byte("ok")) != nil {
		return target.CallResult{End: outcome.End{Outcome: outcome.NotRun}, Resolved: true}
	}
	return target.CallResult{End: outcome.End{Outcome: outcome.Answered}, Resolved: true}
}

func (*instantTarget) PutGrants(context.Context, []target.Grant, []keyspace.SliceID) ([]string, error) {
	return nil, nil
}

func (*instantTarget) Cancel(context.Context, string, uint64) target.CallState {
	return target.CallUnknown
}

func (*instantTarget) Info() target.Info {
	return target.Info{State: plane.TargetReady, Slots: 32, Incarnation: 1, Address: "here"}
}

func (*instantTarget) Report() plane.TargetReport { return plane.TargetReport{Slots: 32} }

func (t *instantTarget) Subscribe(listener func(target.Event)) { t.listener = listener }

type nullSink struct{}

func (nullSink) Head(plane.Head) error { return nil }
func (nullSink) Write([]byte) error    { return nil }

func benchOwner(b *testing.B) *Owner {
	b.Helper()
	begin := time.Now()
	instant := &instantTarget{}
	cfg := DefaultConfig(1, func() time.Duration { return time.Since(begin) + time.Hour }, slog.New(slog.DiscardHandler))
	o, err := New(cfg, instant)
	if err != nil {
		b.Fatal(err)
	}
	o.AdoptLeases([]plane.Lease{{
		Slice: onlySlice, Service: "booking", Fence: fence.Fence{Epoch: 1, Seq: 1},
		Until: 24 * time.Hour, FirstAt: time.Now().Add(-time.Minute),
	}})
	instant.listener(target.Event{Kind: target.EventReady, Incarnation: 1})
	o.sendGrantsOnce(context.Background())
	return o
}

// BenchmarkLookup serves idempotent requests; BenchmarkBooking serves non-idempotent ones.
func BenchmarkLookup(b *testing.B) {
	o := benchOwner(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if r := o.Serve(context.Background(), lookup(bookings, benchKeys[i%len(benchKeys)]), nullSink{}); r.Outcome != outcome.Answered {
			b.Fatal(r)
		}
	}
}

func BenchmarkBooking(b *testing.B) {
	o := benchOwner(b)
	b.ReportAllocs()
	for b.Loop() {
		if r := o.Serve(context.Background(), booking(ulid.Make(), 1), nullSink{}); r.Outcome != outcome.Answered {
			b.Fatal(r)
		}
	}
}

// BenchmarkCrowd serves lookups of many concurrent callers over 32 slots.
func BenchmarkCrowd(b *testing.B) {
	o := benchOwner(b)
	var shed atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if r := o.Serve(context.Background(), lookup(bookings, benchKeys[i%len(benchKeys)]), nullSink{}); r.Outcome != outcome.Answered {
				shed.Add(1)
			}
		}
	})
	b.ReportMetric(float64(shed.Load())/float64(b.N), "shed/op")
}

var benchKeys = func() []string {
	list := make([]string, 1000)
	for i := range list {
		list[i] = fmt.Sprint("bay", i)
	}
	return list
}()
