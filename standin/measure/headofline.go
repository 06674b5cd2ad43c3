package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// longSlotShare is the share of the targets' slot time that long work takes up.
	longSlotShare = 0.3
	// warmUpTime is a warm-up in which the owner learns which work is long; it is not measured.
	warmUpTime = 5 * time.Second
)

// headOfLine compares, for each service, the latency of short work alone with that of short
// work mixed with long work, at the same slot utilization.
func headOfLine(b *testbed) ([]figure, error) {
	var figures []figure
	for service, capacity := range map[string]float64{keyedService: b.profile.keyedCapacity(), sharedService: b.profile.sharedCapacity()} {
		without, err := b.shortWorkTally(service, normalLoad*capacity, b.shortWork(service, 1))
		if err != nil {
			return nil, err
		}
		shortShare := 1 - longSlotShare
		longShare := longSlotShare * float64(b.profile.ShortTime) / float64(b.profile.LongTime)
		rate := normalLoad * capacity * (shortShare + longShare)
		with, err := b.shortWorkTally(service, rate, b.shortWork(service, shortShare), b.longWork(service, longShare))
		if err != nil {
			return nil, err
		}
		name := map[string]string{keyedService: "keyed", sharedService: "shared"}[service]
		figures = append(figures, figure{
			name: "head-of-line." + name, value: with.Latency.P99 / without.Latency.P99, unit: "times", target: "<=1.5",
			note: fmt.Sprintf("(p99 %s ms with, %s ms without long work; not in time %d of %d)",
				format(with.Latency.P99), format(without.Latency.P99), with.Sent-with.InTime, with.Sent),
		})
	}
	return figures, nil
}

// longWork returns the kind of long work of a service, with its share of the requests.
func (b *testbed) longWork(service string, share float64) load.Kind {
	return load.Kind{
		Name: longKind, Service: service, Method: "GET", Subpath: longKind, Share: share,
		Deadline: load.Duration(20 * b.profile.LongTime),
	}
}

// shortWorkTally sends load and returns the tally of the short work after the warm-up.
func (b *testbed) shortWorkTally(service string, rate float64, kinds ...load.Kind) (load.Tally, error) {
	plan := b.plan(b.phase("learn", warmUpTime, rate), kinds...)
	plan.Phases = append(plan.Phases, b.phase("measured", 15*time.Second, rate))
	result, err := b.load(plan)
	if err != nil {
		return load.Tally{}, err
	}
	return result.Phases[1].Kinds[service], nil
}
