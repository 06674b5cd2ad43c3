package stop

import (
	"slices"
	"time"
)

// progressInterval is the time between two writes of counts that go down.
const progressInterval = 5 * time.Second

// Wanted returns the names of the members that the stops want drained at the time, in
// order. Progress is what the member's own cell wrote for each stop.
//
// A VM that was drained and comes back as another process is taken in again: a stop ends
// for it with the process that it concerned.
func Wanted(stops []Stop, progress []Progress, members []Member, now time.Time) []string {
	var names []string
	for _, m := range members {
		if isWanted(stops, progress, m, now) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

func isWanted(stops []Stop, progress []Progress, m Member, now time.Time) bool {
	for _, s := range stops {
		if s.IsDue(now) && s.Scope.Holds(m) && !isReplaced(s, progress, m) {
			return true
		}
	}
	return false
}

// isReplaced reports whether the stop's progress lists the member with another process.
func isReplaced(s Stop, progress []Progress, m Member) bool {
	for _, p := range progress {
		if p.ID != s.ID || p.Cell != m.Cell {
			continue
		}
		for _, d := range p.VMs {
			if d.VM == m.Name {
				return d.concernsOther(s.Scope.Kind, m)
			}
		}
	}
	return false
}

func (d Drained) concernsOther(kind Kind, m Member) bool {
	if kind == Target {
		return m.TargetProcess != 0 && m.TargetProcess != d.TargetProcess
	}
	return m.Incarnation != d.Incarnation
}

// Load is what a controller sees of one of its members.
type Load struct {
	Member
	Slices   int
	InFlight uint32
}

// Advance returns the progress of a stop in a cell after a look at its members, and
// whether it should be written. A VM once listed keeps the processes that it had
// then, also when it has gone.
func Advance(s Stop, former Progress, cell string, loads []Load, now time.Time) (Progress, bool) {
	next := Progress{ID: s.ID, Cell: cell, At: former.At, VMs: slices.Clone(former.VMs)}
	if !s.IsDue(now) {
		return next, false
	}
	for i := range next.VMs {
		next.VMs[i] = next.VMs[i].after(s.Scope.Kind, loads)
	}
	for _, load := range loads {
		if s.Scope.Holds(load.Member) && !lists(next.VMs, load.Name) {
			next.VMs = append(next.VMs, Drained{
				VM: load.Name, Incarnation: load.Incarnation, TargetProcess: load.TargetProcess,
				Slices: load.Slices, InFlight: load.InFlight,
			})
		}
	}
	if !isWorthWriting(former, next, now) {
		return next, false
	}
	next.At = now
	return next, true
}

// isWorthWriting reports whether a VM changed its phase, or anything changed and the
// interval has passed.
func isWorthWriting(former, next Progress, now time.Time) bool {
	samePhase := func(a, b Drained) bool { return a.VM == b.VM && a.phase() == b.phase() }
	if !slices.EqualFunc(former.VMs, next.VMs, samePhase) {
		return true
	}
	return !slices.Equal(former.VMs, next.VMs) && now.Sub(former.At) >= progressInterval
}

// after returns the entry with what the member still owns and runs; a member that is gone
// or was replaced owns and runs nothing of it.
func (d Drained) after(kind Kind, loads []Load) Drained {
	d.Slices, d.InFlight = 0, 0
	for _, load := range loads {
		if load.Name == d.VM && !d.concernsOther(kind, load.Member) {
			d.Slices, d.InFlight = load.Slices, load.InFlight
		}
	}
	return d
}

func lists(vms []Drained, name string) bool {
	return slices.ContainsFunc(vms, func(d Drained) bool { return d.VM == name })
}
