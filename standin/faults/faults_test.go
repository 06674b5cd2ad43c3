package faults

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
	"github.com/auburnrelay/auburnrelay/standin/target"
)

// fault is one case of a table: the VMs that fail, how and for how long, and the longest time that any
// key may go unserved.
type fault struct {
	name    string
	options func(o *Options)
	// hit selects the VMs that fail. The gaps of the keys that they serve are reported apart.
	hit    role
	inject action
	// last is the time between inject and heal.
	last time.Duration
	heal action
	// gap is the longest time that any key may go unserved.
	gap time.Duration
}

// action injects or ends a fault on the given VMs.
type action func(t *testing.T, s *Scene, vms []string)

const (
	// lasting is longer than every lease and every promise between nodes.
	lasting = 5 * time.Second
	// longOutage is longer than several consecutive leases.
	longOutage = 8 * time.Second
)

func unchecked(o *Options) { o.Unchecked = true }
func cuts(o *Options)      { o.Cuts = true }

// oneFault has failures of a single process or VM. Keys must be served again within the limit promised to
// users.
var oneFault = []fault{
	{name: "plain VM killed", hit: plain, inject: killVM, gap: servedAgainIn},
	{name: "controller VM killed", hit: controller, inject: killVM, gap: servedAgainIn},
	{name: "standby VM killed", hit: standby, inject: killVM, gap: servedAgainIn},
	{name: "node killed, target lives", hit: plain, inject: killNode, gap: servedAgainIn},
	{name: "controller's node killed, target lives", hit: controller, inject: killNode, gap: servedAgainIn},
	{name: "target killed, node lives", hit: plain, inject: killTarget, gap: servedAgainIn},
	{name: "plain node paused", hit: plain, inject: pauseNode, last: lasting, heal: resumeNode, gap: servedAgainIn},
	{name: "controller paused", hit: controller, inject: pauseNode, last: lasting, heal: resumeNode, gap: servedAgainIn},
	{name: "standby paused", hit: standby, inject: pauseNode, last: lasting, heal: resumeNode, gap: servedAgainIn},
	{name: "plain VM paused", hit: plain, inject: pauseVM, last: lasting, heal: resumeVM, gap: servedAgainIn},
	{name: "controller VM paused", hit: controller, inject: pauseVM, last: lasting, heal: resumeVM, gap: servedAgainIn},
	{name: "target frozen", hit: plain, inject: freezeTarget, last: lasting, heal: thawTarget, gap: servedAgainIn},
	{name: "target paused", hit: plain, inject: pauseTarget, last: lasting, heal: resumeTarget, gap: servedAgainIn},
	{name: "controller's target frozen", hit: controller, inject: freezeTarget, last: lasting, heal: thawTarget, gap: servedAgainIn},
}

// storeFaults has outages of the store, alone and together with the loss of a VM. Owners keep serving
// during an outage, and successors take over the slices of an owner that is lost meanwhile.
var storeFaults = []fault{
	{name: "store down", hit: nobody, inject: storeIs(store.FaultsMessage{Down: true}), last: longOutage, heal: healStore, gap: time.Second},
	{name: "store slow", hit: nobody, inject: storeIs(store.FaultsMessage{DelayMS: 2000}), last: longOutage, heal: healStore, gap: servedAgainIn},
	{name: "store down, then a plain VM killed", hit: plain, inject: both(storeIs(store.FaultsMessage{Down: true}), killVM),
		last: longOutage, heal: healStore, gap: servedAgainIn},
	{name: "store down, then a node restarted", hit: plain, inject: both(storeIs(store.FaultsMessage{Down: true}), restartNode),
		last: longOutage, heal: healStore, gap: servedAgainIn},
	{name: "store loses answers, then a plain VM killed", hit: plain,
		inject: both(storeIs(store.FaultsMessage{LoseShare: 0.5}), killVM), last: lasting, heal: healStore, gap: 2 * servedAgainIn},
	{name: "store loses answers, then the controller killed", hit: controller,
		inject: both(storeIs(store.FaultsMessage{LoseShare: 0.5}), killVM), last: lasting, heal: healStore, gap: 2 * servedAgainIn},
	{name: "writes delayed, then the controller killed", hit: controller,
		inject: both(storeIs(store.FaultsMessage{DelayWritesMS: 1000}), killVM), last: lasting, heal: healStore, gap: lasting + servedAgainIn},
	// The leases expire, and no new controller can be recorded before the store is back.
	{name: "store down, then the controller killed", hit: controller,
		inject: both(storeIs(store.FaultsMessage{Down: true}), killVM), last: longOutage, heal: healStore, gap: longOutage + servedAgainIn},
}

// bothLost has the loss of controller and standby at the same time. After a crash the other nodes can
// tell that both processes have ended. If both are only silent, no other node may take over until one
// of them is back.
var bothLost = []fault{
	{name: "controller and standby killed", hit: controllerAndStandby, inject: killVM, gap: 2 * servedAgainIn},
	{name: "controller and standby paused", hit: controllerAndStandby, inject: pauseNode, last: lasting, heal: resumeNode,
		gap: lasting + servedAgainIn},
}

// uncheckedFaults has failures with targets that accept any fence. A slice whose former process may
// still execute a request is not served elsewhere until that process is back.
var uncheckedFaults = []fault{
	{name: "unchecked: VM killed", options: unchecked, hit: plain, inject: killVM, gap: servedAgainIn},
	{name: "unchecked: target killed", options: unchecked, hit: plain, inject: killTarget, gap: servedAgainIn},
	{name: "unchecked: node killed, then restarted", options: unchecked, hit: plain, inject: killNode, last: lasting,
		heal: startNode, gap: lasting + servedAgainIn},
	{name: "unchecked: node paused", options: unchecked, hit: plain, inject: pauseNode, last: lasting, heal: resumeNode,
		gap: lasting + servedAgainIn},
	{name: "unchecked: target frozen", options: unchecked, hit: plain, inject: freezeTarget, last: lasting, heal: thawTarget,
		gap: lasting + servedAgainIn},
	{name: "unchecked: VM paused", options: unchecked, hit: plain, inject: pauseVM, last: lasting, heal: resumeVM,
		gap: lasting + servedAgainIn},
}

// cutFaults has network partitions between nodes, and between nodes and the store, and failures of a whole
// failure domain.
var cutFaults = []fault{
	{name: "plain node cut off", options: cuts, hit: plain, inject: cutOff, last: lasting, heal: healCuts, gap: servedAgainIn},
	{name: "controller cut off from store and standby", options: cuts, hit: controller, inject: cutFromStoreAndStandby,
		last: longOutage, heal: healCuts, gap: servedAgainIn},
	{name: "controller cut off from all", options: cuts, hit: controller, inject: cutOff, last: lasting, heal: healCuts, gap: servedAgainIn},
	{name: "failure domain with the controller cut off", options: cuts, hit: controllersDomain, inject: cutDomain,
		last: lasting, heal: healCuts, gap: servedAgainIn},
	{name: "failure domain with the controller killed", hit: controllersDomain, inject: killVM, gap: servedAgainIn},
	{name: "failure domain with the controller killed, then the store down", hit: controllersDomain,
		inject: both(killVM, wait(servedAgainIn), storeIs(store.FaultsMessage{Down: true})), last: lasting, heal: healStore,
		gap: servedAgainIn},
}

func TestOneFault(t *testing.T)         { play(t, oneFault) }
func TestStoreFaults(t *testing.T)      { play(t, storeFaults) }
func TestBothLost(t *testing.T)         { play(t, bothLost) }
func TestUncheckedTargets(t *testing.T) { play(t, uncheckedFaults) }
func TestCuts(t *testing.T)             { play(t, cutFaults) }

// sceneSlots limits the number of scenes that run at the same time.
var sceneSlots = make(chan struct{}, 3)

// play runs each fault on a fleet of its own. It checks that keys are served again in time and that the
// execution logs show no violation of sole ownership.
func play(t *testing.T, rows []fault) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			sceneSlots <- struct{}{}
			defer func() { <-sceneSlots }()
			s := scene(t, row.options)
			vms := row.hit(t, s)
			keys := keysOf(s, vms)
			t.Logf("probes before the fault: %+v, reasons %v", s.Probe.Counts(), s.Probe.Reasons())
			began := time.Now()
			row.inject(t, s, vms)
			time.Sleep(max(row.last, servedAgainIn))
			if row.heal != nil {
				row.heal(t, s, vms)
			}
			settle(t, s)
			report(t, s, began, row.gap, keys)
		})
	}
}

// keysOf returns the keys that the VMs' targets served last; none without VMs, which report takes as all.
func keysOf(s *Scene, vms []string) []string {
	var keys []string
	for _, vm := range vms {
		keys = append(keys, s.Probe.KeysAt(vm)...)
	}
	return keys
}

// settle waits until every key is served again.
func settle(t *testing.T, s *Scene) {
	t.Helper()
	if err := s.Settled(); err != nil {
		t.Errorf("keys still unserved or record incomplete: %v", err)
	}
}

// report logs the results of the probes, and checks the longest gap of any key since began and the
// execution logs. The gaps of the keys in hit, or of all keys if it is empty, are added to the
// distribution.
func report(t *testing.T, s *Scene, began time.Time, bound time.Duration, hit []string) {
	t.Helper()
	s.Probe.Stop()
	gaps := s.Probe.Gaps(began)
	longest := gaps[len(gaps)-1]
	hurt := s.Probe.Gaps(began, hit...)
	note(t.Name(), hurt)
	t.Logf("%d keys of the failed VMs (0: all): gap p50 %v, max %v; all keys: max %v; probes %+v, reasons %v", len(hit), hurt[len(hurt)/2].Round(time.Millisecond),
		hurt[len(hurt)-1].Round(time.Millisecond), longest.Round(time.Millisecond), s.Probe.Counts(), s.Probe.Reasons())
	if longest > bound {
		t.Errorf("a key went unserved for %v, limit %v", longest, bound)
	}
	must(t, s.CheckLogs())
}

// both runs the actions one after the other.
func both(actions ...action) action {
	return func(t *testing.T, s *Scene, vms []string) {
		for _, do := range actions {
			do(t, s, vms)
		}
	}
}

// wait returns an action that sleeps.
func wait(d time.Duration) action {
	return func(*testing.T, *Scene, []string) { time.Sleep(d) }
}

// each returns an action that calls do for each VM in turn.
func each(do func(s *Scene, vm string) error) action {
	return func(t *testing.T, s *Scene, vms []string) {
		for _, vm := range vms {
			must(t, do(s, vm))
		}
	}
}

var (
	killVM       = each(func(s *Scene, vm string) error { s.Fleet.KillVM(vm); return nil })
	pauseVM      = each(func(s *Scene, vm string) error { return s.Fleet.PauseVM(vm) })
	resumeVM     = each(func(s *Scene, vm string) error { return s.Fleet.ResumeVM(vm) })
	startVM      = each(func(s *Scene, vm string) error { return s.Fleet.StartVM(vm) })
	killNode     = each(func(s *Scene, vm string) error { s.Fleet.Nodes[vm].Kill(); return nil })
	startNode    = each(func(s *Scene, vm string) error { return s.Fleet.StartNode(vm) })
	pauseNode    = each(func(s *Scene, vm string) error { return s.Fleet.Nodes[vm].Pause() })
	resumeNode   = each(func(s *Scene, vm string) error { return s.Fleet.Nodes[vm].Resume() })
	killTarget   = each(func(s *Scene, vm string) error { s.Fleet.Targets[vm].Kill(); return nil })
	pauseTarget  = each(func(s *Scene, vm string) error { return s.Fleet.Targets[vm].Pause() })
	resumeTarget = each(func(s *Scene, vm string) error { return s.Fleet.Targets[vm].Resume() })
	freezeTarget = each(func(s *Scene, vm string) error { return s.TargetFaults(vm, target.FaultsMessage{Frozen: true}) })
	thawTarget   = each(func(s *Scene, vm string) error { return s.TargetFaults(vm, target.FaultsMessage{}) })
	restartNode  = both(killNode, startNode)
	healStore    = storeIs(store.FaultsMessage{})
	cutOff       = each(func(s *Scene, vm string) error { return s.Cut(vm, append(s.Others(vm), fleet.StorePlaceName)...) })
)

func healCuts(t *testing.T, s *Scene, _ []string) { must(t, s.HealCuts()) }

func storeIs(faults store.FaultsMessage) action {
	return func(t *testing.T, s *Scene, _ []string) { must(t, s.StoreFaults(faults)) }
}

func cutFromStoreAndStandby(t *testing.T, s *Scene, vms []string) {
	must(t, s.Cut(vms[0], append(standby(t, s), fleet.StorePlaceName)...))
}

// cutDomain cuts the VMs off from all others and from the store, but not from one another.
func cutDomain(t *testing.T, s *Scene, vms []string) {
	for _, vm := range vms {
		must(t, s.Cut(vm, append(s.Others(vms...), fleet.StorePlaceName)...))
	}
}
