package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/load"
	"github.com/auburnrelay/auburnrelay/standin/target"
)

const (
	// halfLoad leaves the other targets enough spare capacity for the work of the slow one.
	halfLoad = 0.5
	// slowFactor is the factor of the service times of a slow target.
	slowFactor = 3
)

// slowTarget makes one target of each service three times slower; that of the shared service
// also reports no load. It compares the latency of the other targets with that before.
func slowTarget(b *testbed) ([]figure, error) {
	normal, err := b.loadBothServices("usual")
	if err != nil {
		return nil, err
	}
	slow := target.FaultsMessage{Multiplier: slowFactor}
	slowReportingIdle := target.FaultsMessage{Multiplier: slowFactor, Misreport: target.MisreportIdle}
	if err := b.setFaults("desk-1", slow); err != nil {
		return nil, err
	}
	if err := b.setFaults("hub-1", slowReportingIdle); err != nil {
		return nil, err
	}
	degraded, err := b.loadBothServices("slow")
	if err != nil {
		return nil, err
	}
	otherKeyedVMs := []string{"desk-2", "desk-3", "desk-4", "desk-5"}
	otherSharedVMs := []string{"hub-2", "hub-3", "hub-4"}
	return []figure{
		otherTargetsFigure("slow-target.keyed-others", otherKeyedVMs, normal, degraded),
		otherTargetsFigure("slow-target.shared-others", otherSharedVMs, normal, degraded),
		allTargetsFigure("slow-target.shared-all", sharedService, normal, degraded),
	}, nil
}

// loadBothServices sends short work of both services at half their capacity and returns the
// phase after the warm-up.
func (b *testbed) loadBothServices(name string) (load.PhaseResult, error) {
	keyedRate, sharedRate := halfLoad*b.profile.keyedCapacity(), halfLoad*b.profile.sharedCapacity()
	rate := keyedRate + sharedRate
	plan := b.plan(b.phase("learn", warmUpTime, rate), b.shortWork(keyedService, keyedRate), b.shortWork(sharedService, sharedRate))
	plan.Phases = append(plan.Phases, b.phase(name, 15*time.Second, rate))
	result, err := b.load(plan)
	if err != nil {
		return load.PhaseResult{}, err
	}
	return result.Phases[1], nil
}

// otherTargetsFigure is the ratio of the worst p99 among the given targets with the slow
// target to that without.
func otherTargetsFigure(name string, targets []string, normal, degraded load.PhaseResult) figure {
	worst := func(r load.PhaseResult) float64 {
		var p99 float64
		for name, latency := range r.TargetLatency {
			if slices.Contains(targets, name) {
				p99 = max(p99, latency.P99)
			}
		}
		return p99
	}
	return figure{
		name: name, value: worst(degraded) / worst(normal), unit: "times", target: "<=1.2",
		note: fmt.Sprintf("(worst p99 of the others %s ms, usually %s ms)", format(worst(degraded)), format(worst(normal))),
	}
}

// allTargetsFigure is the ratio of the p99 over all targets with the slow target to that
// without.
func allTargetsFigure(name, kind string, normal, degraded load.PhaseResult) figure {
	with, without := degraded.Kinds[kind], normal.Kinds[kind]
	return figure{
		name: name, value: with.Latency.P99 / without.Latency.P99, unit: "times", target: "none",
		note: fmt.Sprintf("(p99 %s ms, usually %s ms; not in time %d of %d)", format(with.Latency.P99),
			format(without.Latency.P99), with.Sent-with.InTime, with.Sent),
	}
}

func (b *testbed) setFaults(vm string, faults target.FaultsMessage) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	response, err := http.Post(b.fleet.TargetURL(vm)+"/admin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "set faults of %s", vm)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Wrapf(ErrRefused, "set faults of %s: status %d", vm, response.StatusCode)
	}
	return nil
}
