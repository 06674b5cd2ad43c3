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
	// selectVMs selects the VMs that fail. Only the gaps of the keys that they serve are added to the
	// distribution.
	selectVMs vmSelector
	inject    action
	// duration is the time between inject and heal.
	duration time.Duration
	heal     action
	// maxGap is the longest time that any key may go unserved.
	maxGap time.Duration
}

// action injects or ends a fault on the given VMs.
type action func(t *testing.T, s *Scenario, vms []string)

const (
	// faultDuration is longer than every lease and every promise between nodes.
	faultDuration = 5 * time.Second
	// longOutage is longer than several consecutive leases.
	longOutage = 8 * time.Second
)

func acceptAnyFence(o *Options) { o.AcceptAnyFence = true }
func withCuts(o *Options)       { o.Cuts = true }

// singleFaults has failures of a single process or VM. Keys must be served again within the limit promised to
// users.
var singleFaults = []fault{
	{name: "plain VM killed", selectVMs: plainVM, inject: killVM, maxGap: recoveryLimit},
	{name: "controller VM killed", selectVMs: controller, inject: killVM, maxGap: recoveryLimit},
	{name: "standby VM killed", selectVMs: standby, inject: killVM, maxGap: recoveryLimit},
	{name: "node killed, target lives", selectVMs: plainVM, inject: killNode, maxGap: recoveryLimit},
	{name: "controller's node killed, target lives", selectVMs: controller, inject: killNode, maxGap: recoveryLimit},
	{name: "target killed, node lives", selectVMs: plainVM, inject: killTarget, maxGap: recoveryLimit},
	{name: "plain node paused", selectVMs: plainVM,
		inject: pauseNode, duration: faultDuration, heal: resumeNode, maxGap: recoveryLimit},
	{name: "controller paused", selectVMs: controller,
		inject: pauseNode, duration: faultDuration, heal: resumeNode, maxGap: recoveryLimit},
	{name: "standby paused", selectVMs: standby,
		inject: pauseNode, duration: faultDuration, heal: resumeNode, maxGap: recoveryLimit},
	{name: "plain VM paused", selectVMs: plainVM, inject: pauseVM, duration: faultDuration, heal: resumeVM, maxGap: recoveryLimit},
	{name: "controller VM paused", selectVMs: controller,
		inject: pauseVM, duration: faultDuration, heal: resumeVM, maxGap: recoveryLimit},
	{name: "target frozen", selectVMs: plainVM,
		inject: freezeTarget, duration: faultDuration, heal: thawTarget, maxGap: recoveryLimit},
	{name: "target paused", selectVMs: plainVM,
		inject: pauseTarget, duration: faultDuration, heal: resumeTarget, maxGap: recoveryLimit},
	{name: "controller's target frozen", selectVMs: controller,
		inject: freezeTarget, duration: faultDuration, heal: thawTarget, maxGap: recoveryLimit},
}

// storeFaults has outages of the store, alone and together with the loss of a VM. Owners keep serving
// during an outage, and successors take over the slices of an owner that is lost meanwhile.
var storeFaults = []fault{
	{name: "store down", selectVMs: noVMs,
		inject: setStoreFaults(store.FaultsMessage{Down: true}), duration: longOutage, heal: healStore, maxGap: time.Second},
	{name: "store slow", selectVMs: noVMs,
		inject: setStoreFaults(store.FaultsMessage{DelayMS: 2000}), duration: longOutage, heal: healStore, maxGap: recoveryLimit},
	{name: "store down, then a plain VM killed", selectVMs: plainVM,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{Down: true}), killVM),
		duration: longOutage, heal: healStore, maxGap: recoveryLimit},
	{name: "store down, then a node restarted", selectVMs: plainVM,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{Down: true}), restartNode),
		duration: longOutage, heal: healStore, maxGap: recoveryLimit},
	{name: "store loses answers, then a plain VM killed", selectVMs: plainVM,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{LoseShare: 0.5}), killVM),
		duration: faultDuration, heal: healStore, maxGap: 2 * recoveryLimit},
	{name: "store loses answers, then the controller killed", selectVMs: controller,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{LoseShare: 0.5}), killVM),
		duration: faultDuration, heal: healStore, maxGap: 2 * recoveryLimit},
	{name: "writes delayed, then the controller killed", selectVMs: controller,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{DelayWritesMS: 1000}), killVM),
		duration: faultDuration, heal: healStore, maxGap: faultDuration + recoveryLimit},
	// The leases expire, and no new controller can be recorded before the store is back.
	{name: "store down, then the controller killed", selectVMs: controller,
		inject:   inSequence(setStoreFaults(store.FaultsMessage{Down: true}), killVM),
		duration: longOutage, heal: healStore, maxGap: longOutage + recoveryLimit},
}

// bothLost has the loss of controller and standby at the same time. After a crash the other nodes can
// tell that both processes have ended. If both are only silent, no other node may take over until one
// of them is back.
var bothLost = []fault{
	{name: "controller and standby killed", selectVMs: controllerAndStandby, inject: killVM, maxGap: 2 * recoveryLimit},
	{name: "controller and standby paused", selectVMs: controllerAndStandby,
		inject: pauseNode, duration: faultDuration, heal: resumeNode,
		maxGap: faultDuration + recoveryLimit},
}

// uncheckedFaults has failures with targets that accept any fence. A slice whose former process may
// still execute a request is not served elsewhere until that process is back.
var uncheckedFaults = []fault{
	{name: "unchecked: VM killed", options: acceptAnyFence, selectVMs: plainVM, inject: killVM, maxGap: recoveryLimit},
	{name: "unchecked: target killed", options: acceptAnyFence, selectVMs: plainVM, inject: killTarget, maxGap: recoveryLimit},
	{name: "unchecked: node killed, then restarted", options: acceptAnyFence, selectVMs: plainVM,
		inject: killNode, duration: faultDuration,
		heal: startNode, maxGap: faultDuration + recoveryLimit},
	{name: "unchecked: node paused", options: acceptAnyFence, selectVMs: plainVM,
		inject: pauseNode, duration: faultDuration, heal: resumeNode,
		maxGap: faultDuration + recoveryLimit},
	{name: "unchecked: target frozen", options: acceptAnyFence, selectVMs: plainVM,
		inject: freezeTarget, duration: faultDuration, heal: thawTarget,
		maxGap: faultDuration + recoveryLimit},
	{name: "unchecked: VM paused", options: acceptAnyFence, selectVMs: plainVM,
		inject: pauseVM, duration: faultDuration, heal: resumeVM,
		maxGap: faultDuration + recoveryLimit},
}

// cutFaults has network partitions between nodes, and between nodes and the store, and failures of a whole
// failure domain.
var cutFaults = []fault{
	{name: "plain node cut off", options: withCuts, selectVMs: plainVM,
		inject: cutOffNode, duration: faultDuration, heal: healCuts, maxGap: recoveryLimit},
	{name: "controller cut off from store and standby", options: withCuts, selectVMs: controller, inject: cutFromStoreAndStandby,
		duration: longOutage, heal: healCuts, maxGap: recoveryLimit},
	{name: "controller cut off from all", options: withCuts, selectVMs: controller,
		inject: cutOffNode, duration: faultDuration, heal: healCuts, maxGap: recoveryLimit},
	{name: "failure domain with the controller cut off", options: withCuts, selectVMs: controllerDomainVMs, inject: cutDomain,
		duration: faultDuration, heal: healCuts, maxGap: recoveryLimit},
	{name: "failure domain with the controller killed", selectVMs: controllerDomainVMs, inject: killVM, maxGap: recoveryLimit},
	{name: "failure domain with the controller killed, then the store down", selectVMs: controllerDomainVMs,
		inject:   inSequence(killVM, sleep(recoveryLimit), setStoreFaults(store.FaultsMessage{Down: true})),
		duration: faultDuration, heal: healStore,
		maxGap: recoveryLimit},
}

func TestOneFault(t *testing.T)         { runFaults(t, singleFaults) }
func TestStoreFaults(t *testing.T)      { runFaults(t, storeFaults) }
func TestBothLost(t *testing.T)         { runFaults(t, bothLost) }
func TestUncheckedTargets(t *testing.T) { runFaults(t, uncheckedFaults) }
func TestCuts(t *testing.T)             { runFaults(t, cutFaults) }

// scenarioSlots limits the number of scenarios that run at the same time.
var scenarioSlots = make(chan struct{}, 3)

// runFaults runs each fault on a fleet of its own. It checks that keys are served again in time and that the
// execution logs show no violation of sole ownership.
func runFaults(t *testing.T, rows []fault) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			scenarioSlots <- struct{}{}
			defer func() { <-scenarioSlots }()
			s := newScenario(t, row.options)
			vms := row.selectVMs(t, s)
			keys := keysOf(s, vms)
			t.Logf("probes before the fault: %+v, reasons %v", s.Probe.Counts(), s.Probe.Reasons())
			began := time.Now()
			row.inject(t, s, vms)
			time.Sleep(max(row.duration, recoveryLimit))
			if row.heal != nil {
				row.heal(t, s, vms)
			}
			awaitSettled(t, s)
			checkRecovery(t, s, began, row.maxGap, keys)
		})
	}
}

// keysOf returns the keys whose last answer came from the VMs' targets. Without VMs it returns none, which
// checkRecovery takes as all keys.
func keysOf(s *Scenario, vms []string) []string {
	var keys []string
	for _, vm := range vms {
		keys = append(keys, s.Probe.KeysAnsweredBy(vm)...)
	}
	return keys
}

// awaitSettled waits until every key is served again and fails the test after settleTimeout.
func awaitSettled(t *testing.T, s *Scenario) {
	t.Helper()
	if err := s.AwaitSettled(); err != nil {
		t.Errorf("keys still unserved or record incomplete: %v", err)
	}
}

// checkRecovery logs the results of the probes, and checks the longest gap of any key since began and the
// execution logs. The gaps of the given keys, or of all keys if none are given, are added to the
// distribution.
func checkRecovery(t *testing.T, s *Scenario, began time.Time, limit time.Duration, keys []string) {
	t.Helper()
	s.Probe.Stop()
	gaps := s.Probe.Gaps(began)
	longest := gaps[len(gaps)-1]
	selectedGaps := s.Probe.Gaps(began, keys...)
	recordGaps(t.Name(), selectedGaps)
	t.Logf("%d keys of the failed VMs (0: all): gap p50 %v, max %v; all keys: max %v; probes %+v, reasons %v",
		len(keys), selectedGaps[len(selectedGaps)/2].Round(time.Millisecond),
		selectedGaps[len(selectedGaps)-1].Round(time.Millisecond), longest.Round(time.Millisecond), s.Probe.Counts(), s.Probe.Reasons())
	if longest > limit {
		t.Errorf("a key went unserved for %v, limit %v", longest, limit)
	}
	must(t, s.CheckLogs())
}

// inSequence runs the actions one after the other.
func inSequence(actions ...action) action {
	return func(t *testing.T, s *Scenario, vms []string) {
		for _, do := range actions {
			do(t, s, vms)
		}
	}
}

// sleep returns an action that sleeps.
func sleep(d time.Duration) action {
	return func(*testing.T, *Scenario, []string) { time.Sleep(d) }
}

// forEachVM returns an action that calls do for each VM in turn.
func forEachVM(do func(s *Scenario, vm string) error) action {
	return func(t *testing.T, s *Scenario, vms []string) {
		for _, vm := range vms {
			must(t, do(s, vm))
		}
	}
}

var (
	killVM       = forEachVM(func(s *Scenario, vm string) error { s.Fleet.KillVM(vm); return nil })
	pauseVM      = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.PauseVM(vm) })
	resumeVM     = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.ResumeVM(vm) })
	startVM      = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.StartVM(vm) })
	killNode     = forEachVM(func(s *Scenario, vm string) error { s.Fleet.Nodes[vm].Kill(); return nil })
	startNode    = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.StartNode(vm) })
	pauseNode    = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.Nodes[vm].Pause() })
	resumeNode   = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.Nodes[vm].Resume() })
	killTarget   = forEachVM(func(s *Scenario, vm string) error { s.Fleet.Targets[vm].Kill(); return nil })
	pauseTarget  = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.Targets[vm].Pause() })
	resumeTarget = forEachVM(func(s *Scenario, vm string) error { return s.Fleet.Targets[vm].Resume() })
	freezeTarget = forEachVM(func(s *Scenario, vm string) error { return s.SetTargetFaults(vm, target.FaultsMessage{Frozen: true}) })
	thawTarget   = forEachVM(func(s *Scenario, vm string) error { return s.SetTargetFaults(vm, target.FaultsMessage{}) })
	restartNode  = inSequence(killNode, startNode)
	healStore    = setStoreFaults(store.FaultsMessage{})
	cutOffNode   = forEachVM(func(s *Scenario, vm string) error { return s.Cut(vm, append(s.Others(vm), fleet.StorePlaceName)...) })
)

func healCuts(t *testing.T, s *Scenario, _ []string) { must(t, s.HealCuts()) }

func setStoreFaults(faults store.FaultsMessage) action {
	return func(t *testing.T, s *Scenario, _ []string) { must(t, s.SetStoreFaults(faults)) }
}

func cutFromStoreAndStandby(t *testing.T, s *Scenario, vms []string) {
	must(t, s.Cut(vms[0], append(standby(t, s), fleet.StorePlaceName)...))
}

// cutDomain cuts the VMs off from all others and from the store, but not from one another.
func cutDomain(t *testing.T, s *Scenario, vms []string) {
	for _, vm := range vms {
		must(t, s.Cut(vm, append(s.Others(vms...), fleet.StorePlaceName)...))
	}
}
