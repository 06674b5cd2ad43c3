// Package coldstart decides how many requests a target may be sent that crashes at its usual load while it is cold:
// after its start, and at any later moment without a restart.
//
// A target counts as cold until an answer to a probe that this process of the node has sent shows otherwise. Such a
// confirmation is valid for a limited number of requests, so that a target that becomes cold right after it gets no
// more than it tolerates before the next probe is answered.
//
// Nothing here reads a clock or locks: times are passed in, and the caller must serialize the calls.
package coldstart

import (
	"math"
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
)

const (
	// validity is the longest time for which a confirmation counts, which matters for targets with few requests. It is
	// the window in which a target tolerates its bound.
	validity = time.Second
	// repeatInterval is the interval of probes while a target stays cold or does not answer. Four probes a second do
	// not matter beside the requests that a cold target tolerates, should it count them.
	repeatInterval = 250 * time.Millisecond
	// minRepeat is the shortest time between the end of a probe that did not show the target to be warm and the next one.
	minRepeat = 20 * time.Millisecond
	// restarts is the number of requests beyond the pace that may start because a restarted node does not know when the
	// former process sent its last one.
	restarts = 1
)

// Bounds are the bounds of a service's cold targets.
type Bounds struct {
	// Rate is the number of requests per second that a cold target is paced to; zero if cold targets need no limit.
	Rate float64
	// Factor and Slack give the largest number of requests in any one second: Rate times Factor plus Slack.
	Factor, Slack float64
}

// Enabled reports whether cold targets have a limit. Rates that are no positive finite number give none.
func (b Bounds) Enabled() bool { return b.Rate > 0 && !math.IsInf(b.Rate, 1) }

// Allowed returns the largest number of requests that a cold target may be sent in any one second.
func (b Bounds) Allowed() float64 { return b.Rate*max(1, b.Factor) + max(0, b.Slack) }

// Sends returns the number of requests for which a confirmation is valid: half of what is left of the bound beside the
// cold rate, at least one. The other half covers the variation of the pace.
func (b Bounds) Sends() int {
	const most = 1 << 20
	return int(min(most, max(1, math.Floor((b.Allowed()-b.Rate)/2))))
}

// Pace returns the limit of a target that may be cold. It is the cold rate, or less if the requests of a confirmation,
// a restart of the node and the allowance that a ratelimit.Pacer saves up would exceed the bound together. The pacer
// keeps a lowest rate, so that a target with a bound of almost nothing is not cut off.
func (b Bounds) Pace() ratelimit.Limit {
	if !b.Enabled() {
		return ratelimit.Limit{}
	}
	afterConfirmation := b.Allowed() - float64(b.Sends()) - 1 - restarts
	afterPause := (b.Allowed() - 1) / (1 + ratelimit.Burst.Seconds())
	return ratelimit.Limit{PerSecond: max(0, min(b.Rate, afterConfirmation, afterPause)), Valid: true}
}

// Unknown returns the bounds of a target whose service is not known yet: the slack alone, which every service allows.
// Without a slack there is no limit.
func Unknown(slack float64) Bounds {
	const saved = 1 + float64(ratelimit.Burst)/float64(time.Second)
	return Bounds{Rate: max(0, slack) / saved, Factor: saved}
}

// Tracker is the state of one target process. The zero value is a process without bounds that is not known.
type Tracker struct {
	process exchange.TargetProcess
	bounds  Bounds
	// coldUntil is until when the target has been said to be cold.
	coldUntil time.Duration
	// statedAt is when something was last learned that probes sent before cannot refute: a heartbeat that said that the
	// target is cold, or the end of a time in which nothing was known of it.
	statedAt time.Duration
	// answered is set once the target has said in an answer whether it is cold. saidZero is set once it has named a cold
	// time of zero, so that an answer that names none means nothing.
	answered, saidZero bool
	// confirmed is set if the target was last found warm, by a probe sent at confirmedAt. since counts the requests
	// that started after that.
	confirmed   bool
	confirmedAt time.Duration
	since       int
	probe       probe
}

// probe is the last probe of a target.
type probe struct {
	underway bool
	sentAt   time.Duration
	// since counts the requests that started after the probe was sent or may have been sent after it.
	since int
	// nextAt is when the next probe may be sent if this one did not show that the target is warm.
	nextAt time.Duration
	// failed is set if the last probe that has ended was not answered, and saidCold if it showed that the target is cold.
	failed, saidCold bool
}

// Statement is what the answer to a probe says.
type Statement struct {
	// ColdFor is how long the target stays cold, zero if it is warm; valid only if Stated is set.
	ColdFor time.Duration
	Stated  bool
}

// Follow makes the tracker follow a process, and forgets the former one if it is another. It reports whether it is.
func (t *Tracker) Follow(p exchange.TargetProcess) bool {
	if p == t.process {
		return false
	}
	*t = Tracker{process: p, bounds: t.bounds}
	return true
}

// Process returns the process that the tracker follows.
func (t *Tracker) Process() exchange.TargetProcess { return t.process }

// SetBounds sets the bounds of the target.
func (t *Tracker) SetBounds(b Bounds) { t.bounds = b }

// Reported records that a heartbeat received now said that the target stays cold for a time. Since it may have been
// sent seconds ago, it can only prolong the cold time, and a later probe decides whether it is still right.
func (t *Tracker) Reported(now, coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	t.coldUntil, t.statedAt, t.confirmed = max(t.coldUntil, now+coldFor), now, false
	t.probe.saidCold = false
}

// Unconfirm forgets that the target was found warm, because it may have become cold while nothing was sent to it. Only
// probes that are sent from now on show that it is warm.
func (t *Tracker) Unconfirm(now time.Duration) {
	t.statedAt, t.confirmed, t.answered = now, false, false
	t.probe.nextAt, t.probe.saidCold = 0, false
}

// Started counts a request that is to be sent to the target.
func (t *Tracker) Started() {
	t.since++
	t.probe.since++
}

// isConfirmed reports whether the target counts as warm.
func (t *Tracker) isConfirmed(now time.Duration) bool {
	return t.confirmed && t.since < t.bounds.Sends() && now-t.confirmedAt < validity
}

// Allowance returns what may be sent to the target.
func (t *Tracker) Allowance(now time.Duration) ratelimit.Allowance {
	if !t.bounds.Enabled() {
		return ratelimit.Allowance{}
	}
	a := ratelimit.Allowance{Limit: t.bounds.Pace()}
	if t.isConfirmed(now) {
		a.Free = t.bounds.Sends() - t.since
		return a
	}
	isCold := now < t.coldUntil
	if isCold {
		a.Until = t.coldUntil
	}
	// A cold time that only a heartbeat names may be long over, as the probe may show.
	isKnown := t.probe.failed || isCold && t.probe.saidCold
	a.Undecided = t.probe.underway && !isKnown
	return a
}

// ProbeDue reports whether a probe is to be sent. demand is set if requests wait for the target.
func (t *Tracker) ProbeDue(now time.Duration, demand bool) bool {
	if !t.bounds.Enabled() || t.process.ID == "" || t.probe.underway || now < t.probe.nextAt {
		return false
	}
	if !t.answered {
		return true
	}
	demand = demand || t.probe.since > 0
	if !t.isConfirmed(now) {
		return demand
	}
	return 2*t.since >= t.bounds.Sends() || demand && 2*(now-t.confirmedAt) >= validity
}

// ProbeSent records that a probe is sent now. unsent is the number of requests that were counted as started, but may be
// sent after the probe.
func (t *Tracker) ProbeSent(now time.Duration, unsent int) {
	t.probe.underway, t.probe.sentAt, t.probe.since, t.probe.nextAt = true, now, unsent, 0
}

// ProbeAnswered records the answer to the probe.
func (t *Tracker) ProbeAnswered(now time.Duration, s Statement) {
	p := &t.probe
	p.underway = false
	isOverruled := p.sentAt < t.statedAt
	isWarm := s.Stated && s.ColdFor <= 0
	if !s.Stated {
		// Targets may leave a cold time of zero out. One that does not is not believed to be warm without it.
		isWarm = !t.saidZero && now >= t.coldUntil
	}
	switch {
	case isWarm && !isOverruled:
		t.answered, t.saidZero = true, t.saidZero || s.Stated
		t.coldUntil = 0
		t.confirmed, t.confirmedAt, t.since = true, p.sentAt, p.since
		p.failed, p.saidCold = false, false
		return
	case s.Stated && !isWarm && isOverruled:
		t.coldUntil = max(t.coldUntil, now+s.ColdFor)
	case s.Stated && !isWarm:
		t.coldUntil = now + s.ColdFor
	}
	t.confirmed = t.confirmed && !s.Stated
	if isOverruled {
		return
	}
	t.answered = t.answered || s.Stated
	p.failed, p.saidCold = !s.Stated, s.Stated
	p.nextAt = now + repeatInterval
	if now < t.coldUntil {
		p.nextAt = min(p.nextAt, max(t.coldUntil, now+minRepeat))
	}
}

// ProbeFailed records that the probe was not answered.
func (t *Tracker) ProbeFailed(now time.Duration) {
	p := &t.probe
	p.underway, p.failed, p.nextAt = false, true, max(now+minRepeat, p.sentAt+repeatInterval)
}

// ColdLeft returns how long the target stays cold by what it has said; zero if it has not said so.
func (t *Tracker) ColdLeft(now time.Duration) time.Duration { return max(0, t.coldUntil-now) }

// IsLimited reports whether the pace binds at present.
func (t *Tracker) IsLimited(now time.Duration) bool { return t.bounds.Enabled() && !t.isConfirmed(now) }

// PlacementRate returns the requests per second that the target can take because it is cold, and whether it is. A target
// whose confirmation has only run out for lack of requests is not cold.
func (t *Tracker) PlacementRate(now time.Duration) (float64, bool) {
	if !t.bounds.Enabled() || t.answered && now >= t.coldUntil {
		return 0, false
	}
	return t.bounds.Rate, true
}
