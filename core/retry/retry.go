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
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int
	// InitialBackoff is the wait before the first retry; it doubles with each further one.
	InitialBackoff time.Duration
	// MaxBackoff bounds the exponential backoff.
	MaxBackoff time.Duration
}

// DefaultPolicy returns settings with which retries add at most 10 % to the load, apart from the
// burst.
func DefaultPolicy() Policy {
	return Policy{
		Ratio:          0.1,
		Burst:          20,
		MaxAttempts:    4,
		InitialBackoff: 10 * time.Millisecond,
		MaxBackoff:     500 * time.Millisecond,
	}
}

// Budget is the retry budget of one node.
type Budget struct {
	policy Policy
	tokens float64
}

// New returns a budget filled up to its burst.
func New(policy Policy) *Budget { return &Budget{policy: policy, tokens: policy.Burst} }

// RecordFirstAttempt records the first attempt of a request.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst) }

// Decision tells whether a request may be retried.
type Decision struct {
	Retry bool
	// Wait is how long to wait before the retry.
	Wait time.Duration
	// Reason explains why there is no retry.
	Reason outcome.Reason
}

// Decide reports whether to retry a request after the given number of attempts, the latest of which
// ended in end; remaining is the time until the caller's deadline. A granted retry takes a token
// from the budget. jitter, a random number in [0, 1), spreads the wait.
func (b *Budget) Decide(end outcome.End, attempts int, remaining time.Duration, jitter float64) Decision {
	if !end.Retryable() || attempts >= b.policy.MaxAttempts {
		return Decision{Reason: end.Reason}
	}
	backoff := b.backoff(end, attempts, jitter)
	if backoff >= remaining {
		return Decision{Reason: outcome.ReasonDeadline}
	}
	if !b.Spend() {
		return Decision{Reason: outcome.ReasonRetryBudget}
	}
	return Decision{Retry: true, Wait: backoff}
}

// Spend takes the token for one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff returns the exponential backoff with jitter, or end.RetryAfter if that is longer.
func (b *Budget) backoff(end outcome.End, attempts int, jitter float64) time.Duration {
	backoff := b.policy.InitialBackoff << min(attempts-1, 16)
	backoff = min(backoff, b.policy.MaxBackoff)
	backoff = time.Duration(float64(backoff) * (0.5 + jitter/2))
	return max(backoff, end.RetryAfter)
}
