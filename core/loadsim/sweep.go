package loadsim

import (
	"fmt"
	"strings"
	"time"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/balance"
)

// SweepAdmission varies one setting of the admission policy at a time, with all others at their
// defaults, and emits a row of results for each value and each of the two example deployments.
func SweepAdmission(emit func(row string)) {
	for _, p := range profiles {
		for _, s := range sweeps() {
			for _, value := range s.values {
				policy := admission.DefaultPolicy()
				s.set(&policy, value)
				emit(fmt.Sprintf("%-8s %-16s %8.4g  %s", p.name, s.name, value, sweepRow(p, policy)))
			}
		}
	}
}

// sweep is a setting and the values to try.
type sweep struct {
	name   string
	values []float64
	set    func(p *admission.Policy, value float64)
}

func sweeps() []sweep {
	millis := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return []sweep{
		{"LongShare", []float64{1.0 / 6, 1.0 / 3, 1.0 / 2, 2.0 / 3}, func(p *admission.Policy, v float64) { p.LongShare = v }},
		{"LongPatience", []float64{0, 1, 2, 4}, func(p *admission.Policy, v float64) { p.LongStartDelay = v }},
		{"LongFactor", []float64{2, 4, 8, 16, 32}, func(p *admission.Policy, v float64) { p.LongFactor = v }},
		{"LongFloor_ms", []float64{0, 20, 100}, func(p *admission.Policy, v float64) { p.LongFloor = millis(v) }},
		{"QueueLength", []float64{16, 64, 256, 1024}, func(p *admission.Policy, v float64) { p.QueueLength = int(v) }},
		{"KeyShare", []float64{0.25, 0.5, 0.75, 1}, func(p *admission.Policy, v float64) { p.KeyShare = v }},
		{"DelayTarget", []float64{0.5, 1, 2, 4}, func(p *admission.Policy, v float64) { p.DelayTarget = v }},
		{"DelayInterval", []float64{5, 10, 20}, func(p *admission.Policy, v float64) { p.DelayInterval = v }},
		{"DelayFloor_ms", []float64{1, 4, 40}, func(p *admission.Policy, v float64) { p.DelayFloor = millis(v) }},
		{"Warmup_ms", []float64{0, 1000, 3000, 10000}, func(p *admission.Policy, v float64) { p.Warmup = millis(v) }},
		{"WarmupShare", []float64{1.0 / 6, 1.0 / 3, 2.0 / 3}, func(p *admission.Policy, v float64) { p.WarmupShare = v }},
		{"Pushback_ms", []float64{0, 100, 1000, 5000}, func(p *admission.Policy, v float64) { p.Pushback = millis(v) }},
	}
}

func sweepRow(p profile, policy admission.Policy) string {
	const seed = 1
	crest := runCrest(p, policy, seed)
	headOfLine := runHeadOfLine(p, policy, seed)
	var out strings.Builder
	fmt.Fprintf(&out, "crest %.3f p99 %s | line %.2f long p99 %s | key %.3f", crest.goodput, milliseconds(crest.p99),
		headOfLine.ratio(), milliseconds(headOfLine.long), runOneKey(p, policy, seed))
	cold := runCold(p, policy, seed)
	fmt.Fprintf(&out, " | cold %.3f | target sheds %.4f", cold, runFewerSlots(p, policy, seed))
	return out.String()
}

// SweepBalance varies one setting of the balance policy at a time, with all others at their
// defaults, and emits a row of results for each value.
func SweepBalance(emit func(row string)) {
	sweeps := []struct {
		name   string
		values []float64
		set    func(p *balance.Policy, v float64)
	}{
		{"Choices", []float64{1, 2, 3, 4}, func(p *balance.Policy, v float64) { p.Choices = int(v) }},
		{"LatencyWeight", []float64{0, 0.25, 0.5, 0.75, 1}, func(p *balance.Policy, v float64) { p.LatencyWeight = v }},
		{"Smoothing", []float64{0.02, 0.1, 0.5}, func(p *balance.Policy, v float64) { p.Smoothing = v }},
		{"Forget_s", []float64{1, 5, 20}, func(p *balance.Policy, v float64) { p.LatencyDecay = time.Duration(v * float64(time.Second)) }},
	}
	for _, s := range sweeps {
		for _, value := range s.values {
			policy := balance.DefaultPolicy()
			s.set(&policy, value)
			row := fmt.Sprintf("%-14s %5.4g ", s.name, value)
			for _, load := range []float64{0.5, 0.6, 0.7} {
				row += fmt.Sprintf(" | load %.1f %s", load, slowTargetRow(policy, load))
			}
			emit(row)
		}
	}
}

// slowTargetRow runs a fleet in which one target is three times slower. It returns the ratio of
// the other targets' p99 to the p99 without a slow target, and the p99 of all targets.
func slowTargetRow(policy balance.Policy, load float64) string {
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
