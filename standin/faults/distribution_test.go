package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// distribution collects the times that keys went unserved, by scene. Its lock is a leaf.
var distribution = struct {
	mu   sync.Mutex
	gaps map[string][]time.Duration
	runs map[string]int
}{gaps: map[string][]time.Duration{}, runs: map[string]int{}}

// note adds the gaps of one run of a scene.
func note(scene string, gaps []time.Duration) {
	distribution.mu.Lock()
	defer distribution.mu.Unlock()
	distribution.gaps[scene] = append(distribution.gaps[scene], gaps...)
	distribution.runs[scene]++
}

// printDistribution prints a table of the times that keys went unserved.
func printDistribution() {
	distribution.mu.Lock()
	defer distribution.mu.Unlock()
	var scenes []string
	for scene := range distribution.gaps {
		scenes = append(scenes, scene)
	}
	slices.Sort(scenes)
	for _, scene := range scenes {
		gaps := distribution.gaps[scene]
		slices.Sort(gaps)
		at := func(share float64) time.Duration {
			return gaps[min(len(gaps)-1, int(share*float64(len(gaps))))].Round(time.Millisecond)
		}
		fmt.Printf("recovery | %s | %d | %d | %v | %v | %v |\n",
			scene, distribution.runs[scene], len(gaps), at(0.5), at(0.99), at(1))
	}
}
