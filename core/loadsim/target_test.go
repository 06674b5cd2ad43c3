package loadsim

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/admission"
)

// seeds is the number of seeds that each test runs.
const seeds = 3

// TestCrest checks the requirements for a load spike: goodput of at least 90 % of the capacity
// during the spike, and normal service within two seconds after it.
func TestCrest(t *testing.T) {
	for _, p := range profiles {
		for seed := range uint64(seeds) {
			row := runCrest(p, admission.DefaultPolicy(), seed)
			base := runCrest(p, admission.BaselinePolicy(), seed)
			t.Logf("%s seed %d: goodput %.3f baseline %.3f, p99 %s baseline %s, recovery %v baseline %v, after %.4f",
				p.name, seed, row.goodput, base.goodput, milliseconds(row.p99), milliseconds(base.p99),
				row.recovery, base.recovery, row.after)
			if row.goodput < 0.9 {
				t.Errorf("%s seed %d: goodput %.3f of the capacity, want at least 0.9", p.name, seed, row.goodput)
			}
			if row.recovery > 2*time.Second || row.after < 0.99 {
				t.Errorf("%s seed %d: recovery took %v and %.4f were in time afterwards, want at most 2s and at least 0.99", p.name, seed, row.recovery, row.after)
			}
		}
	}
}

// TestHeadOfLine checks that the p99 of short work next to long work is at most 1.5 times that
// of short work alone.
func TestHeadOfLine(t *testing.T) {
	for _, p := range profiles {
		for seed := range uint64(seeds) {
			row := runHeadOfLine(p, admission.DefaultPolicy(), seed)
			base := runHeadOfLine(p, admission.BaselinePolicy(), seed)
			t.Logf("%s seed %d: p99 alone %s beside %s ratio %.2f, baseline ratio %.2f; long p99 %s in time %.3f",
				p.name, seed, milliseconds(row.alone), milliseconds(row.mixed), row.ratio(), base.ratio(),
				milliseconds(row.long), row.longInTime)
			if row.ratio() > 1.5 {
				t.Errorf("%s seed %d: ratio %.2f, want at most 1.5", p.name, seed, row.ratio())
			}
			if row.longInTime < 0.99 {
				t.Errorf("%s seed %d: %.3f of the long work in time, want at least 0.99", p.name, seed, row.longInTime)
			}
		}
	}
}

// TestLearning checks that a class whose work changes from short to long and back does not
// raise the p99 of another class of short work for more than a second, and that its own p99
// is low again two seconds after it became short.
func TestLearning(t *testing.T) {
	const turn, back, duration = 20 * time.Second, 40 * time.Second, 60 * time.Second
	p := profiles[0]
	isLongPhase := func(now time.Duration) bool { return now >= turn && now < back }
	const changing admission.Class = 3
	asShort := stream{class: changing, mean: shortMean, deadline: time.Second, keys: 50,
		rate: func(now time.Duration) float64 {
			if isLongPhase(now) {
				return 0
			}
			return 60
		}}
	asLong := stream{class: changing, mean: longMean, deadline: 10 * time.Second, keys: 50,
		rate: func(now time.Duration) float64 {
			if isLongPhase(now) {
				return 3
			}
			return 0
		}}
	short := stream{class: shortClass, mean: shortMean, deadline: time.Second, keys: 5000, rate: constant(250)}
	s := simulation{readySince: longAgo, policy: admission.DefaultPolicy(), slots: p.slots, seed: 1, duration: duration, streams: []stream{short, asShort, asLong}}
	results := s.run()
	usual := quantile(results, shortClass, 5*time.Second, turn, 0.99)
	for _, at := range []time.Duration{turn, back} {
		after := quantile(results, shortClass, at+time.Second, at+10*time.Second, 0.99)
		t.Logf("change at %v: p99 %s usual %s, median of the changing class %s", at, milliseconds(after), milliseconds(usual),
			milliseconds(quantile(results, changing, at+2*time.Second, at+10*time.Second, 0.5)))
		if after > usual*3/2 {
			t.Errorf("change at %v: p99 %s from one second later on, usual %s, want at most 1.5 times that", at, milliseconds(after), milliseconds(usual))
		}
	}
	if got := quantile(results, changing, back+2*time.Second, duration, 0.99); got > 5*usual {
		t.Errorf("class that is short again: p99 %s from two seconds later on, usual %s, want at most 5 times that", milliseconds(got), milliseconds(usual))
	}
}

// TestOneKey checks that a key with three times the capacity does not starve other keys.
func TestOneKey(t *testing.T) {
	for _, p := range profiles {
		share := runOneKey(p, admission.DefaultPolicy(), 3)
		t.Logf("%s: others in time %.3f baseline %.3f", p.name, share, runOneKey(p, admission.BaselinePolicy(), 3))
		if share < 0.95 {
			t.Errorf("%s: %.3f of the others' work in time, want at least 0.95", p.name, share)
		}
	}
}

// TestSheddingTarget checks the share of requests that a target sheds if it has two thirds of
// its announced slots. Each missing slot should be tried about once per pushback time; the
// bound is twice that.
func TestSheddingTarget(t *testing.T) {
	for _, p := range profiles {
		with := runFewerSlots(p, admission.DefaultPolicy(), 1)
		policy := admission.DefaultPolicy()
		policy.Pushback = 0
		without := runFewerSlots(p, policy, 1)
		t.Logf("%s: %.4f of the work shed by the target, %.4f without pushback", p.name, with, without)
		tooMany := float64(p.slots - p.slots*2/3)
		bound := 2 * tooMany / admission.DefaultPolicy().Pushback.Seconds() / p.capacity()
		if with > bound {
			t.Errorf("%s: the target shed %.4f of the work, above the bound", p.name, with)
		}
	}
}
