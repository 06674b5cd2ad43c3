package faults

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/store"
	"github.com/auburnrelay/auburnrelay/standin/target"
)

// servedAgainIn is the users' bound on the time that a key goes unserved after a loss.
const servedAgainIn = 3 * time.Second

// none says that a fault allows no gap above the bound on losses.
const none = servedAgainIn

// scene opens a scene of the cell's usual size.
func scene(t *testing.T, change func(o *Options)) *Scene {
	t.Helper()
	o := Options{Bin: bin, Dir: sceneDir(t), VMs: 4}
	if change != nil {
		change(&o)
	}
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// keepDir names the variable with a folder in which settings and logs of scenes stay.
const keepDir = "AUBURNRELAY_SCENES"

func sceneDir(t *testing.T) string {
	root := os.Getenv(keepDir)
	if root == "" {
		return t.TempDir()
	}
	dir := filepath.Join(root, strings.ReplaceAll(t.Name(), "/", "-"))
	must(t, os.MkdirAll(dir, 0o700))
	return dir
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// role names the node that a fault hits.
type role func(t *testing.T, s *Scene) string

func controller(t *testing.T, s *Scene) string {
	record, err := s.Record()
	must(t, err)
	return record.Controller.Name
}

func standby(t *testing.T, s *Scene) string {
	record, err := s.Record()
	must(t, err)
	return record.Standby.Name
}

func plain(t *testing.T, s *Scene) string {
	name, err := s.Plain()
	must(t, err)
	return name
}

// TestOneFault plays one fault at a time under bookings. After each the keys are served
// again in time, and the execution logs show sole ownership throughout.
func TestOneFault(t *testing.T) {
	storeDown := store.FaultsMessage{Down: true}
	cases := []struct {
		name   string
		hit    role
		inject func(t *testing.T, s *Scene, vm string)
		// last is how long the fault lasts before heal.
		last time.Duration
		heal func(t *testing.T, s *Scene, vm string)
		// gap is the longest time that a key may go unserved.
		gap time.Duration
	}{
		{name: "plain VM killed", hit: plain, inject: killVM, gap: none},
		{name: "controller VM killed", hit: controller, inject: killVM, gap: none},
		{name: "standby VM killed", hit: standby, inject: killVM, gap: none},
		{name: "node killed, target lives", hit: plain, inject: killNode, gap: none},
		{name: "target killed, node lives", hit: plain, inject: killTarget, gap: none},
		{name: "plain node paused", hit: plain, inject: pauseNode, last: 5 * time.Second, heal: resumeNode, gap: none},
		{name: "controller paused", hit: controller, inject: pauseNode, last: 5 * time.Second, heal: resumeNode, gap: none},
		{name: "target frozen", hit: plain, inject: freezeTarget, last: 5 * time.Second, heal: thawTarget, gap: none},
		{name: "store down", hit: plain, inject: func(t *testing.T, s *Scene, _ string) { must(t, s.StoreFaults(storeDown)) },
			last: 8 * time.Second, heal: healStore, gap: time.Second},
		{name: "store loses answers", hit: plain, inject: func(t *testing.T, s *Scene, vm string) {
			must(t, s.StoreFaults(store.FaultsMessage{LoseShare: 0.5}))
			killVM(t, s, vm)
		}, last: 5 * time.Second, heal: healStore, gap: 2 * servedAgainIn},
		{name: "store down, then a plain VM killed", hit: plain, inject: func(t *testing.T, s *Scene, vm string) {
			must(t, s.StoreFaults(storeDown))
			killVM(t, s, vm)
		}, last: 8 * time.Second, heal: healStore, gap: none},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scene(t, nil)
			vm := c.hit(t, s)
			began := time.Now()
			c.inject(t, s, vm)
			time.Sleep(max(c.last, servedAgainIn))
			if c.heal != nil {
				c.heal(t, s, vm)
			}
			settle(t, s)
			report(t, s, began, c.gap)
		})
	}
}

// settle waits until every key is served again.
func settle(t *testing.T, s *Scene) {
	t.Helper()
	if err := s.Settled(); err != nil {
		t.Errorf("keys stay unserved: %v", err)
	}
}

// report prints what the probes saw and checks the longest gap and the execution logs.
func report(t *testing.T, s *Scene, began time.Time, bound time.Duration) {
	t.Helper()
	s.Probe.Stop()
	gaps := s.Probe.Gaps(began)
	t.Logf("gap p50 %v, max %v; %+v %v", gaps[len(gaps)/2].Round(time.Millisecond),
		gaps[len(gaps)-1].Round(time.Millisecond), s.Probe.Counts(), s.Probe.Reasons())
	if longest := gaps[len(gaps)-1]; longest > bound {
		t.Errorf("a key went unserved for %v, allowed %v", longest, bound)
	}
	must(t, s.CheckLogs())
}

func killVM(_ *testing.T, s *Scene, vm string)     { s.Fleet.KillVM(vm) }
func killNode(_ *testing.T, s *Scene, vm string)   { s.Fleet.Nodes[vm].Kill() }
func killTarget(_ *testing.T, s *Scene, vm string) { s.Fleet.Targets[vm].Kill() }
func pauseNode(t *testing.T, s *Scene, vm string)  { must(t, s.Fleet.Nodes[vm].Pause()) }
func resumeNode(t *testing.T, s *Scene, vm string) { must(t, s.Fleet.Nodes[vm].Resume()) }

func freezeTarget(t *testing.T, s *Scene, vm string) {
	must(t, s.TargetFaults(vm, target.FaultsMessage{Frozen: true}))
}

func thawTarget(t *testing.T, s *Scene, vm string) {
	must(t, s.TargetFaults(vm, target.FaultsMessage{}))
}

func healStore(t *testing.T, s *Scene, _ string) { must(t, s.StoreFaults(store.FaultsMessage{})) }
