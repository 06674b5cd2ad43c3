package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// normalLoad and spikeLoad are the offered load before and during the spike, as multiples
	// of the capacity.
	normalLoad = 0.6
	spikeLoad  = 3
	// normalInTimeShare is the least share of requests answered in time in a normal second.
	normalInTimeShare = 0.99
)

// loadSpike is the scenario crest: it ramps the load of the keyed service up to three times
// its capacity within two seconds, holds it and drops it again. It measures the goodput and
// latency during the spike, the time to recover and the latency before.
func loadSpike(b *testbed) ([]figure, error) {
	capacity := b.profile.keyedCapacity()
	const spikePhase, afterPhase = 2, 3
	plan := b.plan(b.phase("before", 5*time.Second, normalLoad*capacity), b.shortWork(keyedService, 1))
	ramp := b.phase("swing", 2*time.Second, normalLoad*capacity)
	ramp.EndRate = spikeLoad * capacity
	plan.Phases = append(plan.Phases, ramp,
		b.phase("crest", 8*time.Second, spikeLoad*capacity),
		b.phase("after", 10*time.Second, normalLoad*capacity))
	result, err := b.load(plan)
	if err != nil {
		return nil, err
	}
	tally := result.Phases[spikePhase].Kinds[keyedService]
	goodput := float64(tally.InTime) / result.Phases[spikePhase].Seconds / capacity
	note := fmt.Sprintf("(in time %d of %d, late starts %d; %v)", tally.InTime, tally.Sent, result.LateStarts, tally.Outcomes)
	return []figure{
		{name: "crest.goodput", value: goodput, unit: "of-capacity", target: ">=0.9", note: note},
		{name: "crest.p99", value: tally.Latency.P99, unit: "ms", target: fmt.Sprintf("<=%d", b.profile.Deadline.Milliseconds())},
		{name: "crest.recovery", value: recovery(result, startOf(plan, afterPhase)), unit: "s", target: "<=2"},
		{name: "crest.usual-p99", value: result.Phases[0].Kinds[keyedService].Latency.P99, unit: "ms", target: "none"},
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
		if s.Sent > 0 && float64(s.InTime) < normalInTimeShare*float64(s.Sent) {
			last = i + 1
		}
	}
	return float64(last - first)
}
