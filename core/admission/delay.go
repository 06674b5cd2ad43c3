package admission

import "time"

// overloadDetector distinguishes overload from a short burst by the minimum queue delay within
// an interval, like CoDel. Overload begins when that minimum exceeds the target and ends when it
// falls below half of the target.
type overloadDetector struct {
	// intervalEnd is the end of the current interval.
	intervalEnd time.Duration
	minDelay    time.Duration
	hasSample   bool
	overloaded  bool
}

// observe records the queue delay of an item that was started.
func (d *overloadDetector) observe(now, waited, target, interval time.Duration) {
	if now >= d.intervalEnd {
		d.updateState(target)
		d.intervalEnd = now + interval
		d.hasSample = false
	}
	if !d.hasSample || waited < d.minDelay {
		d.minDelay = waited
		d.hasSample = true
	}
}

func (d *overloadDetector) updateState(target time.Duration) {
	switch {
	case !d.hasSample || d.minDelay < target/2:
		d.overloaded = false
	case d.minDelay > target:
		d.overloaded = true
	}
}

// allowedDelay returns the queue delay above which short work is shed: the delay target
// during overload, the longer interval otherwise. Overload also ends when no short work waits.
func (q *Queue) allowedDelay() time.Duration {
	if len(q.short) == 0 {
		q.detector.overloaded = false
	}
	if q.detector.overloaded {
		return q.delayTarget()
	}
	return q.delayInterval()
}

func (q *Queue) delayTarget() time.Duration {
	return max(q.policy.DelayFloor, time.Duration(q.policy.DelayTarget*float64(q.estimator.typical())))
}

func (q *Queue) delayInterval() time.Duration {
	return time.Duration(float64(q.delayTarget()) * q.policy.DelayInterval / q.policy.DelayTarget)
}
