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
	// seedCountEnv and firstSeedEnv are the environment variables with the number of schedules to run and the
	// seed of the first.
	seedCountEnv = "FAULT_SEEDS"
	firstSeedEnv = "FAULT_SEED"
	// defaultSeeds is the number of schedules to run if seedCountEnv is not set.
	defaultSeeds = 3
	// maxRandomWait is the longest random wait after a fault and before the end of one.
	maxRandomWait = 3 * time.Second
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
	{"cut node off", cutOffNode, healCuts},
	{"cut node off the store", forEachVM(func(s *Scenario, vm string) error { return s.Cut(vm, fleet.StorePlaceName) }), healCuts},
	{"store down", setStoreFaults(store.FaultsMessage{Down: true}), healStore},
	{"store loses answers", setStoreFaults(store.FaultsMessage{LoseShare: 0.5}), healStore},
	{"writes delayed", setStoreFaults(store.FaultsMessage{DelayWritesMS: 1500}), healStore},
}

// TestTwoFaults injects two random faults at random times on two random VMs and ends them in random
// order. No key may ever have two owners, and every key must be served again afterwards.
func TestTwoFaults(t *testing.T) {
	first, seeds := envNumber(firstSeedEnv, 1), envNumber(seedCountEnv, defaultSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			scenarioSlots <- struct{}{}
			defer func() { <-scenarioSlots }()
			runSchedule(t, uint64(seed))
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newScenario(t, func(o *Options) { o.Cuts, o.AcceptAnyFence = true, rng.IntN(4) == 0 })
	began := time.Now()
	names := s.Others()
	var heals []func()
	order := rng.Perm(len(names))
	for i := range 2 {
		fault := randomFaults[rng.IntN(len(randomFaults))]
		vms := []string{names[order[i]]}
		t.Logf("seed %d, %v: %s, %s", seed, time.Since(began).Round(time.Millisecond), fault.name, vms[0])
		fault.inject(t, s, vms)
		heals = append(heals, func() { fault.heal(t, s, vms) })
		time.Sleep(time.Duration(rng.Int64N(int64(maxRandomWait))))
	}
	for _, i := range rng.Perm(len(heals)) {
		time.Sleep(time.Duration(rng.Int64N(int64(maxRandomWait))))
		heals[i]()
	}
	ended := time.Now()
	awaitSettled(t, s)
	t.Logf("seed %d: settled %v after the last fault ended", seed, time.Since(ended).Round(time.Millisecond))
	s.Probe.Stop()
	must(t, s.CheckLogs())
}

func envNumber(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}
