package client

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/objects"
)

// callKind is the value of the label "call".
type callKind string

const (
	callGet    callKind = "get"
	callList   callKind = "list"
	callPoll   callKind = "poll"
	callPut    callKind = "put"
	callDelete callKind = "delete"
)

// outcomes maps errors to values of the label "outcome"; other errors map to "error".
var outcomes = []struct {
	err   error
	label string
}{
	{objects.ErrBudgetExhausted, "budget"},
	{objects.ErrUnknownOutcome, "unknown"},
	{objects.ErrUnavailable, "unavailable"},
	{objects.ErrNotFound, "not_found"},
	{objects.ErrConflict, "conflict"},
	{objects.ErrTooLarge, "too_large"},
}

type metrics struct {
	calls    *prometheus.CounterVec
	readBack *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_store_calls_total",
			Help: "Calls of the object store by kind and outcome, each attempt counted.",
		}, []string{"call", "outcome"}),
		readBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_store_writes_resolved_total",
			Help: "Writes whose lost answer was resolved by reading back the write id.",
		}, []string{"call"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "auburnrelay_store_call_seconds",
			Help:    "Time of one call of the object store, without waits for the budget.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"call"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.readBack, m.latency)
	}
	return m
}

func (m *metrics) count(kind callKind, err error) {
	m.calls.WithLabelValues(string(kind), outcomeLabel(err)).Inc()
}

func (m *metrics) resolved(kind callKind) {
	m.readBack.WithLabelValues(string(kind)).Inc()
}

func (m *metrics) observe(kind callKind, d time.Duration) {
	m.latency.WithLabelValues(string(kind)).Observe(d.Seconds())
}

func outcomeLabel(err error) string {
	if err == nil {
		return "ok"
	}
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			return o.label
		}
	}
	return "error"
}
