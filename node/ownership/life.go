package ownership

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
)

// life is one life of the target beside this node.
type life struct {
	report holding.Report
	heard  time.Duration
	// holdUntil is when the last grant has lapsed on the target's clock.
	holdUntil time.Duration
	// granted is when an answer last named the slice, and since when all answers did; answered is
	// when the last one was given.
	granted, since [holding.Slices]time.Duration
	answered       time.Duration
	// freed are the handover tokens of released slices.
	freed map[int]string
	// leftAt is when the target said that it leaves; zero before.
	leftAt time.Duration
	left   bool
	// dead tells that the target's process is known to be gone.
	dead bool
}

func (l *life) owner(node string) holding.Owner {
	return holding.Owner{Node: node, Target: l.report.ID, Born: l.report.Born}
}

func (l *life) isLeaving() bool { return l.left || l.report.Draining }

// isGone reports whether the target does not count as present.
func (l *life) isGone(now, silence time.Duration) bool { return l.dead || now-l.heard > silence }

// isLapsed reports whether the target can hold no key any more.
func (l *life) isLapsed(now time.Duration) bool { return l.dead || now > l.holdUntil }

// Heartbeat takes a report of the target beside this node and returns what it shall hold, and
// for how long from when it sent the report.
func (o *Ownership) Heartbeat(r holding.Report) ([]holding.Grant, time.Duration) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lifeOf(r, now)
	if l == nil {
		o.cfg.Log.Info("heartbeat ignored", "target", r.ID, "born", r.Born, "sequence", r.Sequence, "reason", "earlier life or out of order")
		return nil, 0
	}
	leaving := l.isLeaving()
	l.report, l.heard = r, now
	l.noteFreed(r.Freed)
	if !leaving && r.Draining {
		l.leftAt = now
		o.cfg.Log.Info("target leaves", "target", r.ID, "sequence", r.Sequence)
		o.rebuild(now)
		signal(o.renew)
	}
	grants, hold := o.grant(l, now)
	if o.hasReleased(l) {
		signal(o.kick)
	}
	return grants, hold
}

// lifeOf returns the life that the report is of, or nil for a report of an earlier one.
func (o *Ownership) lifeOf(r holding.Report, now time.Duration) *life {
	current := o.life
	if current != nil && current.report.ID == r.ID && current.report.Born == r.Born {
		if r.Sequence < current.report.Sequence {
			return nil
		}
		if current.dead {
			current.dead = false
			o.cfg.Log.Info("target answers again", "target", r.ID)
		}
		return current
	}
	if current != nil && r.Born < current.report.Born {
		return nil
	}
	if current != nil {
		// The same id started again, or another target took the address: the former life is over.
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
		// A former process of this node may have granted keys for as long as its lease lasted.
		holdUntil: o.started + holding.Stretch(o.cfg.Timing.Lease),
	}
	if r.Draining {
		o.life.leftAt = now
	}
	if o.hasLeft(r) {
		o.life.left, o.life.leftAt = true, now
		o.cfg.Log.Info("target left before it was known", "target", r.ID, "born", r.Born)
	}
	o.cfg.Log.Info("target found", "target", r.ID, "born", r.Born, "service", r.Service, "address", r.Address, "slots", r.Slots)
	o.rebuild(now)
	signal(o.renew)
	return o.life
}

// departure is the word that a target leaves, taken before any of its reports or by a former
// process of this node.
type departure struct {
	// born is the Unix millisecond of the target's start, zero if that is not known, and at that of
	// the word.
	born, at int64
}

// hasLeft reports whether the reported life of the target is one that has said that it leaves: the
// same id may start again.
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

func (l *life) noteFreed(freed []holding.Freed) {
	for _, f := range freed {
		for slice := holding.SliceOf(f.From); slice < holding.Slices && (slice+1)*holding.SliceKeys-1 <= f.To; slice++ {
			if slice*holding.SliceKeys >= f.From {
				l.freed[slice] = f.Handover
			}
		}
	}
}

// grant returns the target's grants and records what was granted; the caller holds the lock.
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

// hasReleased reports whether a moving slice can go to its next owner.
func (o *Ownership) hasReleased(l *life) bool {
	t := o.tables[l.report.Service]
	return t != nil && len(o.releasable(t, l, o.cfg.Clock())) > 0
}

// releasable returns the moving slices that the target has released, with their tokens. Only a
// heartbeat that came after the last answer which named the slice can show that it is released:
// what the target reported before that answer says nothing of it.
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

// Leave takes the word of the target that it ends.
func (o *Ownership) Leave(id string, born int64) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.life
	if l == nil || l.report.ID != id || born != 0 && born != l.report.Born {
		// A process that has just started does not know its target yet, and its word binds.
		o.departed[id] = departure{born: born, at: time.Now().UnixMilli()}
		o.cfg.Log.Info("leave of an unknown target", "target", id, "born", born)
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

// TargetGone records that nothing listens at the target's address any more.
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
