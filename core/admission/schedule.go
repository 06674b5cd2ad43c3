package admission

import (
	"math"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const (
	// shortCheckInterval is the maximum time between calls of Next while short work waits.
	shortCheckInterval = 5 * time.Millisecond
	// longCheckInterval is the maximum time between calls of Next while only long work waits.
	longCheckInterval = 25 * time.Millisecond
)

// Next sheds waiting requests that have waited too long and starts those for which a slot is
// free. It must be called after each Finish and whenever the time that NextCheck returned has
// passed.
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
			q.detector.observe(now, waited, q.delayTarget(), q.delayInterval())
		}
		decisions = append(decisions, Decision{ID: it.ID, Verdict: Start, Waited: waited})
	}
}

// NextCheck returns the time after which Next must be called if no other event occurs. It
// returns false if nothing waits and no call is needed.
func (q *Queue) NextCheck() (time.Duration, bool) {
	if len(q.short) > 0 {
		return shortCheckInterval, true
	}
	return longCheckInterval, len(q.long) > 0
}

// pick removes and returns the waiting item that starts next, or nil if none can start. Long
// work goes first while it holds no slot; otherwise short work does.
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

// pickFrom removes and returns the oldest item whose key is below its share of the slots, or
// else the oldest one whose key would leave at least one slot to other keys.
func (q *Queue) pickFrom(now time.Duration, list *[]*item) *item {
	for _, limit := range []int{q.keySoftLimit(), q.keyHardLimit()} {
		for i, it := range *list {
			if q.withinKeyLimit(it, limit) && q.mayStart(now, it) {
				return q.remove(list, i)
			}
		}
	}
	return nil
}

// mayStart reports whether a slot is free that the item may take.
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
	return q.withinKeyLimit(it, q.keyHardLimit())
}

// longMayStart reports whether a long item may start. One slot is always available to long
// work; further slots only up to the limit and after the item has waited for LongStartDelay.
func (q *Queue) longMayStart(now time.Duration, it *item, slots int) bool {
	if q.runningLong == 0 {
		return true
	}
	if q.runningLong >= q.longLimit(slots) {
		return false
	}
	minWait := time.Duration(q.policy.LongStartDelay * float64(it.expected))
	return now-it.arrived >= minWait
}

// withinKeyLimit reports whether the item's key holds fewer slots than limit and, for an item with
// Work.Exclusive, no other such item runs.
func (q *Queue) withinKeyLimit(it *item, limit int) bool {
	if q.policy.Discipline == FirstCome {
		return true
	}
	if it.Exclusive && q.runningExclusive > 0 {
		return false
	}
	return q.keyRunning[it.Key] < limit
}

func (q *Queue) keySoftLimit() int {
	return max(1, int(math.Ceil(float64(q.slots)*q.policy.KeyShare)))
}

func (q *Queue) keyHardLimit() int { return max(1, q.slots-1) }

// longLimit returns the maximum number of slots that long work may hold.
func (q *Queue) longLimit(slots int) int {
	return max(1, int(float64(slots)*q.policy.LongShare+0.5))
}

// isLong reports whether work of the class counts as long. An unknown class counts as long
// until its first request has finished, so that a burst of a new class cannot fill the slots.
func (q *Queue) isLong(class Class) bool {
	if q.policy.Discipline == FirstCome {
		return false
	}
	estimate, known := q.estimator.estimate(class)
	return !known || estimate > q.longThreshold()
}

func (q *Queue) longThreshold() time.Duration {
	typical := time.Duration(float64(q.estimator.typical()) * q.policy.LongFactor)
	return max(typical, q.policy.LongFloor)
}

// checkOverruns reclassifies running short work as long once it exceeds the threshold and
// updates the estimate of its class. A wrong estimate is thus corrected after at most the
// threshold.
func (q *Queue) checkOverruns(now time.Duration) {
	if q.policy.Discipline == FirstCome || q.estimator.count == 0 {
		return
	}
	threshold := q.longThreshold()
	for _, it := range q.running {
		if it.long || now-it.started <= threshold {
			continue
		}
		it.long = true
		q.runningLong++
		q.estimator.observe(now, it.Class, now-it.started)
		q.reclassify(it.Class)
	}
}

// reclassify moves the waiting work of a class that has become long to the end of the long
// list.
func (q *Queue) reclassify(class Class) {
	if !q.isLong(class) {
		return
	}
	kept := q.short[:0]
	for _, it := range q.short {
		if it.Class != class {
			kept = append(kept, it)
			continue
		}
		it.long = true
		q.long = append(q.long, it)
	}
	clear(q.short[len(kept):])
	q.short = kept
}

// shed drops waiting work that is past its deadline, can no longer meet it or, for short work,
// has waited longer than allowedDelay.
func (q *Queue) shed(now time.Duration) []Decision {
	var decisions []Decision
	for _, list := range []*[]*item{&q.short, &q.long} {
		for i := 0; i < len(*list); {
			it := (*list)[i]
			reason := q.shedReason(now, it)
			if reason == "" {
				i++
				continue
			}
			q.remove(list, i)
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
