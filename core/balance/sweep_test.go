package balance

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var sweepFlag = flag.Bool("sweep", false, "print what each constant of the policy does")

// TestSweep prints a row for each value of each constant, all others at their defaults, when
// run with -sweep. docs/design/load.md keeps the rows.
func TestSweep(t *testing.T) {
	if !*sweepFlag {
		t.Skip("run with -sweep")
	}
	sweeps := []struct {
		name   string
		values []float64
		set    func(p *Policy, v float64)
	}{
		{"Choices", []float64{1, 2, 3, 4}, func(p *Policy, v float64) { p.Choices = int(v) }},
		{"LatencyWeight", []float64{0, 0.25, 0.5, 0.75, 1}, func(p *Policy, v float64) { p.LatencyWeight = v }},
		{"Smoothing", []float64{0.02, 0.1, 0.5}, func(p *Policy, v float64) { p.Smoothing = v }},
		{"Forget_s", []float64{1, 5, 20}, func(p *Policy, v float64) { p.Forget = time.Duration(v * float64(time.Second)) }},
	}
	for _, s := range sweeps {
		for _, value := range s.values {
			policy := DefaultPolicy()
			s.set(&policy, value)
			fmt.Printf("%-14s %5.4g ", s.name, value)
			for _, load := range []float64{0.5, 0.6, 0.7} {
				fmt.Printf(" | load %.1f %s", load, sweepRow(policy, load))
			}
			fmt.Println()
		}
	}
}

// sweepRow returns the others' p99 over the usual one and the p99 of all beside one target that
// is three times slower.
func sweepRow(policy Policy, load float64) string {
	f := sharedFleet(1)
	f.policy, f.load = policy, load
	usual := f.run().p99(0, 1, 2, 3)
	f.slow = func(target int, _ time.Duration) float64 {
		if target == 0 {
			return 3
		}
		return 1
	}
	slowed := f.run()
	ratio := float64(slowed.p99(1, 2, 3)) / float64(usual)
	return fmt.Sprintf("others %.2f all %4.1fms", ratio, float64(slowed.p99(0, 1, 2, 3))/float64(time.Millisecond))
}
