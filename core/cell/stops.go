package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// stopsRead notes which nodes planned stops want drained. It takes effect with the next
// heartbeat of each.
func (m *Machine) stopsRead(e StopsRead) {
	c := m.ctl
	if c == nil {
		return
	}
	next := make(map[string]bool, len(e.Drain))
	for _, name := range e.Drain {
		next[name] = true
		if !c.stopped[name] {
			m.decide("drain node", keyspace.SliceID{}, name, "a planned stop concerns it")
		}
	}
	for name := range c.stopped {
		if !slices.Contains(e.Drain, name) {
			m.decide("take node in again", keyspace.SliceID{}, name, "no planned stop concerns it")
		}
	}
	c.stopped = next
}

// applyStop makes a node that a planned stop concerns look like one whose target drains: it
// is given nothing more, what it owns moves to others, and no shared request is sent to it.
// While no other node is ready it keeps what it owns.
func (m *Machine) applyStop(h *Heartbeat) {
	target := &h.From.Target
	if m.ctl.stopped[h.From.Name] && (target.State == TargetReady || target.State == TargetStarting) {
		target.State = TargetDraining
	}
}
