package admission

import "time"

// delayGauge distinguishes overload from a short burst by the minimum queue delay within an
// interval, like CoDel. Overload begins when that minimum exceeds the target and ends when
// it falls below half of the target.
type delayGauge struct {
	// until is the end of the current interval.
	until      time.Duration
	least      time.Duration
	seen       bool
	overloaded bool
}

// observe records the queue delay of an item that was started.
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

// allowedDelay returns the queue delay above which short work is shed: the delay target
// during overload, the longer interval otherwise.
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
