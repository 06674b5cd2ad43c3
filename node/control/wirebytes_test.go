package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc/stats"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// TestWireBytes checks that each part of a call is counted once, under its service.
func TestWireBytes(t *testing.T) {
	m := newMetrics(prometheus.NewRegistry())
	w := newWireBytes(m.bytes)
	ctx := w.TagRPC(t.Context(), &stats.RPCTagInfo{FullMethodName: "/auburnrelay.v1.CellService/Heartbeat"})
	for _, s := range []stats.RPCStats{
		&stats.Begin{}, &stats.InHeader{WireLength: 7}, &stats.InPayload{WireLength: 100},
		&stats.OutPayload{WireLength: 30}, &stats.InTrailer{WireLength: 2}, &stats.End{},
	} {
		w.HandleRPC(ctx, s)
	}
	// Unknown service names must not add label values to the metric.
	for i := range 3 {
		made := w.TagRPC(t.Context(), &stats.RPCTagInfo{FullMethodName: fmt.Sprintf("/x.Made%d/Up", i)})
		w.HandleRPC(made, &stats.InPayload{WireLength: 1})
	}
	if got := testutil.ToFloat64(m.bytes.WithLabelValues("other", directionReceived)); got != 3 {
		t.Errorf("other services: %v bytes, want 3", got)
	}
	for direction, want := range map[string]float64{directionReceived: 109, directionSent: 30} {
		if got := testutil.ToFloat64(m.bytes.WithLabelValues("CellService", direction)); got != want {
			t.Errorf("%s: %v bytes, want %v", direction, got, want)
		}
	}
}

// TestCellCountsItsBytes checks that the nodes of a running cell count the bytes sent and received
// on the connections that they dial.
func TestCellCountsItsBytes(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	for _, n := range nodes {
		defer n.kill()
	}
	plain := nodes[0].control
	for _, n := range nodes {
		if !n.control.Status().IsController {
			plain = n.control
		}
	}
	for _, direction := range []string{directionReceived, directionSent} {
		counter := plain.metrics.bytes.WithLabelValues("CellService", direction)
		waitFor(t, "bytes "+direction, 5*time.Second, func() bool { return testutil.ToFloat64(counter) > 0 })
	}
}
