package holding

import (
	"fmt"
	"testing"
)

// fleetSizes are the numbers of targets of a service for which the benchmarks measure planning.
var fleetSizes = []int{9, 76, 195, 1000}

// balancedTable returns a table in which all slices are spread over the given number of targets, and the
// targets with a load that needs no change.
func balancedTable(targets int) (*Table, []Candidate) {
	candidates := make([]Candidate, targets)
	for i := range candidates {
		candidates[i] = Candidate{
			Owner:    Owner{Node: fmt.Sprintf("vm-%04d", i), Target: fmt.Sprintf("i-%08x", i*7919), Born: 1_700_000_000_000 + int64(i)},
			Capacity: 40 + float64(i%7), Rate: 11, Hot: map[int]float64{i % SliceCount: 2},
		}
	}
	table := NewTable("k")
	table.Assign(candidates)
	return table, candidates
}

// BenchmarkNeedsChange measures the check of a table that needs no change.
func BenchmarkNeedsChange(b *testing.B) {
	for _, n := range fleetSizes {
		table, candidates := balancedTable(n)
		limit := ResponseLimit{Bytes: 4000, GrantBytes: func(Grant) int { return 11 }}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if table.NeedsChange(candidates, limit, true) {
					b.Fatal("the balanced table needs a change")
				}
			}
		})
	}
}

// BenchmarkReplaceTargets measures the plan after a tenth of the targets has been lost.
func BenchmarkReplaceTargets(b *testing.B) {
	for _, n := range fleetSizes {
		table, candidates := balancedTable(n)
		lost := candidates[:(n+9)/10]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				c := table.Clone()
				for _, l := range lost {
					c.RemoveOwner(l.Owner)
				}
				if !c.Assign(candidates[len(lost):]) {
					b.Fatal("no slice was assigned")
				}
			}
		})
	}
}

// BenchmarkDecode measures reading a table that has been written, as each node does after each write.
func BenchmarkDecode(b *testing.B) {
	for _, n := range fleetSizes {
		table, _ := balancedTable(n)
		value, err := table.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
