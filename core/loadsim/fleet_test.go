package loadsim

import (
	"testing"
	"time"
)

// TestSlowTarget makes one of four targets three times slower and checks that the p99 of the
// others stays within 1.2 times the p99 without a slow target. No load reports are involved.
func TestSlowTarget(t *testing.T) {
	for seed := range uint64(3) {
		f := sharedFleet(seed)
		usual := f.run().p99(0, 1, 2, 3)
		f.slow = func(target int, _ time.Duration) float64 {
			if target == 0 {
				return 3
			}
			return 1
		}
		slowed := f.run()
		baseline := f
		baseline.policy.Random = true
		base := baseline.run()
		ratio := float64(slowed.p99(1, 2, 3)) / float64(usual)
		t.Logf("seed %d: usual p99 %v, others %v (ratio %.2f), slow one %v; baseline slow one %v", seed, usual,
			slowed.p99(1, 2, 3), ratio, slowed.p99(0), base.p99(0))
		if ratio > 1.2 {
			t.Errorf("seed %d: ratio %.2f, want at most 1.2", seed, ratio)
		}
	}
}

// TestEvenTargets checks that the imbalance between equal targets is at most 1.15.
func TestEvenTargets(t *testing.T) {
	for seed := range uint64(3) {
		f := sharedFleet(seed)
		got := f.run().imbalance()
		t.Logf("seed %d: imbalance %.3f", seed, got)
		if got > 1.15 {
			t.Errorf("seed %d: imbalance %.3f, want at most 1.15", seed, got)
		}
	}
}

// TestRecoveredTarget checks that a target that was slow gets its share of the load again
// within two seconds after it recovers.
func TestRecoveredTarget(t *testing.T) {
	f := sharedFleet(1)
	const recovers = 10 * time.Second
	f.countFrom = recovers + 2*time.Second
	f.slow = func(target int, now time.Duration) float64 {
		if target == 0 && now < recovers {
			return 10
		}
		return 1
	}
	if got := f.run().imbalance(); got > 1.15 {
		t.Errorf("imbalance %.3f from two seconds after the recovery on, want at most 1.15", got)
	}
}
