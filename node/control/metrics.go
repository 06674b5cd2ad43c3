package control

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/objects"
)

type metrics struct {
	messages      *prometheus.CounterVec
	bytes         *prometheus.CounterVec
	store         *prometheus.CounterVec
	decisions     *prometheus.CounterVec
	leasesAdopted prometheus.Counter
	leasesEnded   prometheus.Counter
	leasesHeld    prometheus.Gauge
	epoch         prometheus.Gauge
	authority     prometheus.Gauge
	sheet         prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "auburnrelay", Subsystem: "control", Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "auburnrelay", Subsystem: "control", Name: name, Help: help})
	}
	m := &metrics{
		messages:   counter("messages_total", "Control messages sent, by kind and result.", "kind", "result"),
		bytes:      counter("wire_bytes_total", "Bytes of gRPC messages and received header fields, by service and direction.", "service", "direction"),
		store:      counter("store_calls_total", "Calls of the object store, by kind and result.", "kind", "result"),
		decisions:  counter("decisions_total", "Decisions on ownership and placement.", "what"),
		leasesHeld: gauge("leases", "Leases held."),
		epoch:      gauge("epoch", "Newest epoch of the cell known."),
		authority:  gauge("authority", "One while this node is the controller and may grant."),
		sheet:      gauge("sheet_version", "Version of the sheet in force."),
	}
	leases := counter("lease_changes_total", "Leases adopted or renewed, and ended.", "change")
	m.leasesAdopted = leases.WithLabelValues("adopted")
	m.leasesEnded = leases.WithLabelValues("ended")
	if r != nil {
		r.MustRegister(m.messages, m.bytes, m.store, m.decisions, leases, m.leasesHeld, m.epoch, m.authority, m.sheet)
	}
	return m
}

func (m *metrics) countMessage(kind string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.messages.WithLabelValues(kind, result).Inc()
}

func (m *metrics) countStoreCall(kind string, err error) {
	result := "done"
	switch {
	case err == nil:
	case errors.Is(err, objects.ErrNotFound):
		result = "absent"
	case errors.Is(err, objects.ErrConflict):
		result = "conflict"
	default:
		result = "failed"
	}
	m.store.WithLabelValues(kind, result).Inc()
}

func (m *metrics) observe(s cell.Status) {
	m.leasesHeld.Set(float64(s.Held))
	m.epoch.Set(float64(s.Epoch))
	m.sheet.Set(float64(s.SheetVersion))
	authority := 0.0
	if s.HasAuthority {
		authority = 1
	}
	m.authority.Set(authority)
}
