package faults

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

const (
	// seedsEnv and seedEnv are the environment variables with the number of schedules to run and the
	// seed of the first.
	seedsEnv = "FAULT_SEEDS"
	seedEnv  = "FAULT_SEED"
	// ciSeeds is the number of schedules to run if seedsEnv is not set.
	ciSeeds = 3
	// apart is the longest random wait after a fault and before the end of one.
	apart = 3 * time.Second
)

// randomFaults are the faults from which a schedule draws, each with the action that ends it.
var randomFaults = []struct {
	name   string
	inject action
	heal   action
}{
	{"kill VM", killVM, startVM},
	{"kill node", killNode, startNode},
	{"pause node", pauseNode, resumeNode},
	{"pause VM", pauseVM, resumeVM},
	{"freeze target", freezeTarget, thawTarget},
	{"cut node off", cutOff, healCuts},
	{"cut node off the store", each(func(s *Scene, vm string) error { return s.Cut(vm, fleet.StorePlaceName) }), healCuts},
	{"store down", storeIs(store.FaultsMessage{Down: true}), healStore},
	{"store loses answers", storeIs(store.FaultsMessage{LoseShare: 0.5}), healStore},
	{"writes delayed", storeIs(store.FaultsMessage{DelayWritesMS: 1500}), healStore},
}

// TestTwoFaults injects two random faults at random times on two random VMs and ends them in random
// order. No key may ever have two owners, and every key must be served again afterwards.
func TestTwoFaults(t *testing.T) {
	first, seeds := envNumber(seedEnv, 1), envNumber(seedsEnv, ciSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sceneSlots <- struct{}{}
			defer func() { <-sceneSlots }()
			playSchedule(t, uint64(seed))
		})
	}
}

func playSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := scene(t, func(o *Options) { o.Cuts, o.Unchecked = true, rng.IntN(4) == 0 })
	began := time.Now()
	names := s.Others()
	var heals []func()
	hit := rng.Perm(len(names))
	for i := range 2 {
		fault := randomFaults[rng.IntN(len(randomFaults))]
		vms := []string{names[hit[i]]}
		t.Logf("seed %d, %v: %s, %s", seed, time.Since(began).Round(time.Millisecond), fault.name, vms[0])
		fault.inject(t, s, vms)
		heals = append(heals, func() { fault.heal(t, s, vms) })
		time.Sleep(time.Duration(rng.Int64N(int64(apart))))
	}
	for _, i := range rng.Perm(len(heals)) {
		time.Sleep(time.Duration(rng.Int64N(int64(apart))))
		heals[i]()
	}
	ended := time.Now()
	settle(t, s)
	t.Logf("seed %d: settled %v after the last fault ended", seed, time.Since(ended).Round(time.Millisecond))
	s.Probe.Stop()
	must(t, s.CheckLogs())
}

func envNumber(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}
