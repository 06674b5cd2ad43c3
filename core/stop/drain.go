package stop

import (
	"slices"
	"time"
)

// progressInterval is the minimum time between two writes of a progress in which only counts
// changed and no VM entered another phase.
const progressInterval = 5 * time.Second

// MembersToDrain returns the sorted names of the members that must be drained at the given time
// because of the stops. progress is what the cells of the members wrote for each stop.
//
// A VM that was drained and then restarted as another process is no longer drained: a stop
// only applies to the process that ran when draining began.
func MembersToDrain(stops []Stop, progress []Progress, members []Member, now time.Time) []string {
	var names []string
	for _, m := range members {
		if mustDrain(stops, progress, m, now) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

func mustDrain(stops []Stop, progress []Progress, m Member, now time.Time) bool {
	for _, s := range stops {
		if s.IsDue(now) && s.Scope.Includes(m) && !isReplaced(s, progress, m) {
			return true
		}
	}
	return false
}

// isReplaced reports whether the stop's progress lists another process for the member's VM.
func isReplaced(s Stop, progress []Progress, m Member) bool {
	for _, p := range progress {
		if p.ID != s.ID || p.Cell != m.Cell {
			continue
		}
		for _, d := range p.VMs {
			if d.VM == m.Name {
				return d.isOtherProcess(s.Scope.Kind, m)
			}
		}
	}
	return false
}

func (d DrainProgress) isOtherProcess(kind Kind, m Member) bool {
	if kind == Target {
		return m.TargetProcess != 0 && m.TargetProcess != d.TargetProcess
	}
	return m.Incarnation != d.Incarnation
}

// MemberLoad is a member with its current number of slices and requests in flight.
type MemberLoad struct {
	Member
	Slices   int
	InFlight uint32
}

// UpdateProgress updates the progress of a stop in a cell from the current load of its members. It
// returns the new progress and whether it should be written. A listed VM keeps the process
// identities recorded when draining began, also after it is gone.
func UpdateProgress(s Stop, previous Progress, cell string, loads []MemberLoad, now time.Time) (Progress, bool) {
	next := Progress{ID: s.ID, Cell: cell, At: previous.At, VMs: slices.Clone(previous.VMs)}
	if !s.IsDue(now) {
		return next, false
	}
	for i := range next.VMs {
		next.VMs[i] = next.VMs[i].withLoad(s.Scope.Kind, loads)
	}
	for _, load := range loads {
		if s.Scope.Includes(load.Member) && !containsVM(next.VMs, load.Name) {
			next.VMs = append(next.VMs, DrainProgress{
				VM: load.Name, Incarnation: load.Incarnation, TargetProcess: load.TargetProcess,
				Slices: load.Slices, InFlight: load.InFlight,
			})
		}
	}
	if !shouldWrite(previous, next, now) {
		return next, false
	}
	next.At = now
	return next, true
}

// shouldWrite reports whether a VM entered another phase, or any count changed and
// progressInterval has passed since the last write.
func shouldWrite(previous, next Progress, now time.Time) bool {
	samePhase := func(a, b DrainProgress) bool { return a.VM == b.VM && a.phase() == b.phase() }
	if !slices.EqualFunc(previous.VMs, next.VMs, samePhase) {
		return true
	}
	return !slices.Equal(previous.VMs, next.VMs) && now.Sub(previous.At) >= progressInterval
}

// withLoad returns the entry with the member's current counts. They are zero if the member is gone
// or was replaced.
func (d DrainProgress) withLoad(kind Kind, loads []MemberLoad) DrainProgress {
	d.Slices, d.InFlight = 0, 0
	for _, load := range loads {
		if load.Name == d.VM && !d.isOtherProcess(kind, load.Member) {
			d.Slices, d.InFlight = load.Slices, load.InFlight
		}
	}
	return d
}

func containsVM(vms []DrainProgress, name string) bool {
	return slices.ContainsFunc(vms, func(d DrainProgress) bool { return d.VM == name })
}
