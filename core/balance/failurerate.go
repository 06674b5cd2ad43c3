package balance

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one answer in the share of refusals and failures. It is small, because the share
	// counts in the choice of a target: a larger weight makes equally unhealthy targets differ by chance, and those that
	// seem best are overloaded.
	failureWeight = 0.05
	// failureDecay is the time constant with which the share fades without answers, so that a target which no node
	// chooses is tried again.
	failureDecay = 5 * time.Second
	// unhealthyFailures is the number of refusals and failures in a row from which a target gets trial requests only.
	// A target that answers a part of its requests is worth sending to: with half of them refused, as many in a row come
	// once in a million requests.
	unhealthyFailures = 20
	// trialInterval spaces the trial requests of all nodes: two a second.
	trialInterval = 500 * time.Millisecond
)

// FailureRate measures which share of a target's answers are refusals or failures while it has free slots, and spaces the trial
// requests to a target that answers none. The zero value is a healthy target.
type FailureRate struct {
	share float64
	at    time.Duration
	// failures is the number of refusals and failures since the last answer.
	failures int
	trialDue time.Duration
}

// Observe counts one answer.
func (f *FailureRate) Observe(now time.Duration, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
		f.failures++
	} else {
		f.failures = 0
	}
	f.share, f.at = f.Share(now)+failureWeight*(sample-f.Share(now)), now
}

// Share returns the share of refusals and failures, from 0 to 1.
func (f *FailureRate) Share(now time.Duration) float64 {
	return f.share * math.Exp(-float64(now-f.at)/float64(failureDecay))
}

// Unhealthy reports whether the target gets trial requests only.
func (f *FailureRate) Unhealthy() bool { return f.failures >= unhealthyFailures }

// TrialOpen reports whether the target may be sent a trial request now.
func (f *FailureRate) TrialOpen(now time.Duration) bool { return now >= f.trialDue }

// Admit reports whether the target may be sent a request: always if it is healthy, and otherwise as a trial request, which
// is counted. If not, it returns the time until the next trial.
func (f *FailureRate) Admit(now time.Duration) (admitted bool, after time.Duration) {
	if !f.Unhealthy() {
		return true, 0
	}
	if !f.TrialOpen(now) {
		return false, f.trialDue - now
	}
	f.trialDue = now + trialInterval
	return true, 0
}
