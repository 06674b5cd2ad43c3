package retry

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

var shedEnd = outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonMoving}

// TestRetriesCannotAmplify checks that the attempts stay within the budget's bound when every
// attempt fails, as in an outage.
func TestRetriesCannotAmplify(t *testing.T) {
	policy := DefaultPolicy()
	b := New(policy)
	const requests = 10_000
	tries := 0
	for range requests {
		b.First()
		for n := 1; ; n++ {
			tries++
			if !b.Again(shedEnd, n, time.Minute, 0.5).Retry {
				break
			}
		}
	}
	bound := requests*(1+policy.Ratio) + policy.Burst
	t.Logf("%.4f attempts per request over %d requests", float64(tries)/requests, requests)
	if float64(tries) > bound {
		t.Errorf("%d attempts for %d requests, want at most %.0f", tries, requests, bound)
	}
}

func TestAgain(t *testing.T) {
	notRun := func(reason outcome.Reason) outcome.End { return outcome.End{Outcome: outcome.NotRun, Reason: reason} }
	later := notRun(outcome.ReasonMoving)
	later.RetryAfter = time.Second
	cases := []struct {
		name  string
		end   outcome.End
		tries int
		left  time.Duration
		want  Verdict
	}{
		{"moving", notRun(outcome.ReasonMoving), 1, time.Second, Verdict{Retry: true, Wait: 5 * time.Millisecond}},
		{"third attempt", notRun(outcome.ReasonMoving), 3, time.Second, Verdict{Retry: true, Wait: 20 * time.Millisecond}},
		{"too many attempts", notRun(outcome.ReasonMoving), 4, time.Second, Verdict{Reason: outcome.ReasonMoving}},
		{"owner asks for a longer wait", later, 1, 2 * time.Second, Verdict{Retry: true, Wait: time.Second}},
		{"no time left", later, 1, time.Second, Verdict{Reason: outcome.ReasonDeadline}},
		{"unknown", outcome.End{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetLost}, 1, time.Second,
			Verdict{Reason: outcome.ReasonTargetLost}},
		{"answered", outcome.End{Outcome: outcome.Answered}, 1, time.Second, Verdict{}},
		{"shed", notRun(outcome.ReasonShed), 1, time.Second, Verdict{Reason: outcome.ReasonShed}},
		{"banned", notRun(outcome.ReasonQuarantined), 1, time.Second, Verdict{Reason: outcome.ReasonQuarantined}},
	}
	for _, c := range cases {
		if got := New(DefaultPolicy()).Again(c.end, c.tries, c.left, 0); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	empty := New(Policy{Ratio: 0.1, Burst: 0, MaxTries: 4})
	if got := empty.Again(shedEnd, 1, time.Second, 0); got.Retry || got.Reason != outcome.ReasonRetryBudget {
		t.Errorf("empty budget: got %+v", got)
	}
}
