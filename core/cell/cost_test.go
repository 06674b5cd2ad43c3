package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// BenchmarkController simulates one second of an idle controller per iteration: its ticks and
// the heartbeats of all nodes. The time per iteration is the controller's processor time per
// second.
func BenchmarkController(b *testing.B) {
	for _, size := range []struct{ nodes, slices uint32 }{{4, 256}, {8, 512}, {16, 1024}, {24, 1536}, {32, 2048}} {
		b.Run(fmt.Sprintf("nodes=%d/slices=%d", size.nodes, size.slices), func(b *testing.B) {
			w := newWorld(1)
			w.acceptSheet(size.slices, "alfold")
			for i := range size.nodes {
				w.addNode(fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%2), "alfold", 1, true)
			}
			w.run(60 * time.Second)
			c := w.nodes[w.role("controller")]
			now := c.clock(w.now)
			heartbeats := make(map[string]Heartbeat)
			for name, n := range c.machine.ctl.members {
				heartbeats[name] = Heartbeat{From: n.Member, Number: n.heartbeatNumber, Epoch: c.machine.ctl.epoch, Set: n.setID, SheetVersion: 1, Table: c.machine.ctl.routes.version, Cells: TableVersion{Epoch: c.machine.ctl.epoch, Number: c.machine.ctl.otherCells.number}}
			}
			b.ReportAllocs()
			for b.Loop() {
				simulateSecond(c.machine, &now, heartbeats)
			}
		})
	}
}

// simulateSecond feeds a controller the events of one second without changes.
func simulateSecond(m *Machine, now *time.Duration, heartbeats map[string]Heartbeat) {
	end := *now + time.Second
	for i := 0; *now < end; i++ {
		*now += TickInterval
		m.ctl.authority = *now + time.Second
		if i%10 == 0 {
			for name, h := range heartbeats {
				h.Number++
				heartbeats[name] = h
				h.Loads = []SliceLoad{{Slice: keyspace.SliceID{Range: 1}, WorkMillis: 5}}
				m.Step(*now, HeartbeatReceived{h})
			}
		}
		m.Step(*now, Tick{})
	}
}
