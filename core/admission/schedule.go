package admission

import (
	"math"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const (
	// shortCheck is how often a queue with waiting short work wants to be looked at.
	shortCheck = 5 * time.Millisecond
	// longCheck is the same when only long work waits.
	longCheck = 25 * time.Millisecond
)

// Next sheds what has waited too long and starts what has a slot. It must be called after
// each Finish, and when NextCheck says so.
func (q *Queue) Next(now time.Duration) []Decision {
	q.checkOverruns(now)
	decisions := q.shed(now)
	for {
		it := q.pick(now)
		if it == nil {
			return decisions
		}
		q.start(now, it)
		waited := now - it.arrived
		if !it.long {
			q.delay.observe(now, waited, q.delayTarget(), q.delayInterval())
		}
		decisions = append(decisions, Decision{ID: it.ID, Verdict: Start, Waited: waited})
	}
}

// NextCheck returns how long Next may be put off when nothing else happens; false means as
// long as nothing changes.
func (q *Queue) NextCheck() (time.Duration, bool) {
	if len(q.short) > 0 {
		return shortCheck, true
	}
	return longCheck, len(q.long) > 0
}

// pick removes and returns the waiting item that starts next, or nil. Long work is sure of
// one slot; beyond that short work goes first.
func (q *Queue) pick(now time.Duration) *item {
	if len(q.running) >= q.Slots(now) {
		return nil
	}
	if q.policy.Discipline == FirstCome {
		return q.pickFrom(now, &q.short)
	}
	if q.runningLong == 0 {
		if it := q.pickFrom(now, &q.long); it != nil {
			return it
		}
	}
	if it := q.pickFrom(now, &q.short); it != nil {
		return it
	}
	return q.pickFrom(now, &q.long)
}

// pickFrom takes the oldest item whose key is within its share, or else the oldest whose key
// leaves at least one slot to others.
func (q *Queue) pickFrom(now time.Duration, line *[]*item) *item {
	for _, limit := range []int{q.keySoftLimit(), q.keyHardLimit()} {
		for i, it := range *line {
			if q.keyFree(it, limit) && q.mayStart(now, it) {
				return q.remove(line, i)
			}
		}
	}
	return nil
}

// mayStart reports whether a slot is free for the item.
func (q *Queue) mayStart(now time.Duration, it *item) bool {
	slots := q.Slots(now)
	if len(q.running) >= slots {
		return false
	}
	if q.policy.Discipline == FirstCome {
		return true
	}
	if it.long && !q.longMayStart(now, it, slots) {
		return false
	}
	return q.keyFree(it, q.keyHardLimit())
}

// longMayStart reports whether long work may take one more of the slots: one is its own, others
// only after it has waited.
func (q *Queue) longMayStart(now time.Duration, it *item, slots int) bool {
	if q.runningLong == 0 {
		return true
	}
	if q.runningLong >= q.longLimit(slots) {
		return false
	}
	patience := time.Duration(q.policy.LongPatience * float64(it.expected))
	return now-it.arrived >= patience
}

// keyFree reports whether the item's key holds fewer slots than limit, and no other item that
// must be alone is in the item's way.
func (q *Queue) keyFree(it *item, limit int) bool {
	if q.policy.Discipline == FirstCome {
		return true
	}
	if it.Alone && q.runningAlone > 0 {
		return false
	}
	return q.keyRunning[it.Key] < limit
}

func (q *Queue) keySoftLimit() int {
	return max(1, int(math.Ceil(float64(q.slots)*q.policy.KeyShare)))
}

func (q *Queue) keyHardLimit() int { return max(1, q.slots-1) }

// longLimit returns how many of the slots long work may hold.
func (q *Queue) longLimit(slots int) int {
	return max(1, int(float64(slots)*q.policy.LongShare+0.5))
}

// isLong reports whether work of the class counts as long. A class that was never seen does
// until its first piece has ended, so that no burst of a new class can fill the slots.
func (q *Queue) isLong(class Class) bool {
	if q.policy.Discipline == FirstCome {
		return false
	}
	estimate, known := q.learner.estimate(class)
	return !known || estimate > q.longThreshold()
}

func (q *Queue) longThreshold() time.Duration {
	typical := time.Duration(float64(q.learner.typical()) * q.policy.LongFactor)
	return max(typical, q.policy.LongFloor)
}

// checkOverruns counts running work as long once it takes longer than short work may, and
// teaches its class, so that a wrong guess costs at most that time.
func (q *Queue) checkOverruns(now time.Duration) {
	if q.policy.Discipline == FirstCome || q.learner.count == 0 {
		return
	}
	threshold := q.longThreshold()
	for _, it := range q.running {
		if it.long || now-it.started <= threshold {
			continue
		}
		it.long = true
		q.runningLong++
		q.learner.observe(now, it.Class, now-it.started)
		q.reclassify(it.Class)
	}
}

// reclassify moves waiting work of a class that turned long behind the long work.
func (q *Queue) reclassify(class Class) {
	if !q.isLong(class) {
		return
	}
	stay := q.short[:0]
	for _, it := range q.short {
		if it.Class != class {
			stay = append(stay, it)
			continue
		}
		it.long = true
		q.long = append(q.long, it)
	}
	clear(q.short[len(stay):])
	q.short = stay
}

// shed drops waiting work that is past its deadline, cannot meet it, or, for short work, has
// waited longer than the load allows.
func (q *Queue) shed(now time.Duration) []Decision {
	var decisions []Decision
	for _, line := range []*[]*item{&q.short, &q.long} {
		for i := 0; i < len(*line); {
			it := (*line)[i]
			reason := q.shedReason(now, it)
			if reason == "" {
				i++
				continue
			}
			q.remove(line, i)
			waited := now - it.arrived
			decisions = append(decisions, Decision{ID: it.ID, Verdict: Drop, Reason: reason, Waited: waited})
		}
	}
	return decisions
}

func (q *Queue) shedReason(now time.Duration, it *item) outcome.Reason {
	if q.policy.Discipline == FirstCome {
		return ""
	}
	if it.Deadline != 0 && now >= it.Deadline {
		return outcome.ReasonDeadline
	}
	if it.Deadline != 0 && now+it.expected > it.Deadline {
		return outcome.ReasonShed
	}
	if !it.long && now-it.arrived > q.allowedDelay() {
		return outcome.ReasonShed
	}
	return ""
}
