package telemetry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const namespace = "auburnrelay"

// buckets are the histogram buckets in seconds. They cover the range from the store's latency (4
// ms) to the longest timeouts of routes.
var buckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// Metrics holds a node's counters and histograms of requests. Label values come from fixed
// sets or from the configuration, so the number of time series is bounded.
type Metrics struct {
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	resends      *prometheus.CounterVec
	slotWaits    *prometheus.HistogramVec
	target       *prometheus.HistogramVec
	targetSends  *prometheus.CounterVec
	targetProbes *prometheus.CounterVec
	coldRefusals prometheus.Counter
	linesLeftOut prometheus.Counter
	hedge        hedgeMetrics
	loadQueries  *prometheus.CounterVec
	early        *prometheus.CounterVec
	targetErrors *prometheus.CounterVec
	queueRefused *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r. It panics if they are registered
// already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		hedge: newHedgeMetrics(r),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Callers' requests by kind, outcome and reason.",
		}, []string{"kind", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's head to its outcome.", Buckets: buckets,
		}, []string{"kind"}),
		resends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "resends_total", Help: "Further sends of a request, by the reason of the one before.",
		}, []string{"reason"}),
		slotWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "slot_wait_seconds", Help: "Wait for a slot of the local target.", Buckets: buckets,
		}, []string{"kind"}),
		target: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "target_seconds", Help: "Time of a request at the local target.", Buckets: buckets,
		}, []string{"kind", "outcome"}),
		targetSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_sends_total", Help: "Requests sent to the local target, for the first time or repeated.",
		}, []string{"send"}),
		targetProbes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_probes_total", Help: "Probes of the local target by result: warm, cold, silent (no statement) or failed.",
		}, []string{"result"}),
		coldRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_cold_refusals_total", Help: "Requests refused while the local target was limited because it was or might be cold.",
		}),
		linesLeftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_left_out_total", Help: "Lines on requests left out to bound the log.",
		}),
	}
	m.loadQueries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "load_queries_total", Help: "Queries for the load of other nodes' targets, by their end.",
	}, []string{"result"})
	m.early = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "early_refusals_total", Help: "Requests refused without sending because no target would start them in time.",
	}, []string{"service", "priority"})
	m.targetErrors = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_errors_total", Help: "Callers' requests that a target ran and answered with status 500.",
	}, []string{"service"})
	m.queueRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "queue_refusals_total", Help: "Requests that the queue of the local target refused, on arrival or after waiting.",
	}, []string{"when"})
	r.MustRegister(m.loadQueries, m.early, m.targetErrors, m.queueRefused)
	r.MustRegister(m.requests, m.latency, m.resends, m.slotWaits, m.target, m.targetSends, m.targetProbes, m.coldRefusals, m.linesLeftOut)
	return m
}

// RequestEnded records the outcome and the duration of a caller's request.
func (m *Metrics) RequestEnded(kind string, end outcome.End, took time.Duration) {
	m.requests.WithLabelValues(kind, end.Outcome.String(), string(end.Reason)).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// Resent counts a retry of a request; reason is that of the failed send before it.
func (m *Metrics) Resent(reason outcome.Reason) { m.resends.WithLabelValues(string(reason)).Inc() }

// SlotWait records how long a request waited for a slot of the local target.
func (m *Metrics) SlotWait(kind string, d time.Duration) {
	m.slotWaits.WithLabelValues(kind).Observe(d.Seconds())
}

// TargetRequest records the outcome and the duration of a request at the local target.
func (m *Metrics) TargetRequest(kind string, o outcome.Outcome, d time.Duration) {
	m.target.WithLabelValues(kind, o.String()).Observe(d.Seconds())
}

// SentToTarget counts a request that is sent to the local target. repeated is set if it may have
// reached a target before.
func (m *Metrics) SentToTarget(repeated bool) {
	send := "first"
	if repeated {
		send = "repeated"
	}
	m.targetSends.WithLabelValues(send).Inc()
}

// TargetProbe counts a probe of the local target by its result.
func (m *Metrics) TargetProbe(result string) { m.targetProbes.WithLabelValues(result).Inc() }

// ColdRefusal counts a request that is refused while the local target is or may be cold.
func (m *Metrics) ColdRefusal() { m.coldRefusals.Inc() }

// LoadQuery counts a query for the load of another node's target. result is "answered", "unavailable" (the target takes
// no requests), "malformed", "timeout" or "failed".
func (m *Metrics) LoadQuery(result string) { m.loadQueries.WithLabelValues(result).Inc() }

// EarlyRefusal counts a request that is refused without sending it.
func (m *Metrics) EarlyRefusal(service string, priority int) {
	m.early.WithLabelValues(service, strconv.Itoa(priority)).Inc()
}

// TargetError counts a caller's request that a target of the service ran and answered with status 500.
func (m *Metrics) TargetError(service string) { m.targetErrors.WithLabelValues(service).Inc() }

// QueueRefusal counts a request that the queue of the local target refused, on arrival or after it waited.
func (m *Metrics) QueueRefusal(onArrival bool) {
	when := "after-waiting"
	if onArrival {
		when = "on-arrival"
	}
	m.queueRefused.WithLabelValues(when).Inc()
}

// Gauge registers a gauge whose value is computed by read at each collection.
func Gauge(r prometheus.Registerer, name, help string, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
