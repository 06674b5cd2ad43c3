package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the ledger's metrics. With a nil registry they are not registered.
type metrics struct {
	unbookedReports prometheus.Gauge
	reports         *prometheus.CounterVec
	segments        *prometheus.CounterVec
	lastAt          prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		unbookedReports: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "auburnrelay_account_unbooked_reports", Help: "Reports that are not in the store yet.",
		}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_account_reports_total", Help: "Messages to the controller by result.",
		}, []string{"result"}),
		segments: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "auburnrelay_account_segments_total", Help: "Segments that this node tried to write, by result.",
		}, []string{"result"}),
		lastAt: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "auburnrelay_account_last_segment_seconds", Help: "Wall time of the last segment that this node wrote.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.unbookedReports, m.reports, m.segments, m.lastAt)
	}
	return m
}

func (m *metrics) countReport(err error) { m.reports.WithLabelValues(resultOf(err)).Inc() }

func (m *metrics) countFailedSegment() { m.segments.WithLabelValues("failed").Inc() }

func (m *metrics) countSegment(at time.Time) {
	m.segments.WithLabelValues("written").Inc()
	m.lastAt.Set(float64(at.Unix()))
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "taken"
}
