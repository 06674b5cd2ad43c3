package faults

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/store"
)

// stopTimeout limits the graceful stop of a node, during which it hands its slices over.
const stopTimeout = 30 * time.Second

// TestRollingReplacement stops and restarts every node in turn. No connection may break, no outcome may
// be unknown, and no key may go unserved for longer than the limit.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	scenarioSlots <- struct{}{}
	defer func() { <-scenarioSlots }()
	s := newScenario(t, nil)
	began := time.Now()
	before := s.Probe.Counts()
	for _, vm := range s.Fleet.VMs {
		must(t, s.Fleet.Nodes[vm.Name].Stop(stopTimeout))
		must(t, s.Fleet.StartNode(vm.Name))
		awaitSettled(t, s)
		must(t, s.awaitSpread())
	}
	checkRecovery(t, s, began, recoveryLimit, nil)
	after := s.Probe.Counts()
	if after.Unknown > before.Unknown || after.Broken > before.Broken {
		t.Errorf("connections broken or outcomes unknown: %+v, before %+v, reasons %v", after, before, s.Probe.Reasons())
	}
}

// TestAllRestarted kills all VMs and starts them again: the keys must be served again from the state in
// the store.
func TestAllRestarted(t *testing.T) {
	t.Parallel()
	scenarioSlots <- struct{}{}
	defer func() { <-scenarioSlots }()
	s := newScenario(t, nil)
	began := time.Now()
	killVM(t, s, s.Others())
	startVM(t, s, s.Others())
	awaitSettled(t, s)
	checkRecovery(t, s, began, settleTimeout, nil)
}

// TestSecondNodeJoins reduces a cell of two VMs to one, which must serve all keys without a standby. The
// other VM joins again, and must take over as controller when the first is killed.
func TestSecondNodeJoins(t *testing.T) {
	t.Parallel()
	scenarioSlots <- struct{}{}
	defer func() { <-scenarioSlots }()
	s := newScenario(t, func(o *Options) { o.VMs = 2 })
	began := time.Now()
	first, second := controller(t, s), standby(t, s)
	killVM(t, s, second)
	must(t, fleet.Await(settleTimeout, func() bool {
		record, err := s.Record()
		return err == nil && record.Standby.Name == "" && s.Probe.ServedSince(began.Add(recoveryLimit)) == keyCount
	}))
	startVM(t, s, second)
	awaitSettled(t, s)
	must(t, s.awaitSpread())
	killVM(t, s, first)
	must(t, fleet.Await(settleTimeout, func() bool {
		record, err := s.Record()
		return err == nil && record.Controller.Name == second[0]
	}))
	time.Sleep(recoveryLimit)
	startVM(t, s, first)
	awaitSettled(t, s)
	checkRecovery(t, s, began, recoveryLimit, nil)
}

// TestRecordAfterOutage kills a VM during a store outage, so that successors take over its slices while
// the cell's record cannot be written. Once the store is back, the record must no longer name the lost VM as an owner, or a
// later restart would give it its former slices back.
func TestRecordAfterOutage(t *testing.T) {
	t.Parallel()
	scenarioSlots <- struct{}{}
	defer func() { <-scenarioSlots }()
	s := newScenario(t, nil)
	began := time.Now()
	lost := plainVM(t, s)
	keys := keysOf(s, lost)
	must(t, s.SetStoreFaults(store.FaultsMessage{Down: true}))
	killVM(t, s, lost)
	time.Sleep(longOutage)
	if served := s.Probe.ServedSince(began.Add(recoveryLimit)); served != keyCount {
		t.Errorf("%d of %d keys served during the store outage, want all by their successors", served, keyCount)
	}
	must(t, s.SetStoreFaults(store.FaultsMessage{}))
	awaitSettled(t, s)
	must(t, fleet.Await(settleTimeout, func() bool {
		record, err := s.Record()
		return err == nil && record.slicesOf(lost[0]) == 0
	}))
	checkRecovery(t, s, began, recoveryLimit, keys)
}
