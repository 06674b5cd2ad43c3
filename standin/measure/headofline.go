package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// longLoad is the share of the requested slot time that long work makes up.
	longLoad = 0.3
	// learnTime is a warm-up in which the owner learns which work is long; it is not measured.
	learnTime = 5 * time.Second
)

// headOfLine compares, for each service, the latency of short work alone with that of short
// work mixed with long work, at the same slot utilization.
func headOfLine(b *bench) ([]figure, error) {
	var figures []figure
	for service, capacity := range map[string]float64{keyed: b.profile.keyedCapacity(), shared: b.profile.sharedCapacity()} {
		without, err := b.shortLatency(service, usualLoad*capacity, b.short(service, 1))
		if err != nil {
			return nil, err
		}
		shortShare := 1 - longLoad
		longShare := longLoad * float64(b.profile.ShortTime) / float64(b.profile.LongTime)
		rate := usualLoad * capacity * (shortShare + longShare)
		with, err := b.shortLatency(service, rate, b.short(service, shortShare), b.long(service, longShare))
		if err != nil {
			return nil, err
		}
		name := map[string]string{keyed: "keyed", shared: "shared"}[service]
		figures = append(figures, figure{
			name: "head-of-line." + name, value: with.Latency.P99 / without.Latency.P99, unit: "times", target: "<=1.5",
			note: fmt.Sprintf("(p99 %s ms with, %s ms without long work; not in time %d of %d)",
				format(with.Latency.P99), format(without.Latency.P99), with.Sent-with.InTime, with.Sent),
		})
	}
	return figures, nil
}

// long is the kind of long work of a service, with its share of the requests.
func (b *bench) long(service string, share float64) load.Kind {
	return load.Kind{
		Name: longKind, Service: service, Method: "GET", Rest: longKind, Share: share,
		Deadline: load.Duration(20 * b.profile.LongTime),
	}
}

// shortLatency returns the tally of the short work after the warm-up.
func (b *bench) shortLatency(service string, rate float64, kinds ...load.Kind) (load.Tally, error) {
	plan := b.plan(b.phase("learn", learnTime, rate), kinds...)
	plan.Phases = append(plan.Phases, b.phase("measured", 15*time.Second, rate))
	result, err := b.load(plan)
	if err != nil {
		return load.Tally{}, err
	}
	return result.Phases[1].Kinds[service], nil
}
