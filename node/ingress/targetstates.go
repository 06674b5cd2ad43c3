package ingress

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

const (
	// maxTargetStates is the number of states from which old ones are removed.
	maxTargetStates = 1024
	// targetStateExpiry is how long a state is kept without a result of the target. Processes that are
	// not heard of for that long have ended.
	targetStateExpiry = 10 * time.Minute
)

// targetStates holds what the processes of targets have said about themselves, as far as it differs
// from the usual. The caller must serialize the calls.
type targetStates struct {
	byProcess map[exchange.TargetProcess]knownState
}

type knownState struct {
	relay.TargetState
	recordedAt time.Duration
	// leavingSince is when a result first said that the target leaves; valid only if Leaving is set.
	leavingSince time.Duration
}

func newTargetStates() targetStates {
	return targetStates{byProcess: make(map[exchange.TargetProcess]knownState)}
}

func processOf(d ownership.Destination) exchange.TargetProcess {
	return exchange.TargetProcess{ID: d.Target, Born: d.Born}
}

// of returns the state of the destination's target; zero if there is nothing unusual about it.
func (t targetStates) of(d ownership.Destination) relay.TargetState {
	return t.byProcess[processOf(d)].TargetState
}

// leavingFor returns for how long the destination's target has been known to leave, and whether it does.
func (t targetStates) leavingFor(now time.Duration, d ownership.Destination) (time.Duration, bool) {
	s := t.byProcess[processOf(d)]
	return now - s.leavingSince, s.Leaving
}

// record keeps the state that came with a result.
func (t targetStates) record(now time.Duration, s relay.TargetState) {
	if s.Process.ID == "" {
		return
	}
	before, known := t.byProcess[s.Process]
	// A guard that has been restarted may not know yet that its target leaves.
	s.Leaving = s.Leaving || before.Leaving
	if !s.Limit.Valid && !s.Leaving {
		delete(t.byProcess, s.Process)
		return
	}
	if !known && len(t.byProcess) >= maxTargetStates {
		t.removeOld(now)
	}
	after := knownState{TargetState: s, recordedAt: now, leavingSince: now}
	if before.Leaving {
		after.leavingSince = before.leavingSince
	}
	t.byProcess[s.Process] = after
}

func (t targetStates) removeOld(now time.Duration) {
	for process, s := range t.byProcess {
		if now-s.recordedAt > targetStateExpiry {
			delete(t.byProcess, process)
		}
	}
}
