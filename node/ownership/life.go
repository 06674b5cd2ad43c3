package ownership

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// life is one process of the local target, identified by the target's id and start time.
type life struct {
	// report is the latest heartbeat, which was received at heard.
	report holding.Report
	heard  time.Duration
	// holdUntil is when the last grant has surely expired on the target's clock.
	holdUntil time.Duration
	// granted is when a heartbeat response last granted the slice, since when every response has
	// granted it; answered is the time of the last response.
	granted, since [holding.Slices]time.Duration
	answered       time.Duration
	// freed holds the handover tokens of released slices by slice.
	freed map[int]string
	// leftAt is when the target announced that it leaves; zero before.
	leftAt time.Duration
	// left is set once the target has called Leave; it gets no grants from then on.
	left bool
	// dead is set once the target's process is known to have ended.
	dead bool
}

func (l *life) owner(node string) holding.Owner {
	return holding.Owner{Node: node, Target: l.report.ID, Born: l.report.Born}
}

func (l *life) isLeaving() bool { return l.left || l.report.Draining }

// isGone reports whether the target has ended or sent no heartbeat for longer than silence.
func (l *life) isGone(now, silence time.Duration) bool { return l.dead || now-l.heard > silence }

// isLapsed reports whether the target can no longer hold any key.
func (l *life) isLapsed(now time.Duration) bool { return l.dead || now > l.holdUntil }

// Heartbeat handles a heartbeat of the local target. It returns the ranges that the target is to
// hold, and for how long, counted from when the target sent the heartbeat. It returns no grants for
// a heartbeat of an earlier process or one that arrives out of order.
func (o *Ownership) Heartbeat(r holding.Report) ([]holding.Grant, time.Duration) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lifeOf(r, now)
	if l == nil {
		o.cfg.Log.Info("heartbeat ignored", "target", r.ID, "born", r.Born, "sequence", r.Sequence, "reason", "earlier process or out of order")
		return nil, 0
	}
	leaving := l.isLeaving()
	l.report, l.heard = r, now
	l.noteFreed(r.Freed)
	if !leaving && r.Draining {
		l.leftAt = now
		o.cfg.Log.Info("target draining", "target", r.ID, "sequence", r.Sequence)
		o.rebuild(now)
		signal(o.renew)
	}
	grants, hold := o.grant(l, now)
	if o.hasReleased(l) {
		signal(o.kick)
	}
	return grants, hold
}

// lifeOf returns the target process that sent the report, or nil if the report is of an earlier
// process or out of order. A report of a later process ends the present one.
func (o *Ownership) lifeOf(r holding.Report, now time.Duration) *life {
	current := o.life
	if current != nil && current.report.ID == r.ID && current.report.Born == r.Born {
		if r.Sequence < current.report.Sequence {
			return nil
		}
		if current.dead {
			current.dead = false
			o.cfg.Log.Info("target sends heartbeats again", "target", r.ID)
		}
		return current
	}
	if current != nil && r.Born < current.report.Born {
		return nil
	}
	if current != nil {
		// The same target started again, or another one uses its address: the former process has
		// ended.
		over := current.report.ID == r.ID || current.report.Address == r.Address
		if over && !current.dead {
			current.dead = true
			if !current.isLeaving() {
				o.cfg.Measure.TargetEnded()
			}
		}
		o.former = append(o.former, current)
	}
	o.life = &life{
		freed: make(map[int]string), report: r, heard: now,
		// A former process of this node may have granted keys until its lease ended.
		holdUntil: o.started + holding.Stretch(o.cfg.Timing.Lease),
	}
	if r.Draining {
		o.life.leftAt = now
	}
	if o.hasLeft(r) {
		o.life.left, o.life.leftAt = true, now
		o.cfg.Log.Info("target had announced its end before its first heartbeat", "target", r.ID, "born", r.Born)
	}
	o.cfg.Log.Info("target found", "target", r.ID, "born", r.Born, "service", r.Service, "address", r.Address, "slots", r.Slots)
	o.rebuild(now)
	signal(o.renew)
	return o.life
}

// departure records a call of Leave by a target that this process had no report of yet, or that
// called a former process of this node.
type departure struct {
	// born is the start time of the target process, zero if unknown, and at the time of the call,
	// both in Unix milliseconds.
	born, at int64
}

// hasLeft reports whether the target process that sent the report has called Leave. A target with
// the same id that was started later has not.
func (o *Ownership) hasLeft(r holding.Report) bool {
	d, known := o.departed[r.ID]
	if !known {
		return false
	}
	if d.born != 0 {
		return d.born == r.Born
	}
	return r.Born <= d.at
}

// noteFreed records the handover tokens of the slices that the released ranges cover whole.
func (l *life) noteFreed(freed []holding.Freed) {
	for _, f := range freed {
		for slice := holding.SliceOf(f.From); slice < holding.Slices && (slice+1)*holding.SliceKeys-1 <= f.To; slice++ {
			if slice*holding.SliceKeys >= f.From {
				l.freed[slice] = f.Handover
			}
		}
	}
}

// grant returns the target's grants and their duration, and records them. The caller holds the lock.
func (o *Ownership) grant(l *life, now time.Duration) ([]holding.Grant, time.Duration) {
	t := o.tables[l.report.Service]
	if t == nil || l.left {
		return nil, 0
	}
	hold := o.lease.Hold(now, o.cfg.Timing.HoldMax)
	if hold == 0 {
		return nil, 0
	}
	grants := t.Grants(l.owner(o.cfg.Self.Name), l.report.Held, o.cfg.AnswerSize)
	former := l.answered
	l.answered = now
	for _, g := range grants {
		for slice := holding.SliceOf(g.From); slice <= holding.SliceOf(g.To); slice++ {
			if l.granted[slice] != former || former == 0 {
				l.since[slice] = now
			}
			l.granted[slice] = now
			delete(l.freed, slice)
		}
	}
	l.holdUntil = max(l.holdUntil, now+holding.Stretch(hold))
	return grants, hold
}

// hasReleased reports whether any moving slice can go to its next owner.
func (o *Ownership) hasReleased(l *life) bool {
	t := o.tables[l.report.Service]
	return t != nil && len(o.releasable(t, l, o.cfg.Clock())) > 0
}

// releasable returns the moving slices that the target has released, with their handover tokens.
// Only a heartbeat received after the last response that granted the slice can show that the target
// has released it: an earlier one was sent before the target took the slice.
func (o *Ownership) releasable(t *table, l *life, now time.Duration) map[int]string {
	held := l.report.Held
	if l.isLapsed(now) {
		held = nil
	}
	ready := t.Releasable(l.owner(o.cfg.Self.Name), held, l.freed)
	for slice := range ready {
		if !l.isLapsed(now) && l.heard <= l.granted[slice] {
			delete(ready, slice)
		}
	}
	return ready
}

// Leave records that a target announces its end. born is the start time of the target process in
// Unix milliseconds, or zero if the target did not send it.
func (o *Ownership) Leave(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.life
	if l == nil || l.report.ID != id || born != 0 && born != l.report.Born {
		// A process that has just started does not know its target yet. The call is acknowledged
		// nevertheless, so it must be kept and take effect at the target's first heartbeat.
		o.departed[id] = departure{born: born, at: time.Now().UnixMilli()}
		o.cfg.Log.Info("unknown target announced its end", "target", id, "born", born)
		return
	}
	if !l.isLeaving() {
		l.leftAt = now
	}
	l.left = true
	o.cfg.Log.Info("target left", "target", id)
	o.rebuild(now)
	signal(o.renew)
	signal(o.kick)
}

// TargetGone records that nothing listens at the target's address, so its process has ended.
func (o *Ownership) TargetGone(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.life
	if l == nil || l.dead || l.report.ID != id || l.report.Born != born {
		return
	}
	l.dead = true
	o.cfg.Measure.TargetEnded()
	o.cfg.Log.Warn("dependency lost", "dependency", "target", "target", id, "reason", "connection refused")
	o.rebuild(now)
	signal(o.renew)
	signal(o.kick)
}
