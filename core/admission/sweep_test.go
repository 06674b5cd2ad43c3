package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

var sweepFlag = flag.Bool("sweep", false, "print what each constant of the policy does")

// sweep is one constant with the values to try.
type sweep struct {
	name   string
	values []float64
	set    func(p *Policy, value float64)
}

func sweeps() []sweep {
	millis := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return []sweep{
		{"LongShare", []float64{1.0 / 6, 1.0 / 3, 1.0 / 2, 2.0 / 3}, func(p *Policy, v float64) { p.LongShare = v }},
		{"LongPatience", []float64{0, 1, 2, 4}, func(p *Policy, v float64) { p.LongPatience = v }},
		{"LongFactor", []float64{2, 4, 8, 16, 32}, func(p *Policy, v float64) { p.LongFactor = v }},
		{"LongFloor_ms", []float64{0, 20, 100}, func(p *Policy, v float64) { p.LongFloor = millis(v) }},
		{"QueueLength", []float64{16, 64, 256, 1024}, func(p *Policy, v float64) { p.QueueLength = int(v) }},
		{"KeyShare", []float64{0.25, 0.5, 0.75, 1}, func(p *Policy, v float64) { p.KeyShare = v }},
		{"DelayTarget", []float64{0.5, 1, 2, 4}, func(p *Policy, v float64) { p.DelayTarget = v }},
		{"DelayInterval", []float64{5, 10, 20}, func(p *Policy, v float64) { p.DelayInterval = v }},
		{"DelayFloor_ms", []float64{1, 4, 40}, func(p *Policy, v float64) { p.DelayFloor = millis(v) }},
		{"Warmup_ms", []float64{0, 1000, 3000, 10000}, func(p *Policy, v float64) { p.Warmup = millis(v) }},
		{"WarmupShare", []float64{1.0 / 6, 1.0 / 3, 2.0 / 3}, func(p *Policy, v float64) { p.WarmupShare = v }},
		{"Pushback_ms", []float64{0, 100, 1000, 5000}, func(p *Policy, v float64) { p.Pushback = millis(v) }},
	}
}

// TestSweep prints a row for each value of each constant, all others at their defaults, when
// run with -sweep. docs/design/load.md keeps the rows.
func TestSweep(t *testing.T) {
	if !*sweepFlag {
		t.Skip("run with -sweep")
	}
	for _, p := range profiles {
		for _, s := range sweeps() {
			for _, value := range s.values {
				policy := DefaultPolicy()
				s.set(&policy, value)
				fmt.Printf("%-8s %-16s %8.4g  %s\n", p.name, s.name, value, sweepRow(p, policy))
			}
		}
	}
}

func sweepRow(p profile, policy Policy) string {
	const seed = 1
	crest := runCrest(p, policy, seed)
	line := runLine(p, policy, seed)
	var out strings.Builder
	fmt.Fprintf(&out, "crest %.3f p99 %s | line %.2f long p99 %s | key %.3f", crest.goodput, milliseconds(crest.p99),
		line.ratio(), milliseconds(line.long), runOneKey(p, policy, seed))
	cold := runCold(p, policy, seed)
	fmt.Fprintf(&out, " | cold %.3f | target sheds %.4f", cold, runFewerSlots(p, policy, seed))
	return out.String()
}

// runOneKey offers three times the capacity for one key beside ordinary work, and returns the
// share of the ordinary work that is answered in time.
func runOneKey(p profile, policy Policy, seed uint64) float64 {
	const length = 5 * time.Second
	others := stream{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: constant(0.4 * p.capacity())}
	hot := stream{class: 3, mean: shortMean, deadline: p.deadline, keys: 1, rate: constant(3 * p.capacity())}
	s := simulation{warmSince: longAgo, policy: policy, slots: p.slots, seed: seed, length: length, streams: []stream{others, hot}}
	return shareInTime(s.run(), shortClass, time.Second, length)
}

// runCold offers half of the capacity to a target that begins six times slower the more of its
// slots are used in its first three seconds, and returns the share answered in time.
func runCold(p profile, policy Policy, seed uint64) float64 {
	const length, coldTime = 6 * time.Second, 3 * time.Second
	s := simulation{policy: policy, slots: p.slots, seed: seed, length: length, streams: []stream{
		{class: shortClass, mean: shortMean, deadline: p.deadline / 2, keys: 5000, rate: constant(0.5 * p.capacity())},
	}}
	s.slow = func(now time.Duration) float64 {
		left := max(0, 1-float64(now)/float64(coldTime))
		return 1 + 5*left
	}
	return shareInTime(s.run(), shortClass, 0, length)
}

// runFewerSlots offers more than a target with two thirds of its announced slots can do, and
// returns the share of the work that reached the target only to be shed there.
func runFewerSlots(p profile, policy Policy, seed uint64) float64 {
	const length = 10 * time.Second
	s := simulation{warmSince: longAgo, policy: policy, slots: p.slots, trueSlots: p.slots * 2 / 3, seed: seed, length: length,
		streams: []stream{{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: constant(p.capacity())}}}
	ends := s.run()
	shed := 0
	for _, e := range ends {
		if e.reason == outcome.ReasonTargetShed {
			shed++
		}
	}
	return float64(shed) / float64(len(ends))
}
