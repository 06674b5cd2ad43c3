package guard

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
	"github.com/auburnrelay/auburnrelay/node/ownership"
)

// observeLimit records what an answer to a request sent at sentAt says about the target's limit. Only
// a sealed answer without a limit ends one: a target may leave its limit out of refusals.
func (g *Guard) observeLimit(local ownership.LocalTarget, sentAt time.Duration, meta exchange.AnswerMeta) {
	statement := ratelimit.Silent
	switch {
	case meta.Limit == exchange.LimitNamed:
		statement = ratelimit.Named
	case meta.Limit == exchange.LimitAbsent && meta.Sealed:
		statement = ratelimit.Ended
	}
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Observe(processOf(local), sentAt, now, statement, meta.RateLimit) {
		g.applyLimit(local, now)
	}
}

// applyLimit makes the queue keep the target's limit, and logs it; the caller holds the lock.
func (g *Guard) applyLimit(local ownership.LocalTarget, now time.Duration) {
	g.logLimit(local)
	g.queue.SetLimit(now, g.limits.Limit(processOf(local)))
	g.dispatch(now)
}

// logLimit logs the limit of the target; the caller holds the lock.
func (g *Guard) logLimit(local ownership.LocalTarget) {
	limit := g.limits.Limit(processOf(local))
	if !limit.Valid {
		g.log.Info("target has no limit any more", "target", local.ID, "born", local.Born)
		return
	}
	g.log.Info("target names a limit", "target", local.ID, "born", local.Born, "requests_per_second", limit.PerSecond)
}

// sendCount counts the requests that are sent to the target.
type sendCount struct{ first, repeated int }

// sendLogInterval is the interval of the log lines on the requests sent to a target with a limit.
const sendLogInterval = time.Second

// countSend counts a request that is about to be sent to the target, and logs the counts of the last
// second if the target has a limit.
func (g *Guard) countSend(local ownership.LocalTarget, repeated bool) {
	g.metrics.SentToTarget(repeated)
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.unsent--
	if took := now - g.sendsCountedFrom; took >= sendLogInterval {
		if limit := g.limits.Limit(processOf(local)); limit.Valid {
			g.log.Info("requests sent to a target with a limit", "target", local.ID, "requests_per_second", limit.PerSecond,
				"first", g.sends.first, "repeated", g.sends.repeated, "within_ms", took.Milliseconds())
		}
		g.sends, g.sendsCountedFrom = sendCount{}, now
	}
	if repeated {
		g.sends.repeated++
	} else {
		g.sends.first++
	}
}
