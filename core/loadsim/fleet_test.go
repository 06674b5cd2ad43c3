package loadsim

import (
	"testing"
	"time"
)

// TestSlowTarget makes one of four targets three times slower. The others' p99 must stay within
// 1.2 times the usual; what reports say does not matter, for none is used.
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

// TestEvenTargets holds an imbalance of at most 1.15 over equal targets.
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

// TestRecoveredTarget lets a slow target become fast again: it must get its share back.
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
		t.Errorf("imbalance %.3f from two seconds after it was fast again, want at most 1.15", got)
	}
}
