package ownership

import (
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// targetProcess is one process of the local target, identified by the target's id and start time.
type targetProcess struct {
	// report is the latest heartbeat, which was received at heartbeatAt, and foundAt the time of the first one
	// that this process of the node received.
	report               holding.Report
	heartbeatAt, foundAt time.Duration
	// grantsUntil is when the last grant has surely expired on the target's clock.
	grantsUntil time.Duration
	// lastGranted is when a heartbeat response last granted the slice, and grantedSince when the
	// unbroken series of responses that granted it began; lastResponse is the time of the last
	// response.
	lastGranted, grantedSince [holding.SliceCount]time.Duration
	lastResponse              time.Duration
	// refused is set for a slice if the target has refused a request for it since the last response that
	// granted it.
	refused [holding.SliceCount]bool
	// handovers holds the handover tokens of released slices by slice.
	handovers map[int]string
	// leavingSince is the time of the target's first heartbeat in state draining, of its leave call or
	// of its first answer that said that it leaves, whichever came first; zero before.
	leavingSince time.Duration
	// answeredLeaving is set once an answer of the target has said that it leaves.
	answeredLeaving bool
	// left is set once the target has called Leave; it gets no grants from then on.
	left bool
	// ended is set once the target's process is known to have ended.
	ended bool
	// startsInFuture is set if the first report named a start time ahead of this node's clock.
	startsInFuture bool
}

func (p *targetProcess) owner(node string) holding.Owner {
	return holding.Owner{Node: node, Target: p.report.ID, Born: p.report.Born}
}

// local describes the process for requests that are to be sent to it.
func (p *targetProcess) local() LocalTarget {
	return LocalTarget{
		ID: p.report.ID, Born: p.report.Born, Address: p.report.Address, Service: p.report.Service, Slots: p.report.Slots,
	}
}

// isSender reports whether the process sent the report.
func (p *targetProcess) isSender(r holding.Report) bool {
	return p.report.ID == r.ID && p.report.Born == r.Born
}

// provesEarlierEnded reports whether the reports of the process prove that those with an earlier start time have
// ended. They do not if its own start time is ahead of the clock; the grants of the others then have to lapse.
func (p *targetProcess) provesEarlierEnded() bool { return !p.startsInFuture }

func (p *targetProcess) isLeaving() bool { return p.left || p.answeredLeaving || p.report.Draining }

// isAbsent reports whether the target has ended or sent no heartbeat for longer than silence.
func (p *targetProcess) isAbsent(now, silence time.Duration) bool {
	return p.ended || now-p.heartbeatAt > silence
}

// grantsLapsed reports whether the target can no longer hold any key.
func (p *targetProcess) grantsLapsed(now time.Duration) bool { return p.ended || now > p.grantsUntil }

// Heartbeat handles a heartbeat of the local target. It returns the ranges that the target is to
// hold, and for how long, counted from when the target sent the heartbeat. It returns no grants for
// a heartbeat of an earlier process, one that arrives out of order, or one that is not of the local target.
func (o *Ownership) Heartbeat(r holding.Report) ([]holding.Grant, time.Duration) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOfLocalTarget(r) {
		o.cfg.Log.Warn("heartbeat ignored", "target", r.ID, "born", r.Born, "service", r.Service, "address", r.Address,
			"reason", "another service or address than the local target's")
		return nil, 0
	}
	process := o.processOf(r, now)
	if process == nil {
		o.cfg.Log.Info("heartbeat ignored", "target", r.ID, "born", r.Born, "sequence", r.Sequence, "reason", "earlier process or out of order")
		return nil, 0
	}
	leaving := process.isLeaving()
	process.report, process.heartbeatAt = r, now
	process.recordHandovers(r.Freed)
	o.cfg.Monitor.TargetReported(process.local(), time.Duration(r.WarmUpMillis)*time.Millisecond)
	if !leaving && r.Draining {
		process.leavingSince = now
		o.cfg.Log.Info("target draining", "target", r.ID, "sequence", r.Sequence)
		o.rebuildView(now)
		notify(o.renewSoon)
	}
	grants, hold := o.grant(process, now)
	if o.hasReleasable(process) {
		notify(o.reconcileSoon)
	}
	return grants, hold
}

// isOfLocalTarget reports whether a heartbeat can be of the local target: any process may send one to the node.
func (o *Ownership) isOfLocalTarget(r holding.Report) bool {
	return r.Service == o.cfg.Service && (o.cfg.TargetAddress == "" || r.Address == o.cfg.TargetAddress)
}

// processOf returns the target process that sent the report, or nil if the report is of an earlier
// process or out of order. A report of a later process ends the present one.
//
// A report of an earlier process is usually a delayed one and is ignored. If the present process is silent, however,
// the report that named it may have been wrong, or the clock may have been put back between the two starts. The
// earlier process then takes its place again, and the present one is kept until its grants lapse.
func (o *Ownership) processOf(r holding.Report, now time.Duration) *targetProcess {
	current := o.target
	if current != nil && current.isSender(r) {
		if r.Sequence <= current.report.Sequence || r.Address != current.report.Address {
			return nil
		}
		if current.ended {
			current.ended = false
			o.cfg.Log.Info("target sends heartbeats again", "target", r.ID)
		}
		return current
	}
	isEarlier := current != nil && r.Born < current.report.Born
	if isEarlier && now-current.heartbeatAt <= o.cfg.Timing.TargetTimeout {
		return nil
	}
	known := slices.IndexFunc(o.formerTargets, func(p *targetProcess) bool { return p.isSender(r) })
	if known >= 0 && r.Sequence <= o.formerTargets[known].report.Sequence {
		return nil
	}
	process := o.newTargetProcess(r, now)
	if known >= 0 {
		process = o.formerTargets[known]
		process.ended = false
		o.formerTargets = slices.Delete(o.formerTargets, known, known+1)
	}
	if current != nil {
		// The same target started again, or another one uses its address: the former process has
		// ended.
		ended := (current.report.ID == r.ID || current.report.Address == r.Address) && process.provesEarlierEnded() && !isEarlier
		if ended && !current.ended {
			current.ended = true
			if !current.isLeaving() {
				o.cfg.Monitor.TargetEnded()
			}
		}
		o.formerTargets = append(o.formerTargets, current)
	}
	if !process.left && o.hasAnnouncedLeave(r) {
		process.left, process.leavingSince = true, now
		o.cfg.Log.Info("first heartbeat of a target that has already left", "target", r.ID, "born", r.Born)
	}
	o.target = process
	o.cfg.Log.Info("target found", "target", r.ID, "born", r.Born, "service", r.Service, "address", r.Address, "slots", r.Slots,
		"known", known >= 0, "earlier_start", isEarlier, "starts_in_future", process.startsInFuture)
	o.rebuildView(now)
	notify(o.renewSoon)
	return process
}

// maxClockDifference is how far the start time of a target may be ahead of this node's clock. Both are on one VM and
// read the same clock, but a target may round up.
const maxClockDifference = time.Second

// newTargetProcess returns the target process of a first report.
func (o *Ownership) newTargetProcess(r holding.Report, now time.Duration) *targetProcess {
	process := &targetProcess{
		handovers: make(map[int]string), report: r, heartbeatAt: now, foundAt: now,
		// A former process of this node may have granted keys until its lease ended.
		grantsUntil:    o.started + holding.AddDrift(o.cfg.Timing.Lease),
		startsInFuture: r.Born > time.Now().Add(maxClockDifference).UnixMilli(),
	}
	if r.Draining {
		process.leavingSince = now
	}
	return process
}

// haveFormerTargetsEnded reports whether the processes of all earlier targets of this node have ended. Those that
// only a former process of the node knew ended before the present target began to report, since a node has one
// local target at a time. The caller holds the lock.
func (o *Ownership) haveFormerTargetsEnded() bool {
	if o.target != nil && !o.target.provesEarlierEnded() {
		return false
	}
	return !slices.ContainsFunc(o.formerTargets, func(p *targetProcess) bool { return !p.ended })
}

// leaveNotice records the leave call of a target that this process had no report of yet, or that
// called a former process of this node.
type leaveNotice struct {
	// born is the start time of the target process, zero if unknown, and receivedAt the time of the
	// call, both in Unix milliseconds.
	born, receivedAt int64
}

// hasAnnouncedLeave reports whether the target process that sent the report has called Leave. A
// target with the same id that was started later has not.
func (o *Ownership) hasAnnouncedLeave(r holding.Report) bool {
	notice, known := o.leaveNotices[r.ID]
	if !known {
		return false
	}
	if notice.born != 0 {
		return notice.born == r.Born
	}
	return r.Born <= notice.receivedAt
}

// recordHandovers records the handover tokens of the slices that the released ranges cover whole.
func (p *targetProcess) recordHandovers(freed []holding.Freed) {
	for _, f := range freed {
		first, end := f.Slices()
		for slice := first; slice < end; slice++ {
			p.handovers[slice] = f.Handover
		}
	}
}

// grant returns the target's grants and their duration, and records them. The caller holds the lock.
func (o *Ownership) grant(process *targetProcess, now time.Duration) ([]holding.Grant, time.Duration) {
	t := o.tables[process.report.Service]
	if t == nil || process.left {
		return nil, 0
	}
	hold := o.lease.GrantDuration(now, o.cfg.Timing.HoldMax)
	if hold == 0 {
		return nil, 0
	}
	owner := process.owner(o.cfg.Self.Name)
	grants := t.GrantsFrom(owner, process.report.Held, o.cfg.ResponseLimit, func(slice int) bool {
		return o.isCertain(t.Service, owner, slice)
	})
	previousResponse := process.lastResponse
	process.lastResponse = now
	for _, g := range grants {
		for slice := holding.SliceOf(g.From); slice <= holding.SliceOf(g.To); slice++ {
			if process.lastGranted[slice] != previousResponse || previousResponse == 0 {
				process.grantedSince[slice] = now
			}
			process.lastGranted[slice], process.refused[slice] = now, false
			delete(process.handovers, slice)
		}
	}
	process.grantsUntil = max(process.grantsUntil, now+holding.AddDrift(hold))
	return grants, hold
}

// hasReleasable reports whether any moving slice can go to its next owner.
func (o *Ownership) hasReleasable(process *targetProcess) bool {
	t := o.tables[process.report.Service]
	return t != nil && len(o.releasable(t, process, o.cfg.Clock())) > 0
}

// releasable returns the moving slices that the target has released, with their handover tokens.
// Only a heartbeat received after the last response that granted the slice can show that the target
// has released it: an earlier one was sent before the target took the slice. Since a former process of the
// node may have granted it, the first heartbeat that this process received shows nothing either: it may have been
// delayed and older than that grant.
func (o *Ownership) releasable(t *table, process *targetProcess, now time.Duration) map[int]string {
	held := process.report.Held
	if process.grantsLapsed(now) {
		held = nil
	}
	owner := process.owner(o.cfg.Self.Name)
	released := t.Releasable(owner, held, process.handovers)
	for slice := range released {
		if !o.isCertain(t.Service, owner, slice) {
			delete(released, slice)
		}
		if !process.grantsLapsed(now) && process.heartbeatAt <= max(process.lastGranted[slice], process.foundAt) {
			delete(released, slice)
		}
	}
	return released
}

// Leave records a leave call, by which a target announces that its process ends. born is the start
// time of the target process in Unix milliseconds, or zero if the target did not send it.
func (o *Ownership) Leave(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	process := o.target
	if process == nil || process.report.ID != id || born != 0 && born != process.report.Born {
		// A process that has just started does not know its target yet. The call is acknowledged
		// nevertheless, so it must be kept and take effect at the target's first heartbeat.
		o.leaveNotices[id] = leaveNotice{born: born, receivedAt: time.Now().UnixMilli()}
		o.cfg.Log.Info("leave call of an unknown target", "target", id, "born", born)
		return
	}
	if !process.isLeaving() {
		process.leavingSince = now
	}
	process.left = true
	o.cfg.Log.Info("target left", "target", id)
	o.rebuildView(now)
	notify(o.renewSoon)
	notify(o.reconcileSoon)
}

// ReportTargetLeaving records that the target process has said in an answer that it leaves.
func (o *Ownership) ReportTargetLeaving(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	process := o.target
	if process == nil || process.report.ID != id || process.report.Born != born || process.answeredLeaving {
		return
	}
	if !process.isLeaving() {
		process.leavingSince = now
	}
	process.answeredLeaving = true
	o.cfg.Log.Info("target says in its answers that it leaves", "target", id, "born", born)
	o.rebuildView(now)
	notify(o.renewSoon)
	notify(o.reconcileSoon)
}

// ReportTargetEnded records that nothing listens at the target's address, so its process has ended.
func (o *Ownership) ReportTargetEnded(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	process := o.target
	if process == nil || process.ended || process.report.ID != id || process.report.Born != born {
		return
	}
	process.ended = true
	o.cfg.Monitor.TargetEnded()
	o.cfg.Log.Warn("dependency lost", "dependency", "target", "target", id, "reason", "connection refused")
	o.rebuildView(now)
	notify(o.renewSoon)
	notify(o.reconcileSoon)
}
