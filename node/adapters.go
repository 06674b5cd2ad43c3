package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// lockedBudget makes a retry budget safe for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (b *lockedBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirstAttempt()
}

// Spend takes the cost of one retry from the budget. It reports whether the budget allows
// the retry.
func (b *lockedBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend()
}

// lockedChooser makes a picker of targets of shared services safe for concurrent use.
type lockedChooser struct {
	region string

	mu     sync.Mutex
	picker *balance.Picker
}

// Choose picks one of the peers that are ready and not in tried. The caller passes the result
// of the request to the returned function. The last value is false if there is no such peer.
func (c *lockedChooser) Choose(peers []plane.Peer, tried []string) (plane.Peer, func(plane.Result), bool) {
	candidates := make([]balance.Candidate, len(peers))
	for i, p := range peers {
		candidates[i] = balance.Candidate{
			Name:        p.Name,
			Incarnation: p.Incarnation,
			SameRegion:  p.Region == c.region,
			Slots:       int(p.Target.Slots),
			Ready:       p.Target.State == plane.TargetReady && !slices.Contains(tried, p.Name),
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	chosen, ok := c.picker.Pick(now, candidates, rand.IntN)
	if !ok {
		return plane.Peer{}, nil, false
	}
	c.picker.Started(now, candidates[chosen])
	return peers[chosen], func(result plane.Result) { c.finished(candidates[chosen], now, result) }, true
}

// finished records the duration and the result of a request to the chosen peer.
func (c *lockedChooser) finished(chosen balance.Candidate, began time.Duration, result plane.Result) {
	reached := result.Reason != outcome.ReasonPeerUnreachable && result.Reason != outcome.ReasonPeerLost
	answered := result.Outcome == outcome.Answered
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.Finished(now, chosen, now-began, answered, reached)
}
