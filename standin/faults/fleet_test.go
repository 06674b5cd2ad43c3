package faults

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// stopWait is how long a node may take to hand its keys over.
const stopWait = 30 * time.Second

// TestRollingReplacement stops and starts every node in turn: nothing is cut or in doubt, and
// no key goes unserved above the bound.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	sceneSlots <- struct{}{}
	defer func() { <-sceneSlots }()
	s := scene(t, nil)
	began := time.Now()
	before := s.Probe.Counts()
	for _, vm := range s.Fleet.VMs {
		must(t, s.Fleet.Nodes[vm.Name].Stop(stopWait))
		must(t, s.Fleet.StartNode(vm.Name))
		settle(t, s)
		must(t, s.spread())
	}
	report(t, s, began, servedAgainIn, nil)
	after := s.Probe.Counts()
	if after.Unknown > before.Unknown || after.Cut > before.Cut {
		t.Errorf("cut or in doubt: %+v, before %+v, reasons %v", after, before, s.Probe.Reasons())
	}
}

// TestAllRestarted kills every VM at once and starts them again.
func TestAllRestarted(t *testing.T) {
	t.Parallel()
	sceneSlots <- struct{}{}
	defer func() { <-sceneSlots }()
	s := scene(t, nil)
	began := time.Now()
	killVM(t, s, s.Others())
	startVM(t, s, s.Others())
	settle(t, s)
	report(t, s, began, settleLimit, nil)
}

// TestSecondNodeJoins leaves a cell with one node, which serves all keys; a second joins, and
// the first is lost.
func TestSecondNodeJoins(t *testing.T) {
	t.Parallel()
	sceneSlots <- struct{}{}
	defer func() { <-sceneSlots }()
	s := scene(t, func(o *Options) { o.VMs = 2 })
	began := time.Now()
	first, second := controller(t, s), standby(t, s)
	killVM(t, s, second)
	must(t, fleet.Await(settleLimit, func() bool {
		record, err := s.Record()
		return err == nil && record.Standby.Name == "" && s.Probe.ServedSince(began.Add(servedAgainIn)) == keyCount
	}))
	startVM(t, s, second)
	settle(t, s)
	must(t, s.spread())
	killVM(t, s, first)
	must(t, fleet.Await(settleLimit, func() bool {
		record, err := s.Record()
		return err == nil && record.Controller.Name == second[0]
	}))
	time.Sleep(servedAgainIn)
	startVM(t, s, first)
	settle(t, s)
	report(t, s, began, servedAgainIn, nil)
}

// TestRecordAfterOutage loses a node during an outage; when the store returns, the record must
// say who serves its slices, and restarts after that must not bring the old owner back.
func TestRecordAfterOutage(t *testing.T) {
	t.Parallel()
	sceneSlots <- struct{}{}
	defer func() { <-sceneSlots }()
	s := scene(t, nil)
	began := time.Now()
	lost := plain(t, s)
	keys := keysOf(s, lost)
	must(t, s.StoreFaults(store.FaultsMessage{Down: true}))
	killVM(t, s, lost)
	time.Sleep(longOutage)
	if served := s.Probe.ServedSince(began.Add(servedAgainIn)); served != keyCount {
		t.Errorf("%d of %d keys served by successors", served, keyCount)
	}
	must(t, s.StoreFaults(store.FaultsMessage{}))
	settle(t, s)
	must(t, fleet.Await(settleLimit, func() bool {
		record, err := s.Record()
		return err == nil && record.ownedBy(lost[0]) == 0
	}))
	report(t, s, began, servedAgainIn, keys)
}
