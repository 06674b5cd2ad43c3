package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc/stats"
)

// TestWireBytes demands that each part of an exchange counts once, under its service.
func TestWireBytes(t *testing.T) {
	m := newMetrics(prometheus.NewRegistry())
	w := wireBytes{bytes: m.bytes}
	ctx := w.TagRPC(t.Context(), &stats.RPCTagInfo{FullMethodName: "/auburnrelay.v1.CellService/Heartbeat"})
	for _, s := range []stats.RPCStats{
		&stats.Begin{}, &stats.InHeader{WireLength: 7}, &stats.InPayload{WireLength: 100},
		&stats.OutPayload{WireLength: 30}, &stats.InTrailer{WireLength: 2}, &stats.End{},
	} {
		w.HandleRPC(ctx, s)
	}
	for direction, want := range map[string]float64{received: 109, sent: 30} {
		if got := testutil.ToFloat64(m.bytes.WithLabelValues("CellService", direction)); got != want {
			t.Errorf("%s: %v bytes, want %v", direction, got, want)
		}
	}
}
