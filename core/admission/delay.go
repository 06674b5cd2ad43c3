package admission

import "time"

// delayGauge tells overload from a short burst by the least queue delay within an interval,
// as CoDel does. Overload ends when the delay falls below half of its target.
type delayGauge struct {
	// until is the end of the current interval.
	until      time.Duration
	least      time.Duration
	seen       bool
	overloaded bool
}

// observe takes the delay of one started item into account.
func (g *delayGauge) observe(now, waited, target, interval time.Duration) {
	if now >= g.until {
		g.judge(target)
		g.until = now + interval
		g.seen = false
	}
	if !g.seen || waited < g.least {
		g.least = waited
		g.seen = true
	}
}

func (g *delayGauge) judge(target time.Duration) {
	switch {
	case !g.seen || g.least < target/2:
		g.overloaded = false
	case g.least > target:
		g.overloaded = true
	}
}

// allowedDelay returns the queue delay that short work may have now.
func (q *Queue) allowedDelay() time.Duration {
	if len(q.short) == 0 {
		q.delay.overloaded = false
	}
	if q.delay.overloaded {
		return q.delayTarget()
	}
	return q.delayInterval()
}

func (q *Queue) delayTarget() time.Duration {
	return max(q.policy.DelayFloor, time.Duration(q.policy.DelayTarget*float64(q.learner.typical())))
}

func (q *Queue) delayInterval() time.Duration {
	return time.Duration(float64(q.delayTarget()) * q.policy.DelayInterval / q.policy.DelayTarget)
}
