// Package retry bounds what retries may add to the load.
//
// Only requests that did not run may be tried again. Each first try earns a part of a retry,
// each retry spends a whole one, so over any stretch of time the tries are at most
// (1 + Ratio) times the first tries, plus Burst.
//
// A Budget is pure; the user serialises the calls.
package retry

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Policy holds the settings of a Budget.
type Policy struct {
	// Ratio is the share of a retry that each first try earns.
	Ratio float64
	// Burst is the largest number of retries that can be saved up.
	Burst float64
	// MaxTries bounds the tries of one request, the first included.
	MaxTries int
	// FirstWait is the wait before the first retry; it doubles with each one.
	FirstWait time.Duration
	// MaxWait bounds the wait.
	MaxWait time.Duration
}

// DefaultPolicy returns the settings: retries add at most a tenth to the load.
func DefaultPolicy() Policy {
	return Policy{
		Ratio:     0.1,
		Burst:     20,
		MaxTries:  4,
		FirstWait: 10 * time.Millisecond,
		MaxWait:   500 * time.Millisecond,
	}
}

// Budget counts first tries and retries of one node.
type Budget struct {
	policy Policy
	tokens float64
}

// New returns a budget with its burst saved up.
func New(policy Policy) *Budget { return &Budget{policy: policy, tokens: policy.Burst} }

// First records the first try of a request.
func (b *Budget) First() { b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst) }

// Verdict says whether a request may be tried again.
type Verdict struct {
	Retry bool
	// Wait is the time before the retry; jitter in [0, 1) spreads it.
	Wait time.Duration
	// Reason tells why there is no retry.
	Reason outcome.Reason
}

// Again decides on another try after tries tries that ended in end, with left time to the
// caller's deadline. A granted retry is spent from the budget.
func (b *Budget) Again(end outcome.End, tries int, left time.Duration, jitter float64) Verdict {
	if !end.Retryable() || tries >= b.policy.MaxTries {
		return Verdict{Reason: end.Reason}
	}
	wait := b.wait(end, tries, jitter)
	if wait >= left {
		return Verdict{Reason: outcome.ReasonDeadline}
	}
	if !b.Spend() {
		return Verdict{Reason: outcome.ReasonRetryBudget}
	}
	return Verdict{Retry: true, Wait: wait}
}

// Spend takes one retry from the budget and reports whether it was there.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) wait(end outcome.End, tries int, jitter float64) time.Duration {
	wait := b.policy.FirstWait << min(tries-1, 16)
	wait = min(wait, b.policy.MaxWait)
	wait = time.Duration(float64(wait) * (0.5 + jitter/2))
	return max(wait, end.RetryAfter)
}
