package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// sheetPropagationLimit is the documented time limit for an accepted sheet to be in force on every
// node.
const sheetPropagationLimit = 9 * time.Second

func TestSheetReachesEveryNode(t *testing.T) {
	store := memstore.New(memstore.Options{})
	version := putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	version = putSheet(t, store, version, "alfold")
	took := waitFor(t, "the sheet in force on every node", sheetPropagationLimit, func() bool {
		for _, n := range nodes {
			if n.control.Status().SheetVersion != int64(version) {
				return false
			}
		}
		return true
	})
	t.Logf("in force everywhere after %v", took)
}

// TestStoreOutage checks that leases are renewed while the store is down, and that the slices of a
// node lost in the outage are served by their successors, which the record lists afterwards.
func TestStoreOutage(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	store.SetFaults(memstore.Faults{Down: true})
	time.Sleep(2 * nodes[0].control.cfg.Timing.Lease)
	if n := served(t, nodes); n != testSlices {
		t.Fatalf("%d of %d slices served in the outage", n, testSlices)
	}
	i := indexOfRole(nodes, "plain")
	nodes[i].kill()
	nodes = append(nodes[:i], nodes[i+1:]...)
	waitFor(t, "served by the successors", 3*time.Second, func() bool { return served(t, nodes) == testSlices })
	store.SetFaults(memstore.Faults{})
	waitFor(t, "activations in the record", 5*time.Second, func() bool {
		o, err := store.Get(context.Background(), cellsPrefix+"alfold")
		if err != nil {
			return false
		}
		record, err := cell.DecodeRecord(o.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range record.Ranges[0].Slices {
			if a.Owner != nodes[0].control.Self().Name && a.Owner != nodes[1].control.Self().Name {
				return false
			}
		}
		return true
	})
}

// TestRangeMovesToAnotherCell moves a range to another cell and checks that no slice ever has two
// holders.
func TestRangeMovesToAnotherCell(t *testing.T) {
	store := memstore.New(memstore.Options{})
	version := putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	nodes = append(nodes, startNode(t, store, "vm-x", "gyor", "dunantul"), startNode(t, store, "vm-y", "pecs", "dunantul"))
	putSheet(t, store, version, "dunantul")
	waitFor(t, "the range served by the other cell", 10*time.Second, func() bool {
		served(t, nodes)
		return served(t, nodes[3:]) == testSlices
	})
	waitFor(t, "contacts of the other cell", 5*time.Second, func() bool {
		r, err := nodes[0].control.Locate("booking", "bay-7")
		return err == nil && len(r.Contacts) == 2
	})
}

// TestRestartInPlace checks that a node that restarts at the same address serves again within 3 s
// and keeps its number of slices.
func TestRestartInPlace(t *testing.T) {
	store := memstore.New(memstore.Options{})
	putSheet(t, store, 0, "alfold")
	nodes := startCell(t, store)
	i := indexOfRole(nodes, "plain")
	old := nodes[i]
	before := len(old.holder.liveLeases())
	old.kill()
	listener, err := net.Listen("tcp", old.control.Self().Address)
	if err != nil {
		t.Fatal(err)
	}
	nodes[i] = startNodeOn(t, listener, store, old.control.Self().Name, "debrecen", "alfold", nil)
	took := waitFor(t, "served again by the restarted node", 3*time.Second, func() bool { return served(t, nodes) == testSlices })
	if after := len(nodes[i].holder.liveLeases()); after != before {
		t.Errorf("the restarted node holds %d slices, %d before", after, before)
	}
	t.Logf("served again after %v", took)
}
