package guard

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

// maxSlowdownAge is how long a reported slowdown is used. It changes several times a second.
const maxSlowdownAge = 400 * time.Millisecond

// keptReport is the last load report of the target's process, received at receivedAt. Guard.mu protects it.
type keptReport struct {
	exchange.LoadReport
	process    exchange.TargetProcess
	receivedAt time.Duration
}

// observeReport keeps the load report of an answer. Slots that contradict the heartbeat are bounded by it.
func (g *Guard) observeReport(local ownership.LocalTarget, meta exchange.AnswerMeta) {
	if !meta.HasLoad {
		return
	}
	now := g.elapsed()
	process := processOf(local)
	g.mu.Lock()
	defer g.mu.Unlock()
	if process != g.cold.tracker.Process() {
		return
	}
	load := meta.Load
	if load.Slots != local.Slots {
		g.noteOnce(process, "load report contradicts the heartbeat", "slots", load.Slots, "heartbeat_slots", local.Slots)
		load.Slots = local.Slots
	}
	if load.Running > load.Slots {
		// What exceeds the slots cannot run.
		load.Waiting, load.Running = load.Waiting+load.Running-load.Slots, load.Slots
	}
	g.report = keptReport{LoadReport: load, process: process, receivedAt: now}
}

// loadReport returns the last load report of the target's present process and its age, and whether there is one.
func (g *Guard) loadReport() (exchange.LoadReport, time.Duration, bool) {
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report.process.ID == "" || g.report.process != g.cold.tracker.Process() {
		return exchange.LoadReport{}, 0, false
	}
	return g.report.LoadReport, max(0, now-g.report.receivedAt), true
}

// slowdown returns how long work takes at the target now relative to the usual time; 1 if it is not known.
func (g *Guard) slowdown() float64 {
	report, age, known := g.loadReport()
	if !known || age > maxSlowdownAge {
		return 1
	}
	return report.Slowdown
}

// registerReportGauges registers the gauges of the load report.
func (g *Guard) registerReportGauges(r prometheus.Registerer) {
	gauge := func(name, help string, missing float64, read func(exchange.LoadReport, time.Duration) float64) {
		telemetry.Gauge(r, name, help, func() float64 {
			report, age, known := g.loadReport()
			if !known {
				return missing
			}
			return read(report, age)
		})
	}
	gauge("target_reported_running", "Requests that the local target runs by its last load report.", 0, func(l exchange.LoadReport, _ time.Duration) float64 {
		return float64(l.Running)
	})
	gauge("target_reported_waiting", "Requests that the local target has queued by its last load report.", 0, func(l exchange.LoadReport, _ time.Duration) float64 {
		return float64(l.Waiting)
	})
	gauge("target_reported_slots", "Slots of the local target by its last load report.", 0, func(l exchange.LoadReport, _ time.Duration) float64 {
		return float64(l.Slots)
	})
	gauge("target_reported_slowdown", "Time that work takes at the local target by its last load report, relative to the usual; 0 without a report.", 0, func(l exchange.LoadReport, _ time.Duration) float64 {
		return l.Slowdown
	})
	gauge("target_report_age_seconds", "Age of the local target's last load report.", math.Inf(1), func(_ exchange.LoadReport, age time.Duration) float64 {
		return age.Seconds()
	})
}
