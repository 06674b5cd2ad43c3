package guard

import (
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

func processOf(local ownership.LocalTarget) exchange.TargetProcess {
	return exchange.TargetProcess{ID: local.ID, Born: local.Born}
}

// adoptState takes over what the sender of a request knows of the target from earlier answers, which
// this node may have missed. A limit counts only until this node has an answer of its own; a target that
// leaves does so for good.
func (g *Guard) adoptState(local ownership.LocalTarget, known relay.TargetState) {
	if known.Process != processOf(local) {
		return
	}
	if known.Leaving {
		g.recordLeaving(known.Process)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Report(known.Process, known.Limit) {
		g.applyLimit(local, g.elapsed())
	}
}

// recordLeaving records that the process of the target leaves, and tells the gate.
func (g *Guard) recordLeaving(p exchange.TargetProcess) {
	g.mu.Lock()
	known := g.leaving == p
	g.leaving = p
	g.mu.Unlock()
	if !known {
		g.gate.ReportTargetLeaving(p.ID, p.Born)
	}
}

// state returns what is known of the target from its answers.
func (g *Guard) state(local ownership.LocalTarget) relay.TargetState {
	g.mu.Lock()
	defer g.mu.Unlock()
	process := processOf(local)
	return relay.TargetState{Process: process, Limit: g.limits.Limit(process), Leaving: g.leaving == process}
}
