package control

import (
	"context"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// wireBytes is a stats.Handler that counts the bytes of gRPC messages and received header fields
// by service and direction. HTTP/2 frame headers, sent header fields and the headers of TCP and IP
// are not counted.
type wireBytes struct {
	// services maps full service names to counters; it is read-only after construction.
	services map[string]*serviceBytes
	// other counts the bytes of services that nodes do not offer.
	other *serviceBytes
}

// serviceBytes are the counters of one service.
type serviceBytes struct {
	received, sent prometheus.Counter
}

// Values of the label direction.
const (
	directionReceived = "received"
	directionSent     = "sent"
)

type serviceKey struct{}

// StatsHandler returns a handler for a gRPC server or connection that counts its bytes in the
// metric auburnrelay_control_wire_bytes_total.
func (c *Control) StatsHandler() stats.Handler { return newWireBytes(c.metrics.bytes) }

func newWireBytes(bytes *prometheus.CounterVec) *wireBytes {
	count := func(service string) *serviceBytes {
		return &serviceBytes{
			received: bytes.WithLabelValues(service, directionReceived),
			sent:     bytes.WithLabelValues(service, directionSent),
		}
	}
	w := &wireBytes{services: make(map[string]*serviceBytes), other: count("other")}
	for _, desc := range []grpc.ServiceDesc{
		pb.CellService_ServiceDesc, pb.AccountService_ServiceDesc, pb.QuarantineService_ServiceDesc, pb.RelayService_ServiceDesc,
	} {
		name := desc.ServiceName
		w.services[name] = count(name[strings.LastIndexByte(name, '.')+1:])
	}
	return w
}

// TagRPC implements stats.Handler.
func (w *wireBytes) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	service, _, _ := strings.Cut(strings.TrimPrefix(info.FullMethodName, "/"), "/")
	counters, known := w.services[service]
	if !known {
		counters = w.other
	}
	return context.WithValue(ctx, serviceKey{}, counters)
}

// HandleRPC implements stats.Handler.
func (w *wireBytes) HandleRPC(ctx context.Context, s stats.RPCStats) {
	counters, tagged := ctx.Value(serviceKey{}).(*serviceBytes)
	if !tagged {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		counters.received.Add(float64(s.WireLength))
	case *stats.InHeader:
		counters.received.Add(float64(s.WireLength))
	case *stats.InTrailer:
		counters.received.Add(float64(s.WireLength))
	case *stats.OutPayload:
		counters.sent.Add(float64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (*wireBytes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*wireBytes) HandleConn(context.Context, stats.ConnStats) {}
