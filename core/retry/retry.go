// Package retry implements a retry budget, which bounds the load that retries add.
//
// Only requests that did not run may be retried. Each first attempt adds Ratio tokens and each
// retry takes one token, so over any period the attempts are at most (1 + Ratio) times the first
// attempts, plus Burst.
//
// A Budget reads no clock and is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Policy holds the settings of a Budget.
type Policy struct {
	// Ratio is the number of retry tokens that each first attempt adds.
	Ratio float64
	// Burst is the largest number of tokens that the budget holds.
	Burst float64
	// MaxTries bounds the attempts of one request, including the first.
	MaxTries int
	// FirstWait is the wait before the first retry; it doubles with each further one.
	FirstWait time.Duration
	// MaxWait bounds the exponential backoff.
	MaxWait time.Duration
}

// DefaultPolicy returns settings with which retries add at most 10 % to the load, apart from the
// burst.
func DefaultPolicy() Policy {
	return Policy{
		Ratio:     0.1,
		Burst:     20,
		MaxTries:  4,
		FirstWait: 10 * time.Millisecond,
		MaxWait:   500 * time.Millisecond,
	}
}

// Budget is the retry budget of one node.
type Budget struct {
	policy Policy
	tokens float64
}

// New returns a budget filled up to its burst.
func New(policy Policy) *Budget { return &Budget{policy: policy, tokens: policy.Burst} }

// First records the first attempt of a request.
func (b *Budget) First() { b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst) }

// Verdict tells whether a request may be retried.
type Verdict struct {
	Retry bool
	// Wait is how long to wait before the retry.
	Wait time.Duration
	// Reason explains why there is no retry.
	Reason outcome.Reason
}

// Again decides whether to retry a request whose latest of tries attempts ended in end, with the
// time left until the caller's deadline. A granted retry takes a token from the budget. jitter, a
// random number in [0, 1), spreads the wait.
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

// Spend takes the token for one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the exponential backoff with jitter, or end.RetryAfter if that is longer.
func (b *Budget) wait(end outcome.End, tries int, jitter float64) time.Duration {
	wait := b.policy.FirstWait << min(tries-1, 16)
	wait = min(wait, b.policy.MaxWait)
	wait = time.Duration(float64(wait) * (0.5 + jitter/2))
	return max(wait, end.RetryAfter)
}
