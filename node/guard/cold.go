package guard

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/coldstart"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

// coldLogInterval is the shortest time between two log lines on whether the target is cold, so that a target that
// changes all the time does not fill the log.
const coldLogInterval = 500 * time.Millisecond

// ColdLimits are the limits of cold targets. The zero value has none.
type ColdLimits struct {
	// Service returns the configuration of a service, and whether a configuration is known. It must neither block nor
	// call the guard.
	Service func(name string) (routing.Service, bool)
	// Factor and Slack bound the requests that a cold target may be sent in any one second: the cold rate of its service
	// times the factor, plus the slack.
	Factor, Slack float64
}

// bounds returns the bounds of a service's cold targets and the path of its health check. Until a configuration is
// known, as after a restart of the node, the target may be one that is cold.
func (l ColdLimits) bounds(service string) (coldstart.Bounds, string) {
	if l.Service == nil {
		return coldstart.Bounds{}, ""
	}
	s, known := l.Service(service)
	if !known {
		return coldstart.Unknown(l.Slack), ""
	}
	return coldstart.Bounds{Rate: s.ColdRate, Factor: l.Factor, Slack: l.Slack}, s.HealthPath
}

// coldState is what the guard knows of the coldness of its target. Guard.mu protects it.
type coldState struct {
	limits  ColdLimits
	tracker coldstart.Tracker
	// local is the target that the tracker follows.
	local      ownership.LocalTarget
	healthPath string
	// unsent counts the requests that have got a slot and are not sent yet.
	unsent int
	// lastProbe is the number of the last probe.
	lastProbe uint64
	// probeFailed is set if the last probe was not answered.
	probeFailed bool
	// loggedCold is what was last logged on the target, at loggedAt.
	loggedCold bool
	loggedAt   time.Duration
	// noted holds what has been logged once on the process.
	noted map[string]bool
}

// TargetReported records that a heartbeat of the local target says for how long it stays cold, zero if it is warm. It
// implements ownership.TargetMonitor.
func (g *Guard) TargetReported(local ownership.LocalTarget, coldFor time.Duration) {
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followTarget(local)
	g.cold.tracker.Reported(now, coldFor)
	g.refreshCold(now, false)
}

// EvacuationEnded records that requests may be sent to the target again after a time in which it may have become cold
// unnoticed.
func (g *Guard) EvacuationEnded() {
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.tracker.Unconfirm(now)
	g.refreshCold(now, false)
}

// followTarget makes the guard follow the process of the target; the caller holds the lock.
func (g *Guard) followTarget(local ownership.LocalTarget) {
	c := &g.cold
	c.local = local
	if c.tracker.Follow(processOf(local)) {
		c.noted, c.loggedCold, c.probeFailed = make(map[string]bool), false, false
		g.report = keptReport{}
	}
}

// refreshCold probes the target if that is due and makes the queue keep the limit of the cold target. arriving is set if
// a request is about to be queued. The caller holds the lock.
func (g *Guard) refreshCold(now time.Duration, arriving bool) {
	c := &g.cold
	var bounds coldstart.Bounds
	bounds, c.healthPath = c.limits.bounds(c.local.Service)
	c.tracker.SetBounds(bounds)
	g.probeIfDue(now, arriving)
	g.queue.SetAllowance(now, c.tracker.Allowance(now))
	g.logCold(now)
}

// countStart counts a request that has got a slot; the caller holds the lock.
func (g *Guard) countStart() {
	g.cold.tracker.Started()
	g.cold.unsent++
	g.probeIfDue(g.elapsed(), false)
}

// countColdRefusal counts a request that is refused while the cold limit binds; the caller holds the lock.
func (g *Guard) countColdRefusal() {
	if g.cold.tracker.IsLimited(g.elapsed()) {
		g.metrics.ColdRefusal()
	}
}

// endStart records that a request that had got a slot will not be sent.
func (g *Guard) endStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.unsent--
}

// logCold logs a change between cold and warm; the caller holds the lock.
func (g *Guard) logCold(now time.Duration) {
	c := &g.cold
	left := c.tracker.ColdLeft(now)
	isCold, isLimited := left > 0, c.tracker.IsLimited(now)
	if isCold == c.loggedCold || !isCold && isLimited || now-c.loggedAt < coldLogInterval && c.loggedAt > 0 {
		return
	}
	c.loggedCold, c.loggedAt = isCold, now
	if !isCold {
		g.log.Info("target is warm", "target", c.local.ID, "born", c.local.Born)
		return
	}
	bounds, _ := c.limits.bounds(c.local.Service)
	g.log.Info("target is cold", "target", c.local.ID, "born", c.local.Born, "cold_ms", left.Milliseconds(),
		"requests_per_second", bounds.Pace().PerSecond, "limited", isLimited)
}

// noteOnce logs something odd about the process of the target the first time; the caller holds the lock.
func (g *Guard) noteOnce(p exchange.TargetProcess, what string, args ...any) {
	if p != g.cold.tracker.Process() || g.cold.noted[what] {
		return
	}
	g.cold.noted[what] = true
	g.log.Warn(what, append([]any{"target", p.ID, "born", p.Born}, args...)...)
}

// coldness returns how long the target stays cold by what it has said, zero if it has not said so, and whether it is
// limited because it is or may be cold.
func (g *Guard) coldness() (left time.Duration, isLimited bool) {
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold.tracker.ColdLeft(now), g.cold.tracker.IsLimited(now)
}

// RegisterGauges registers the gauges of the target's coldness and of its load report.
func (g *Guard) RegisterGauges(r prometheus.Registerer) {
	telemetry.Gauge(r, "target_cold_left_seconds", "Time for which the local target stays cold by what it has said; 0 if it has not.", func() float64 {
		left, _ := g.coldness()
		return left.Seconds()
	})
	telemetry.Gauge(r, "target_cold_limited", "Whether the local target is limited because it is or may be cold (1).", func() float64 {
		if _, isLimited := g.coldness(); isLimited {
			return 1
		}
		return 0
	})
	g.registerReportGauges(r)
}
