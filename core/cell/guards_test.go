package cell

import (
	"fmt"
	"os"
	"testing"
)

// guardSwitches maps the name of each safety rule to the function that disables it.
var guardSwitches = map[string]func(*guards){
	"lease dated by request":     func(g *guards) { g.dateByAnswer = true },
	"version change":             func(g *guards) { g.noVersionChange = true },
	"new standby waits":          func(g *guards) { g.noStandbyWait = true },
	"no promise in takeover":     func(g *guards) { g.promiseDuringTakeover = true },
	"quiet time":                 func(g *guards) { g.noQuietTime = true },
	"reported holders only":      func(g *guards) { g.grantUnreported = true },
	"replaced standby ignored":   func(g *guards) { g.acceptReplacedStandby = true },
	"own lease within authority": func(g *guards) { g.unboundOwnLease = true },
	"leases within authority":    func(g *guards) { g.unboundLeases = true },
	"refuse previous epochs":     func(g *guards) { g.acceptPreviousEpochs = true },
	"role bound to incarnation":  func(g *guards) { g.ignoreIncarnation = true },
	"wait for lease to lapse":    func(g *guards) { g.noLapseWait = true },
	"wait for unfenced target":   func(g *guards) { g.moveUnfenced = true },
	"release fence":              func(g *guards) { g.noReleaseFence = true },
	"table before grant":         func(g *guards) { g.noTableWait = true },
	"no older sheet":             func(g *guards) { g.acceptOlderSheet = true },
	"other cells agree":          func(g *guards) { g.ignoreOtherCells = true },
	"silence without standby":    func(g *guards) { g.noSilenceWithoutStandby = true },
	"record read first":          func(g *guards) { g.heartbeatWithoutRecord = true },
	"no lower fence":             func(g *guards) { g.acceptLowerFence = true },
	"promise outlives process":   func(g *guards) { g.ignoreExitedPromise = true },
	"lease bound to target":      func(g *guards) { g.keepLeasesAcrossTargets = true },
	"dropped range not granted":  func(g *guards) { g.grantDroppedRanges = true },
	"grant to listed nodes":      func(g *guards) { g.grantUnlisted = true },
	"split slice not granted":    func(g *guards) { g.grantSplitSlices = true },
	"activate checking targets":  func(g *guards) { g.activateUnfenced = true },
}

// TestWalkWithout reports how many seeds of the random walk find a violation while a guard is
// disabled. WALK_GUARD names the guard; "all" disables each in turn. It is a measurement and
// checks nothing.
func TestWalkWithout(t *testing.T) {
	wanted := os.Getenv("WALK_GUARD")
	if wanted == "" {
		t.Skip("WALK_GUARD names no guard")
	}
	seeds := envInt("WALK_SEEDS", 300)
	for _, name := range sortedNames(guardSwitches) {
		if name != wanted && wanted != "all" {
			continue
		}
		found, first := 0, ""
		for seed := range uint64(seeds) {
			w := newWalkWorld(seed + 1)
			guardSwitches[name](&w.guards)
			for _, n := range w.nodes {
				n.machine.guards = w.guards
			}
			w.run(walkFaultsEnd)
			if len(w.violations) > 0 {
				found++
				if first == "" {
					first = fmt.Sprintf("seed %d: %s", seed+1, w.violations[0])
				}
			}
		}
		t.Logf("%-26s %4d of %d seeds; %.100s", name, found, seeds, first)
	}
}
