package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// distribution collects the times that keys went unserved and the number of runs, by test name. No other
// lock is taken while mu is held.
var distribution = struct {
	mu   sync.Mutex
	gaps map[string][]time.Duration
	runs map[string]int
}{gaps: map[string][]time.Duration{}, runs: map[string]int{}}

// recordGaps adds the gaps of one run.
func recordGaps(test string, gaps []time.Duration) {
	distribution.mu.Lock()
	defer distribution.mu.Unlock()
	distribution.gaps[test] = append(distribution.gaps[test], gaps...)
	distribution.runs[test]++
}

// printDistribution prints one row for each test: number of runs, number of gaps, and the median, 99th
// percentile and maximum of the gaps.
func printDistribution() {
	distribution.mu.Lock()
	defer distribution.mu.Unlock()
	var tests []string
	for test := range distribution.gaps {
		tests = append(tests, test)
	}
	slices.Sort(tests)
	for _, test := range tests {
		gaps := distribution.gaps[test]
		slices.Sort(gaps)
		at := func(share float64) time.Duration {
			return gaps[min(len(gaps)-1, int(share*float64(len(gaps))))].Round(time.Millisecond)
		}
		fmt.Printf("recovery | %s | %d | %d | %v | %v | %v |\n",
			test, distribution.runs[test], len(gaps), at(0.5), at(0.99), at(1))
	}
}
