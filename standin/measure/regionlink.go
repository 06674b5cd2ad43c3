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
	// transferBytes is the size of a long transfer. At transfersPerSecond, the transfers
	// exceed the capacity of the link.
	transferBytes      = 1 << 20
	transfersPerSecond = 5
	shortPerSecond     = 200
	transferDeadline   = 30 * time.Second
	bitsPerByte        = 8
	megabit            = 1e6
)

// regionLink sends short work whose owners are in the far region to nodes of the near one,
// and compares its latency with and without long transfers over the same link.
func regionLink(b *testbed) ([]figure, error) {
	unloaded, _, err := b.loadAcrossRegions(b.shortWork(keyedService, shortPerSecond))
	if err != nil {
		return nil, err
	}
	transfer := b.longWork(sharedService, transfersPerSecond)
	transfer.Bytes = transferBytes
	transfer.Query = "bytes=" + strconv.Itoa(transferBytes)
	transfer.Deadline = load.Duration(transferDeadline)
	loaded, mbits, err := b.loadAcrossRegions(b.shortWork(keyedService, shortPerSecond), transfer)
	if err != nil {
		return nil, err
	}
	with, without := loaded.Kinds[keyedService], unloaded.Kinds[keyedService]
	transfers := loaded.Kinds[longKind]
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

// loadAcrossRegions sends requests of the kinds to nodes of the near region for keys of the
// far one. The share of each kind is its rate in requests per second. It returns the measured phase and the data rate from the far region in Mbit/s.
func (b *testbed) loadAcrossRegions(kinds ...load.Kind) (load.PhaseResult, float64, error) {
	var rate float64
	for _, k := range kinds {
		rate += k.Share
	}
	plan := b.plan(b.phase("learn", warmUpTime, rate), kinds...)
	plan.Phases = append(plan.Phases, b.phase("measured", 15*time.Second, rate))
	plan.Entries = b.entryURLs(append(append([]string{}, nearKeyedVMs...), nearSharedVMs...))
	plan.Keys.Prefixes = []string{"d-"}
	before, began := b.bytesFromFarRegion(), time.Now()
	result, err := b.load(plan)
	if err != nil {
		return load.PhaseResult{}, 0, err
	}
	mbits := float64(b.bytesFromFarRegion()-before) * bitsPerByte / megabit / time.Since(began).Seconds()
	return result.Phases[1], mbits, nil
}

// bytesFromFarRegion returns the number of bytes received from the far region so far, or
// zero if it cannot be read.
func (b *testbed) bytesFromFarRegion() int64 {
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
