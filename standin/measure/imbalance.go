package measure

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// zipfExponent is the exponent of the key distribution.
	zipfExponent = 1.1
	// hotInterval is the interval at which the set of hot keys changes, and adaptTime the
	// time for placement to adapt, which is not measured.
	hotInterval = time.Minute
	adaptTime   = 30 * time.Second
)

// imbalance requests keys by a Zipf distribution whose hot set changes once. After placement
// has adapted, before and after the change, it compares the most loaded target with the mean
// of its region.
func imbalance(b *testbed) ([]figure, error) {
	rate := halfLoad * b.profile.keyedCapacity()
	plan := b.plan(b.phase("settling", adaptTime, rate), b.shortWork(keyedService, 1))
	plan.Phases = append(plan.Phases,
		b.phase("settled", hotInterval-adaptTime, rate),
		b.phase("changed", adaptTime, rate),
		b.phase("settled again", hotInterval-adaptTime, rate))
	plan.Keys.Zipf = zipfExponent
	plan.Keys.HotEvery = load.Duration(b.scaled(hotInterval))
	began := time.Now()
	result, err := b.load(plan)
	if err != nil {
		return nil, err
	}
	moves, err := b.countMoves(began)
	if err != nil {
		return nil, err
	}
	minutes := startOf(plan, len(plan.Phases)).Minutes()
	hashed := hashedWork(plan)
	const sliceCount = 2 * slicesPerRange
	return []figure{
		imbalanceFigure("imbalance.settled", result.Phases[1], hashed[1]),
		imbalanceFigure("imbalance.after-change", result.Phases[3], hashed[3]),
		{
			name: "imbalance.moves", value: float64(moves) / sliceCount * 100 / minutes, unit: "%-of-slices/min",
			baseline: "0", target: "<=2", note: fmt.Sprintf("(%d moves of slices seen in execution logs)", moves),
		},
	}, nil
}

func imbalanceFigure(name string, phase load.PhaseResult, hashed map[string]int64) figure {
	tally := phase.Kinds[keyedService]
	return figure{
		name: name, value: worstImbalance(phase.Targets), unit: "max/mean", baseline: format(worstImbalance(hashed)),
		target: "<=1.15", note: fmt.Sprintf("(%v; not in time %d of %d)", phase.Targets, tally.Sent-tally.InTime, tally.Sent),
	}
}

// worstImbalance returns the ratio of the most loaded target to the mean of its region, for
// the region in which it is larger.
func worstImbalance(work map[string]int64) float64 {
	var worst float64
	for _, targets := range [][]string{nearKeyedVMs, farKeyedVMs} {
		var largest, sum int64
		for _, target := range targets {
			largest = max(largest, work[target])
			sum += work[target]
		}
		if sum > 0 {
			worst = max(worst, float64(largest)*float64(len(targets))/float64(sum))
		}
	}
	return worst
}

// hashedWork returns the number of requests for each target in each phase if keys were
// placed by a plain hash over the targets of their region.
func hashedWork(plan load.Plan) []map[string]int64 {
	work := make([]map[string]int64, len(plan.Phases))
	for i := range work {
		work[i] = make(map[string]int64)
	}
	load.ForEachArrival(plan, func(phase int, key string) {
		targets := nearKeyedVMs
		if key[0] == 'd' {
			targets = farKeyedVMs
		}
		work[phase][targets[xxhash.Sum64String(key)%uint64(len(targets))]]++
	})
	return work
}

// countMoves counts how often the target that executes a slice changed after the given time.
func (b *testbed) countMoves(since time.Time) (int, error) {
	var entries []execlog.Entry
	for _, name := range slices.Concat(nearKeyedVMs, farKeyedVMs) {
		read, err := readLog(b.fleet.ExecutionLog(name))
		if err != nil {
			return 0, err
		}
		entries = append(entries, read...)
	}
	moves := 0
	lastTarget := make(map[string]string)
	for _, x := range execlog.Executions(entries) {
		slice := x.Entry.Slice
		if previous, ok := lastTarget[slice]; ok && previous != x.Entry.Target && x.Entry.Wall > since.UnixNano() {
			moves++
		}
		lastTarget[slice] = x.Entry.Target
	}
	return moves, nil
}

func readLog(name string) ([]execlog.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open execution log")
	}
	defer func() { _ = file.Close() }()
	return execlog.Read(file)
}
