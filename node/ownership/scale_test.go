package ownership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// fleet is the state of the store for a number of nodes of which three in five have a target of the keyed
// service "k", the others one of the shared service "s".
type fleet struct {
	entries []Entry
	renewed int64
}

func newFleet(nodes int) *fleet {
	f := &fleet{}
	for i := range nodes {
		service := "k"
		if i%5 >= 3 {
			service = "s"
		}
		f.entries = append(f.entries, Entry{
			Name: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("01JEABCDEFGHJKMNPQ%08d", i),
			Address: fmt.Sprintf("10.1.%d.%d:8146", i/250, i%250+1), Region: fmt.Sprint("r", i%2), FailureDomain: fmt.Sprint("z", i%8),
			LeaseMillis: 2800,
			Target: &Target{ID: fmt.Sprintf("i-%08x", i*7919), Born: 1_700_000_000_000 + int64(i), Service: service, Slots: 4,
				Load: holding.Load{Rate: 11.3, Capacity: 36.1, Hot: map[int]float64{i % holding.SliceCount: 2.1, (i + 300) % holding.SliceCount: 1.4}}},
			Voters: []string{"vm-0001", "vm-0002", "vm-0003", "vm-0004", "vm-0005", "vm-0006", "vm-0007", "vm-0008", "vm-0009"},
		})
	}
	return f
}

// listing returns the entries after each node has renewed its lease once more.
func (f *fleet) listing() objects.Listing {
	f.renewed++
	listing := objects.Listing{Version: objects.NewVersion(0, f.renewed*int64(len(f.entries)))}
	for i, entry := range f.entries {
		entry.Renewal = f.renewed
		value, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		listing.Objects = append(listing.Objects, objects.Object{
			Key: NodesPrefix + entry.Name, Value: value, Version: objects.NewVersion(0, (f.renewed-1)*int64(len(f.entries))+int64(i)+1),
		})
	}
	return listing
}

// steadyLoad implements TargetMonitor with a load that does not change.
type steadyLoad struct {
	noMeasure
	load holding.Load
}

func (m steadyLoad) Load() holding.Load { return m.load }

// newObserver returns the state of the given node after it has read the entries of the fleet and the table of
// its keyed service.
func (f *fleet) newObserver(node int, clock func() time.Duration) *Ownership {
	self := f.entries[node]
	o := New(Config{
		Self: self, Service: self.Target.Service, Clock: clock, IsKeyed: func(s string) bool { return s == "k" }, Monitor: steadyLoad{load: self.Target.Load},
		Timing: Timing{
			Lease: 2800 * time.Millisecond, RenewInterval: 800 * time.Millisecond, EntryReadInterval: 800 * time.Millisecond,
			ReconcileInterval: 200 * time.Millisecond, RankDelay: 400 * time.Millisecond, SettleTime: 2500 * time.Millisecond,
			TargetTimeout: 4 * time.Second, InitialAssignDelay: 2500 * time.Millisecond, ExtendLimit: 15 * time.Second, EntryExpiry: time.Minute,
		},
		ResponseLimit: holding.ResponseLimit{Bytes: 4000, GrantBytes: func(holding.Grant) int { return 11 }},
		Log:           slog.New(slog.DiscardHandler),
	}, nil)
	o.observeEntries(f.listing())
	if self.Target.Service == "k" {
		o.Heartbeat(holding.Report{ID: self.Target.ID, Born: self.Target.Born, Service: "k", Address: "x", Slots: 4, Sequence: 1})
	}
	table := holding.NewTable("k")
	table.Assign(o.candidates("k", clock()))
	value, err := table.Encode()
	if err != nil {
		panic(err)
	}
	o.observeTable(objects.Object{Key: TablesPrefix + "k", Value: value, Version: objects.NewVersion(0, 1)})
	return o
}

var fleetSizes = []int{9, 76, 195, 1000}

// BenchmarkReadEntries measures what a node does with the entries of all nodes, all of which have renewed
// their leases since the last reading.
func BenchmarkReadEntries(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			o := f.newObserver(n/2, func() time.Duration { return time.Second })
			for b.Loop() {
				b.StopTimer()
				listing := f.listing()
				b.StartTimer()
				o.observeEntries(listing)
			}
		})
	}
}

// BenchmarkPlan measures one round of planning at the node that plans first and at one in the middle, while no
// change is needed.
func BenchmarkPlan(b *testing.B) {
	for _, n := range fleetSizes {
		for name, node := range map[string]int{"first": 0, "middle": n / 2} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				now := 3 * time.Second
				f := newFleet(n)
				o := f.newObserver(node, func() time.Duration { return now })
				for b.Loop() {
					if o.plan("k") != nil {
						b.Fatal("the balanced table needs a change")
					}
				}
			})
		}
	}
}

// TestAddressOfAnotherVMMarksTheFormerNode reads entries of which two share an address: the node with the
// earlier one is gone for good, until it writes its entry at another address.
func TestAddressOfAnotherVMMarksTheFormerNode(t *testing.T) {
	f := newFleet(9)
	now := time.Second
	o := f.newObserver(0, func() time.Duration { return now })
	f.entries[7].Address = f.entries[4].Address
	o.observeEntries(f.listing())
	if !o.peers["vm-0004"].replaced || o.peers["vm-0007"].replaced {
		t.Fatalf("replaced: vm-0004 %t, vm-0007 %t", o.peers["vm-0004"].replaced, o.peers["vm-0007"].replaced)
	}
	f.entries[4].Address = "10.9.9.9:8146"
	o.observeEntries(f.listing())
	if o.peers["vm-0004"].replaced || o.peers["vm-0007"].replaced {
		t.Error("a node at an address of its own counts as replaced")
	}
	f.entries[2].Address = "10.9.9.9:8146"
	f.entries[4].Address = f.entries[3].Address
	listing := f.listing()
	listing.Objects = append(listing.Objects[:7], listing.Objects[8:]...)
	o.observeEntries(listing)
	if len(o.peersAt["10.9.9.9:8146"]) != 1 || len(o.peersAt[f.entries[7].Address]) != 0 || !o.peers["vm-0003"].replaced {
		t.Errorf("addresses after a move and a removal: %v", o.peersAt)
	}
}

// TestStartOfALargeFleetReadsEntriesAsSeldomAsAtRest starts processes in fleets of several sizes.
func TestStartOfALargeFleetReadsEntriesAsSeldomAsAtRest(t *testing.T) {
	for nodes, want := range map[int]time.Duration{9: 200 * time.Millisecond, 40: 400 * time.Millisecond, 195: 800 * time.Millisecond} {
		now := time.Second
		o := newFleet(nodes).newObserver(0, func() time.Duration { return now })
		if pause := o.entryReadPause(); pause != want {
			t.Errorf("%d nodes: reads again after %s, wanted %s", nodes, pause, want)
		}
		now += 6 * time.Second
		if pause := o.entryReadPause(); pause != o.cfg.Timing.EntryReadInterval {
			t.Errorf("%d nodes, at rest: reads again after %s", nodes, pause)
		}
	}
}

// TestStartLogsOneLineForAllNodes reads the entries of a fleet for the first time, and then one more.
func TestStartLogsOneLineForAllNodes(t *testing.T) {
	var log bytes.Buffer
	f := newFleet(40)
	o := New(Config{
		Self: f.entries[0], Clock: func() time.Duration { return time.Second }, Monitor: noMeasure{},
		Log: slog.New(slog.NewTextHandler(&log, nil)),
	}, nil)
	o.observeEntries(f.listing())
	if lines := strings.Count(log.String(), "\n"); lines != 1 {
		t.Errorf("%d lines at the start", lines)
	}
	f.entries = append(f.entries, newFleet(41).entries[40])
	o.observeEntries(f.listing())
	if !strings.Contains(log.String(), "peer=vm-0040") {
		t.Errorf("the node that joined is not logged: %s", log.String())
	}
}
