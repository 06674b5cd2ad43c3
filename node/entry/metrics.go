package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Metrics counts callers' requests by outcome and records their latency.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  prometheus.Histogram
	tries    prometheus.Counter
}

// NewMetrics registers the metrics of an entry node. It fails if a metric of the same name is
// registered already.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_entry_requests_total",
			Help: "Callers' requests by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_entry_refusals_total",
			Help: "Callers' requests that were not answered, by reason.",
		}, []string{"reason"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "auburnrelay_entry_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
		tries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "auburnrelay_entry_tries_total",
			Help: "Tries of callers' requests, the first ones included.",
		}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.refusals, m.seconds, m.tries} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register entry metrics")
		}
	}
	return m, nil
}

// ended records one request. It does nothing on a nil Metrics.
func (m *Metrics) ended(result plane.Result, attempts uint64, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(result.Outcome.String()).Inc()
	m.seconds.Observe(took.Seconds())
	m.tries.Add(float64(attempts))
	if result.Outcome != outcome.Answered {
		m.refusals.WithLabelValues(string(result.Reason)).Inc()
	}
}
