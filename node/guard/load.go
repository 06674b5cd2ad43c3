package guard

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

const (
	// lateFactor and minLate tell from when an answer is unusually late: work on a disturbed VM takes three times as long.
	lateFactor = 5
	minLate    = 300 * time.Millisecond
	// minOverdue is the number of overdue requests from which a target is taken to hang.
	minOverdue = 2
)

// health is what the guard knows of the target's health and of the kinds of work that it gets. Guard.mu protects it.
type health struct {
	process   exchange.TargetProcess
	failures  balance.FailureRate
	unhealthy bool
	// classes holds the kinds of work that were used last, the latest first.
	classes []slotqueue.Class
}

// useClass moves a kind of work to the front of those that are reported.
func (h *health) useClass(c slotqueue.Class) {
	at := len(h.classes)
	for i, known := range h.classes {
		if known == c {
			at = i
			break
		}
	}
	if at == len(h.classes) {
		if len(h.classes) < balance.MaxReportClasses {
			h.classes = append(h.classes, c)
		} else {
			at--
		}
	}
	copy(h.classes[1:], h.classes[:at])
	h.classes[0] = c
}

// of returns the failure rate of a process of the target; a new process begins without any.
func (h *health) of(p exchange.TargetProcess) *balance.FailureRate {
	if h.process != p {
		h.process, h.failures, h.unhealthy = p, balance.FailureRate{}, false
	}
	return &h.failures
}

// EnableReports makes results carry load reports.
func (g *Guard) EnableReports() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports = true
}

// serveHealthy runs a request that the gate has admitted, unless its sender can choose another target and this one refuses
// or fails most requests.
func (g *Guard) serveHealthy(ctx context.Context, r *relay.Request, local ownership.LocalTarget) relay.Result {
	if r.Asked && !r.Keyed {
		if admitted, after := g.admitTrial(local); !admitted {
			return relay.Result{End: outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetUnhealthy, RetryAfter: after}}
		}
	}
	return g.serveAdmitted(ctx, r, local)
}

func (g *Guard) admitTrial(local ownership.LocalTarget) (admitted bool, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.of(processOf(local)).Admit(g.elapsed())
}

// observeHealth records whether the target refused or failed a request that had a slot. A refusal by a target with a limit
// is no failure: the limit says why. An answer that took unusually long is one. Nor is an answer with a status of 500: the request ran. A deadline that passes counts
// only if the work took unusually long, since a request may start with little time left.
func (g *Guard) observeHealth(r *relay.Request, local ownership.LocalTarget, result relay.Result, took time.Duration) {
	failed, late := false, false
	switch {
	case result.Outcome == outcome.Answered, result.Reason == outcome.ReasonDeadline, result.Reason == outcome.ReasonCancelled:
	case result.Reason == outcome.ReasonTargetShed, result.Reason == outcome.ReasonTargetUnreachable, result.Outcome == outcome.Unknown:
		failed = true
	default:
		return
	}
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	if expected, known := g.queue.WorkTime(classOf(r)); known {
		late = took > minLate && took > lateFactor*expected
	}
	if !late && result.Outcome != outcome.Answered && !failed || failed && g.queue.Limited() {
		return
	}
	failed = failed || late
	failures := g.health.of(processOf(local))
	failures.Observe(now, failed)
	if unhealthy := failures.Unhealthy(); unhealthy != g.health.unhealthy {
		g.health.unhealthy = unhealthy
		g.log.Warn("health of the target changed", "target", local.ID, "born", local.Born, "unhealthy", unhealthy,
			"share", failures.Share(now), "reason", string(result.Reason))
	}
}

func classOf(r *relay.Request) slotqueue.Class {
	return slotqueue.Class{Service: r.Service, Objective: r.Objective, Priority: r.Priority}
}

// Report returns the load of the local target as requests of the class see it, and false if the target takes no requests
// of the service now.
func (g *Guard) Report(class slotqueue.Class) (*balance.Report, bool) {
	local, reason := g.gate.Admit(class.Service, false, 0)
	if reason != outcome.ReasonNone {
		return nil, false
	}
	return g.reportFor(class, local), true
}

// reportWithAnswer returns the report that goes with the result of a request; nil if there is none.
func (g *Guard) reportWithAnswer(r *relay.Request, local ownership.LocalTarget) *balance.Report {
	g.mu.Lock()
	enabled := g.reports
	g.mu.Unlock()
	if !enabled || r.Keyed {
		return nil
	}
	return g.reportFor(classOf(r), local)
}

func (g *Guard) reportFor(class slotqueue.Class, local ownership.LocalTarget) *balance.Report {
	now, slowdown, process := g.elapsed(), g.slowdown(), processOf(local)
	_, _, stated := g.loadReport()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(local.Slots, local.Slots*queueCapacityPerSlot)
	g.queue.SetSlowdown(slowdown)
	failures := g.health.of(process)
	report := &balance.Report{
		Process: process, Running: g.queue.Running(), Waiting: g.queue.Waiting(), Slots: local.Slots,
		FailureShare: failures.Share(now), Unhealthy: failures.Unhealthy(), Stated: stated, Trial: failures.TrialOpen(now), Limited: g.queue.Limited(), Leaving: g.leaving == process,
		Classes: make([]balance.ClassReport, 0, balance.MaxReportClasses),
	}
	if overdue := g.queue.Overdue(now, lateFactor, minLate); overdue >= minOverdue {
		report.FailureShare = max(report.FailureShare, float64(overdue)/float64(report.Running))
		// A target all of whose slots are overdue hangs.
		report.Unhealthy = report.Unhealthy || overdue >= local.Slots
	}
	report.Classes = append(report.Classes, g.classReport(now, class))
	for _, c := range g.health.classes {
		if c != class && c.Service == class.Service && len(report.Classes) < balance.MaxReportClasses {
			report.Classes = append(report.Classes, g.classReport(now, c))
		}
	}
	return report
}

// classReport returns the load as requests of the class see it; the caller holds the lock.
func (g *Guard) classReport(now time.Duration, c slotqueue.Class) balance.ClassReport {
	work, _ := g.queue.WorkTime(c)
	wait := g.queue.ExpectedWait(now, slotqueue.Item{Priority: c.Priority, Class: c, Deadline: now + c.Objective})
	return balance.ClassReport{Objective: c.Objective, Priority: c.Priority, Wait: wait, Work: work}
}
