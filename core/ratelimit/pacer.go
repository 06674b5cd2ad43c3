package ratelimit

import (
	"math"
	"time"
)

const (
	// Burst is the time whose allowance may be saved up. It covers the variation of arrivals and is
	// short against the windows in which targets feel an excess.
	Burst = 500 * time.Millisecond
	// minPerSecond is the lowest rate of requests. A target with a lower limit is still sent one now
	// and then, because only an answer shows that the limit has ended.
	minPerSecond = 0.25
)

// Pacer spaces requests by the generic cell rate algorithm. The zero value has no limit.
type Pacer struct {
	limit Limit
	// due is when the allowance will have been saved up to the full burst again.
	due time.Duration
}

// SetLimit changes the limit. A new limit begins without saved allowance, since the requests before it
// were not counted.
func (p *Pacer) SetLimit(now time.Duration, l Limit) {
	if l == p.limit {
		return
	}
	full := now + Burst
	if p.limit.Valid {
		// A debt at a low rate must not delay requests at a higher one.
		full = min(p.due, full)
	}
	p.limit, p.due = l, full
}

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.limit.Valid }

// Interval returns the mean time between two requests; zero without a limit.
func (p *Pacer) Interval() time.Duration {
	if !p.limit.Valid {
		return 0
	}
	return time.Duration(math.Ceil(float64(time.Second) / max(minPerSecond, p.limit.PerSecond)))
}

// Next returns the earliest time, from now on, at which a request may start.
func (p *Pacer) Next(now time.Duration) time.Duration {
	if !p.limit.Valid {
		return now
	}
	return max(now, p.due-Burst)
}

// Take counts a request that starts now.
func (p *Pacer) Take(now time.Duration) {
	if p.limit.Valid {
		p.due = max(now, p.due) + p.Interval()
	}
}
