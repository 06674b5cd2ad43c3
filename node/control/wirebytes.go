package control

import (
	"context"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/stats"
)

// wireBytes counts the bytes of gRPC messages and received header fields by service and
// direction. It is a stats.Handler. Frame headers of HTTP/2, sent header fields, TCP and IP
// headers are not in it.
type wireBytes struct {
	bytes *prometheus.CounterVec
}

// Directions of counted bytes.
const (
	received = "received"
	sent     = "sent"
)

type serviceKey struct{}

// StatsHandler returns the counter of message bytes for the node's gRPC server.
func (c *Control) StatsHandler() stats.Handler { return wireBytes{bytes: c.metrics.bytes} }

// TagRPC implements stats.Handler.
func (wireBytes) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, serviceKey{}, rpcService(info.FullMethodName))
}

// rpcService returns the service's own name in "/package.Service/Method".
func rpcService(method string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	return service[strings.LastIndexByte(service, '.')+1:]
}

// HandleRPC implements stats.Handler.
func (w wireBytes) HandleRPC(ctx context.Context, s stats.RPCStats) {
	service, _ := ctx.Value(serviceKey{}).(string)
	switch s := s.(type) {
	case *stats.InPayload:
		w.bytes.WithLabelValues(service, received).Add(float64(s.WireLength))
	case *stats.InHeader:
		w.bytes.WithLabelValues(service, received).Add(float64(s.WireLength))
	case *stats.InTrailer:
		w.bytes.WithLabelValues(service, received).Add(float64(s.WireLength))
	case *stats.OutPayload:
		w.bytes.WithLabelValues(service, sent).Add(float64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (wireBytes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (wireBytes) HandleConn(context.Context, stats.ConnStats) {}
