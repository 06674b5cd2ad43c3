package telemetry

import "github.com/prometheus/client_golang/prometheus"

// hedgeMetrics counts the second sends of requests whose first one takes longer than usual.
type hedgeMetrics struct {
	hedges   *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newHedgeMetrics(r prometheus.Registerer) hedgeMetrics {
	m := hedgeMetrics{
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "hedges_total",
			Help: "Second sends of slow requests by event: sent, won (its answer was delivered), cancelled (either send, because the other one answered).",
		}, []string{"event"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "hedge_refusals_total", Help: "Second sends that were due and not made, by reason.",
		}, []string{"reason"}),
	}
	r.MustRegister(m.hedges, m.refusals)
	return m
}

// HedgeSent counts a second send of a request.
func (m *Metrics) HedgeSent() { m.hedge.hedges.WithLabelValues("sent").Inc() }

// HedgeWon counts a request for which the answer to the second send was delivered.
func (m *Metrics) HedgeWon() { m.hedge.hedges.WithLabelValues("won").Inc() }

// HedgeCancelled counts a send, the first or the second one, that was cancelled because the other one was answered.
func (m *Metrics) HedgeCancelled() { m.hedge.hedges.WithLabelValues("cancelled").Inc() }

// HedgeRefused counts a second send that was due and not made.
func (m *Metrics) HedgeRefused(reason string) { m.hedge.refusals.WithLabelValues(reason).Inc() }
