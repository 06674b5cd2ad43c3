package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Metrics holds the owner's Prometheus metrics. A nil *Metrics records nothing.
type Metrics struct {
	requestsTotal *prometheus.CounterVec
	queueSeconds  prometheus.Histogram
}

// NewMetrics returns metrics registered with registerer, or the error of a registration.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		requestsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_owner_requests_total",
			Help: "Requests that ended at the owner, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		queueSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "auburnrelay_owner_queue_seconds",
			Help:    "Time that queued requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	for _, c := range []prometheus.Collector{m.requestsTotal, m.queueSeconds} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) observeQueueTime(wait time.Duration) {
	if m != nil {
		m.queueSeconds.Observe(wait.Seconds())
	}
}

func (m *Metrics) countEnd(end outcome.End) {
	if m != nil {
		m.requestsTotal.WithLabelValues(end.Outcome.String(), string(end.Reason)).Inc()
	}
}

// recordEnd counts the end of a request and logs it.
func (o *Owner) recordEnd(r *requestRun, end outcome.End) {
	o.cfg.Metrics.countEnd(end)
	level := slog.LevelDebug
	if end.Outcome == outcome.Unknown {
		level = slog.LevelInfo
	}
	ctx := context.Background()
	if !o.cfg.Logger.Enabled(ctx, level) {
		return
	}
	q := r.request
	o.cfg.Logger.LogAttrs(ctx, level, "request ended",
		slog.String("service", q.Service), slog.String("key", q.Key), slog.String("id", q.ID.String()),
		slog.Uint64("attempt", q.Attempt), slog.String("fence", r.fence.String()),
		slog.String("outcome", end.Outcome.String()), slog.String("reason", string(end.Reason)))
}
