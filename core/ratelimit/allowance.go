package ratelimit

import "time"

// Allowance is what may be sent to a target that is cold or may become so.
type Allowance struct {
	// Limit is the limit of the target while it is cold.
	Limit Limit
	// Free is the number of requests that may start before the limit binds.
	Free int
	// Until is when the limit is said to end; zero if that is not known.
	Until time.Duration
	// Undecided is set while a probe that is underway may show that the limit does not bind. Requests start by the
	// limit, but none is refused because of it.
	Undecided bool
}

// Gate joins the limit that a target names with its limit while it is cold: a request starts when both let it. The zero
// value has no limit.
type Gate struct {
	named, cold Pacer
	allowance   Allowance
}

// SetLimit changes the limit that the target names.
func (g *Gate) SetLimit(now time.Duration, l Limit) { g.named.SetLimit(now, l) }

// SetAllowance changes the limit of the cold target.
func (g *Gate) SetAllowance(now time.Duration, a Allowance) {
	g.allowance = a
	g.cold.SetLimit(now, a.Limit)
}

// coldBinds reports whether the cold limit decides when the next request starts.
func (g *Gate) coldBinds() bool { return g.cold.Limited() && g.allowance.Free <= 0 }

// Limited reports whether a limit delays requests.
func (g *Gate) Limited() bool { return g.named.Limited() || g.coldBinds() }

// Refuses reports whether a limit decides which requests are refused. It does not while it is undecided.
func (g *Gate) Refuses() bool { return g.named.Limited() || g.coldBinds() && !g.allowance.Undecided }

// Next returns the earliest time, from now on, at which a request may start.
func (g *Gate) Next(now time.Duration) time.Duration {
	next := g.named.Next(now)
	if g.coldBinds() {
		next = max(next, g.cold.Next(now))
	}
	return next
}

// Take counts a request that starts now. The cold limit begins without saved allowance after requests that were free
// of it.
func (g *Gate) Take(now time.Duration) {
	g.named.Take(now)
	if g.allowance.Free > 0 {
		g.allowance.Free--
		g.cold.restart(now)
		return
	}
	g.cold.Take(now)
}

// Turn predicts when a request starts that has the given number of others before it, as far as the limits decide. While
// it is undecided whether the cold limit binds, it does not count.
func (g *Gate) Turn(now time.Duration, before int) time.Duration {
	if g.allowance.Undecided {
		return g.named.turn(now, before)
	}
	return g.Backlog(now, before)
}

// Backlog returns when the limits let a request start that has the given number of others before it.
func (g *Gate) Backlog(now time.Duration, before int) time.Duration {
	turn := g.named.turn(now, before)
	if !g.coldBinds() {
		return turn
	}
	cold := g.cold.turn(now, before)
	if g.allowance.Until > 0 {
		cold = min(cold, max(now, g.allowance.Until))
	}
	return max(turn, cold)
}

// turn returns when a request starts that has the given number of others before it.
func (p *Pacer) turn(now time.Duration, before int) time.Duration {
	return p.Next(now) + time.Duration(before)*p.Interval()
}

// restart takes back the saved allowance.
func (p *Pacer) restart(now time.Duration) {
	if p.limit.Valid {
		p.due = now + Burst
	}
}
