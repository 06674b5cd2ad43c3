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
	// zipf is the exponent of the key distribution.
	zipf = 1.1
	// hotEvery is the interval at which the set of hot keys changes, and resettle the time
	// for placement to adapt, which is not measured.
	hotEvery = time.Minute
	resettle = 30 * time.Second
)

// imbalance requests keys by a Zipf distribution whose hot set changes once. After placement
// has adapted, before and after the change, it compares the most loaded target with the mean
// of its region.
func imbalance(b *bench) ([]figure, error) {
	rate := halfLoad * b.profile.keyedCapacity()
	plan := b.plan(b.phase("settling", resettle, rate), b.short(keyed, 1))
	plan.Phases = append(plan.Phases,
		b.phase("settled", hotEvery-resettle, rate),
		b.phase("changed", resettle, rate),
		b.phase("settled again", hotEvery-resettle, rate))
	plan.Keys.Zipf = zipf
	plan.Keys.HotEvery = load.Duration(b.scaled(hotEvery))
	began := time.Now()
	result, err := b.load(plan)
	if err != nil {
		return nil, err
	}
	moves, err := b.moves(began)
	if err != nil {
		return nil, err
	}
	minutes := startOf(plan, len(plan.Phases)).Minutes()
	hashed := hashedWork(plan)
	const slices = 2 * sliceCount
	return []figure{
		imbalanceFigure("imbalance.settled", result.Phases[1], hashed[1]),
		imbalanceFigure("imbalance.after-change", result.Phases[3], hashed[3]),
		{
			name: "imbalance.moves", value: float64(moves) / slices * 100 / minutes, unit: "%-of-slices/min",
			baseline: "0", target: "<=2", note: fmt.Sprintf("(%d moves of slices seen in execution logs)", moves),
		},
	}, nil
}

func imbalanceFigure(name string, phase load.PhaseResult, hashed map[string]int64) figure {
	tally := phase.Kinds[keyed]
	return figure{
		name: name, value: worstImbalance(phase.Targets), unit: "max/mean", baseline: format(worstImbalance(hashed)),
		target: "<=1.15", note: fmt.Sprintf("(%v; not in time %d of %d)", phase.Targets, tally.Sent-tally.InTime, tally.Sent),
	}
}

// worstImbalance returns the ratio of the most loaded target to the mean of its region, for
// the region in which it is larger.
func worstImbalance(work map[string]int64) float64 {
	var worst float64
	for _, targets := range [][]string{nearDesks, farDesks} {
		var most, sum int64
		for _, target := range targets {
			most = max(most, work[target])
			sum += work[target]
		}
		if sum > 0 {
			worst = max(worst, float64(most)*float64(len(targets))/float64(sum))
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
	load.Draw(plan, func(phase int, key string) {
		targets := nearDesks
		if key[0] == 'd' {
			targets = farDesks
		}
		work[phase][targets[xxhash.Sum64String(key)%uint64(len(targets))]]++
	})
	return work
}

// moves counts how often the target that executes a slice changed after the given time.
func (b *bench) moves(since time.Time) (int, error) {
	var entries []execlog.Entry
	for _, name := range slices.Concat(nearDesks, farDesks) {
		read, err := readLog(b.fleet.ExecutionLog(name))
		if err != nil {
			return 0, err
		}
		entries = append(entries, read...)
	}
	moves := 0
	at := make(map[string]string)
	for _, x := range execlog.Executions(entries) {
		slice := x.Entry.Slice
		if before, ok := at[slice]; ok && before != x.Entry.Target && x.Entry.Wall > since.UnixNano() {
			moves++
		}
		at[slice] = x.Entry.Target
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
