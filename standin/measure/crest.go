package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// usualLoad and crestLoad are the offered load before and during the spike, as multiples
	// of the capacity.
	usualLoad = 0.6
	crestLoad = 3
	// normalShare is the least share of requests answered in time in a normal second.
	normalShare = 0.99
)

// crest ramps the load of the keyed service up to three times its capacity within two
// seconds, holds it and drops it again. It measures the goodput and latency during the
// spike, the time to recover and the latency before.
func crest(b *bench) ([]figure, error) {
	capacity := b.profile.keyedCapacity()
	const atCrest, after = 2, 3
	plan := b.plan(b.phase("before", 5*time.Second, usualLoad*capacity), b.short(keyed, 1))
	swing := b.phase("swing", 2*time.Second, usualLoad*capacity)
	swing.EndRate = crestLoad * capacity
	plan.Phases = append(plan.Phases, swing,
		b.phase("crest", 8*time.Second, crestLoad*capacity),
		b.phase("after", 10*time.Second, usualLoad*capacity))
	result, err := b.load(plan)
	if err != nil {
		return nil, err
	}
	tally := result.Phases[atCrest].Kinds[keyed]
	goodput := float64(tally.InTime) / result.Phases[atCrest].Seconds / capacity
	note := fmt.Sprintf("(in time %d of %d, late starts %d; %v)", tally.InTime, tally.Sent, result.LateStarts, tally.Outcomes)
	return []figure{
		{name: "crest.goodput", value: goodput, unit: "of-capacity", target: ">=0.9", note: note},
		{name: "crest.p99", value: tally.Latency.P99, unit: "ms", target: fmt.Sprintf("<=%d", b.profile.Deadline.Milliseconds())},
		{name: "crest.recovery", value: recovery(result, startOf(plan, after)), unit: "s", target: "<=2"},
		{name: "crest.usual-p99", value: result.Phases[0].Kinds[keyed].Latency.P99, unit: "ms", target: "none"},
	}, nil
}

// startOf returns the start of a phase since the start of the run.
func startOf(plan load.Plan, phase int) time.Duration {
	var start time.Duration
	for _, p := range plan.Phases[:phase] {
		start += p.Duration.Std()
	}
	return start
}

// recovery returns the number of seconds from the given time until all remaining seconds
// are normal; it counts whole seconds of the series only.
func recovery(result load.Result, from time.Duration) float64 {
	first := int((from + time.Second - 1) / time.Second)
	last := first
	for i := first; i < len(result.Series); i++ {
		s := result.Series[i]
		if s.Sent > 0 && float64(s.InTime) < normalShare*float64(s.Sent) {
			last = i + 1
		}
	}
	return float64(last - first)
}
