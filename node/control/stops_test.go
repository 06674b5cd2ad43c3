package control

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

func writeStop(t *testing.T, store objects.Store, s stop.Stop, expected objects.Version) objects.Version {
	t.Helper()
	value, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Put(t.Context(), s.Key(), value, expected, "operator")
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func isStopReady(t *testing.T, store objects.Store, id string) bool {
	t.Helper()
	object, err := store.Get(t.Context(), stop.ProgressKey(id, "alfold"))
	if err != nil {
		return false
	}
	p, err := stop.DecodeProgress(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return len(p.VMs) == 1 && p.VMs[0].IsReady()
}

// TestPlannedStop drains a serving VM by a planned stop, kills the controller, and checks that the
// VM serves again after the stop has been cancelled.
func TestPlannedStop(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	victim := nodes[indexOfRole(nodes, "plain")]
	s := stop.Stop{ID: "S1", Scope: stop.Scope{Kind: stop.VM, Name: victim.control.Self().Name}, At: time.Now()}
	version := writeStop(t, store, s, 0)
	waitFor(t, "the VM to hand over its slices", 8*time.Second, func() bool { return len(victim.holder.liveLeases()) == 0 })
	waitFor(t, "all slices served by the other nodes", 2*time.Second, func() bool { return served(t, nodes) == testSlices })
	waitFor(t, "the stop to be ready", 3*time.Second, func() bool { return isStopReady(t, store, "S1") })

	i := indexOfRole(nodes, "controller")
	lost := nodes[i]
	nodes = append(nodes[:i:i], nodes[i+1:]...)
	lost.kill()
	waitFor(t, "served again without the controller", 4*time.Second, func() bool { return served(t, nodes) == testSlices })

	s.CancelledBy = "eszter"
	writeStop(t, store, s, version)
	waitFor(t, "the VM to serve again", 15*time.Second, func() bool { return len(victim.holder.liveLeases()) > 0 })
	if got := served(t, nodes); got != testSlices {
		waitFor(t, "all slices served", 3*time.Second, func() bool { return served(t, nodes) == testSlices })
	}
}

// TestStopOfTheLastNode checks that a planned stop of the only node leaves its slices with it.
func TestStopOfTheLastNode(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	only := startNode(t, store, "vm-a", "debrecen", "alfold")
	waitFor(t, "all slices served", 10*time.Second, func() bool { return len(only.holder.liveLeases()) == testSlices })
	writeStop(t, store, stop.Stop{ID: "S1", Scope: stop.Scope{Kind: stop.VM, Name: "vm-a"}, At: time.Now()}, 0)
	waitFor(t, "the controller to store its progress", 5*time.Second, func() bool {
		_, err := store.Get(t.Context(), stop.ProgressKey("S1", "alfold"))
		return err == nil
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n := len(only.holder.liveLeases()); n != testSlices {
			t.Fatalf("%d of %d slices served during the stop", n, testSlices)
		}
	}
}
