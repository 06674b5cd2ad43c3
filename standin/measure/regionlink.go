package measure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/link"
	"github.com/auburnrelay/auburnrelay/standin/load"
)

const (
	// manualBytes is the size of a long transfer. manualsPerSecond transfers exceed the
	// capacity of the link.
	manualBytes      = 1 << 20
	manualsPerSecond = 5
	shortPerSecond   = 200
	transferDeadline = 30 * time.Second
	bitsPerByte      = 8
	megabit          = 1e6
)

// regionLink sends short work whose owners are in the far region to nodes of the near one,
// and compares its latency with and without long transfers over the same link.
func regionLink(b *bench) ([]figure, error) {
	usual, _, err := b.acrossRegions(b.short(keyed, shortPerSecond))
	if err != nil {
		return nil, err
	}
	manual := b.long(shared, manualsPerSecond)
	manual.Bytes = manualBytes
	manual.Query = "bytes=" + strconv.Itoa(manualBytes)
	manual.Deadline = load.Duration(transferDeadline)
	hurt, mbits, err := b.acrossRegions(b.short(keyed, shortPerSecond), manual)
	if err != nil {
		return nil, err
	}
	with, without := hurt.Kinds[keyed], usual.Kinds[keyed]
	transfers := hurt.Kinds[longKind]
	return []figure{
		{
			name: "region-link.short-p99", value: with.Latency.P99 / without.Latency.P99, unit: "times", target: "<=1.5",
			note: fmt.Sprintf("(p99 %s ms with transfers, %s ms usually; not in time %d of %d)",
				format(with.Latency.P99), format(without.Latency.P99), with.Sent-with.InTime, with.Sent),
		},
		{
			name: "region-link.used", value: mbits, unit: "Mbit/s", target: "<=30",
			note: fmt.Sprintf("(transfers whole %d of %d, p50 %s ms)", transfers.Outcomes[load.Answered], transfers.Sent,
				format(transfers.Latency.P50)),
		},
	}, nil
}

// acrossRegions sends requests of the kinds to nodes of the near region for keys of the far
// one. It returns the measured phase and the data rate from the far region in Mbit/s.
func (b *bench) acrossRegions(kinds ...load.Kind) (load.PhaseResult, float64, error) {
	var rate float64
	for _, k := range kinds {
		rate += k.Share
	}
	plan := b.plan(b.phase("learn", learnTime, rate), kinds...)
	plan.Phases = append(plan.Phases, b.phase("measured", 15*time.Second, rate))
	plan.Entries = b.entries(append(append([]string{}, nearDesks...), nearHubs...))
	plan.Keys.Prefixes = []string{"d-"}
	before, began := b.crossed(), time.Now()
	result, err := b.load(plan)
	if err != nil {
		return load.PhaseResult{}, 0, err
	}
	mbits := float64(b.crossed()-before) * bitsPerByte / megabit / time.Since(began).Seconds()
	return result.Phases[1], mbits, nil
}

// crossed returns the number of bytes received from the far region so far, or zero if it
// cannot be read.
func (b *bench) crossed() int64 {
	var stats link.StatsMessage
	if err := getJSON(b.fleet.LinkURL()+"/admin/stats", &stats); err != nil {
		return 0
	}
	for _, lane := range stats.Lanes {
		if lane.From == b.profile.Far.name {
			return lane.Bytes
		}
	}
	return 0
}

func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode JSON response")
}
