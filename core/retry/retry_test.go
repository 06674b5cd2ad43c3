package retry

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

var movingEnd = outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonMoving}

// TestRetriesCannotAmplify checks that the attempts stay within the budget's bound when every
// attempt fails, as in an outage.
func TestRetriesCannotAmplify(t *testing.T) {
	policy := DefaultPolicy()
	b := New(policy)
	const requests = 10_000
	attempts := 0
	for range requests {
		b.RecordFirstAttempt()
		for n := 1; ; n++ {
			attempts++
			if !b.Decide(movingEnd, n, time.Minute, 0.5).Retry {
				break
			}
		}
	}
	bound := requests*(1+policy.Ratio) + policy.Burst
	t.Logf("%.4f attempts per request over %d requests", float64(attempts)/requests, requests)
	if float64(attempts) > bound {
		t.Errorf("%d attempts for %d requests, want at most %.0f", attempts, requests, bound)
	}
}

func TestDecide(t *testing.T) {
	notRun := func(reason outcome.Reason) outcome.End { return outcome.End{Outcome: outcome.NotRun, Reason: reason} }
	later := notRun(outcome.ReasonMoving)
	later.RetryAfter = time.Second
	cases := []struct {
		name      string
		end       outcome.End
		attempts  int
		remaining time.Duration
		want      Decision
	}{
		{"moving", notRun(outcome.ReasonMoving), 1, time.Second, Decision{Retry: true, Wait: 5 * time.Millisecond}},
		{"third attempt", notRun(outcome.ReasonMoving), 3, time.Second, Decision{Retry: true, Wait: 20 * time.Millisecond}},
		{"too many attempts", notRun(outcome.ReasonMoving), 4, time.Second, Decision{Reason: outcome.ReasonMoving}},
		{"owner asks for a longer wait", later, 1, 2 * time.Second, Decision{Retry: true, Wait: time.Second}},
		{"no time left", later, 1, time.Second, Decision{Reason: outcome.ReasonDeadline}},
		{"unknown", outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetLost}, 1, time.Second,
			Decision{Reason: outcome.ReasonTargetLost}},
		{"answered", outcome.End{Outcome: outcome.Answered}, 1, time.Second, Decision{}},
		{"shed", notRun(outcome.ReasonShed), 1, time.Second, Decision{Reason: outcome.ReasonShed}},
		{"banned", notRun(outcome.ReasonQuarantined), 1, time.Second, Decision{Reason: outcome.ReasonQuarantined}},
	}
	for _, c := range cases {
		if got := New(DefaultPolicy()).Decide(c.end, c.attempts, c.remaining, 0); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	empty := New(Policy{Ratio: 0.1, Burst: 0, MaxAttempts: 4})
	if got := empty.Decide(movingEnd, 1, time.Second, 0); got.Retry || got.Reason != outcome.ReasonRetryBudget {
		t.Errorf("empty budget: got %+v", got)
	}
}
