package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// stopsRead updates the nodes to be drained for planned stops. The change takes effect for each
// node with its next heartbeat.
func (m *Machine) stopsRead(e StopsRead) {
	c := m.ctl
	if c == nil {
		return
	}
	next := make(map[string]bool, len(e.Drain))
	for _, name := range e.Drain {
		next[name] = true
		if !c.stopDrains[name] {
			m.logDecision("drain node", keyspace.SliceID{}, name, "a planned stop requires it")
		}
	}
	for name := range c.stopDrains {
		if !slices.Contains(e.Drain, name) {
			m.logDecision("take node in again", keyspace.SliceID{}, name, "no planned stop requires it to be drained")
		}
	}
	c.stopDrains = next
}

// applyStop treats the target of a node that is to be drained for a planned stop as draining:
// the node gets no more slices, its slices move to other nodes, and no shared request is sent to
// it. It keeps its slices while no other node is ready.
func (m *Machine) applyStop(h *Heartbeat) {
	target := &h.From.Target
	if m.ctl.stopDrains[h.From.Name] && (target.State == TargetReady || target.State == TargetStarting) {
		target.State = TargetDraining
	}
}
