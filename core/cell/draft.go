package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/placement"
)

// draft returns the next version of the record and the slices that it reassigns; nil if nothing
// needs to be written.
func (m *Machine) draft() (*Record, map[keyspace.SliceID]bool) {
	r := m.record.Clone()
	reassigned := make(map[keyspace.SliceID]bool)
	changed := m.draftActivations(r)
	changed = m.draftSheet(r) || changed
	changed = m.draftReleased(r, reassigned) || changed
	changed = m.draftLost(r, reassigned) || changed
	changed = m.draftTargets(r) || changed
	if changed || m.ctl.plans.dirty {
		changed = m.draftSuccessors(r) || changed
		changed = m.draftNodes(r) || changed
		m.ctl.plans.dirty = false
	}
	if !changed {
		return nil, nil
	}
	r.Seq = max(r.Seq, m.ctl.lastSeq)
	return r, reassigned
}

func (m *Machine) draftActivations(r *Record) bool {
	for _, id := range sortedSlices(m.ctl.activations) {
		act := m.ctl.activations[id]
		if a := r.assignment(id); a != nil {
			*a = Assignment{Owner: act.owner, Seq: act.seq}
		}
	}
	return len(m.ctl.activations) > 0
}

// assign gives the slice to a node under a new assignment number.
func (m *Machine) assign(a *Assignment, id keyspace.SliceID, to string, reassigned map[keyspace.SliceID]bool) {
	a.Owner = to
	if a.Successor == to {
		a.Successor = ""
	}
	a.Seq = m.nextSeq()
	reassigned[id] = true
}

// draftReleased assigns the slices that their owners have released.
func (m *Machine) draftReleased(r *Record, reassigned map[keyspace.SliceID]bool) bool {
	c := m.ctl
	changed := false
	for _, id := range sortedSlices(c.released) {
		a := r.assignment(id)
		if a == nil || m.rangeUnwanted(id.Range) || !atMost(m.record.fence(c.routes.slices[id].seq), c.released[id].fence) {
			continue
		}
		if _, active := c.activations[id]; active {
			continue
		}
		m.assignReleased(r, a, id, reassigned)
		changed = true
	}
	return changed
}

func (m *Machine) assignReleased(r *Record, a *Assignment, id keyspace.SliceID, reassigned map[keyspace.SliceID]bool) {
	c := m.ctl
	mv, moving := c.moves[id]
	to, reason := a.Owner, "released without a move"
	if moving {
		to, reason = mv.to, mv.reason
	}
	if n := c.members[to]; n == nil || !m.eligible(n) {
		to = m.substituteOwner(id, a)
	}
	m.assign(a, id, to, reassigned)
	window := c.released[id].window
	c.windows[id] = handover{seq: a.Seq, window: window}
	m.logDecision("assign slice", id, to, reason)
	if moving && mv.hotKey != "" {
		m.addHotSlice(r, id, mv.hotKey, to, window, reassigned)
	}
}

// substituteOwner picks an owner for a released slice if the intended one can take no slices. It
// returns "" if no node can.
func (m *Machine) substituteOwner(id keyspace.SliceID, a *Assignment) string {
	moves := placement.Assign(m.problem(), func(s placement.Slice) bool { return s.ID == id })
	if len(moves) > 0 {
		return moves[0].To
	}
	if n := m.ctl.members[a.Owner]; n != nil && m.eligible(n) {
		return a.Owner
	}
	return ""
}

// addHotSlice creates a slice for a hot key of the released slice, on the least loaded node.
func (m *Machine) addHotSlice(r *Record, base keyspace.SliceID, key, owner string, window []byte, reassigned map[keyspace.SliceID]bool) {
	for i := range r.Ranges {
		rr := &r.Ranges[i]
		if rr.Range.ID() != base.Range || slices.Contains(rr.Hot, key) {
			continue
		}
		id := keyspace.SliceID{Range: base.Range, Index: uint32(len(rr.Slices))}
		rr.Hot = append(rr.Hot, key)
		rr.Slices = append(rr.Slices, Assignment{})
		a := &rr.Slices[len(rr.Slices)-1]
		to := m.leastLoaded(rr.Range.Targets, owner)
		m.assign(a, id, to, reassigned)
		m.ctl.windows[id] = handover{seq: a.Seq, window: window}
		m.logDecision("split hot key", id, to, "one key causes most of its slice's work")
	}
}

// leastLoaded returns the least loaded node that can take slices and that the target patterns
// allow, or owner if there is none.
func (m *Machine) leastLoaded(targets []string, owner string) string {
	p := m.problem()
	id := keyspace.SliceID{}
	p.Slices = append(p.Slices, placement.Slice{ID: id, Targets: targets})
	for _, mv := range placement.Assign(p, func(s placement.Slice) bool { return s.ID == id }) {
		return mv.To
	}
	return owner
}

// draftLost assigns the slices that have no owner or whose owner is lost.
func (m *Machine) draftLost(r *Record, reassigned map[keyspace.SliceID]bool) bool {
	reasons := make(map[keyspace.SliceID]string)
	r.forEachSlice(func(id keyspace.SliceID, _ *RangeRecord, a *Assignment) {
		if _, active := m.ctl.activations[id]; active || reassigned[id] || m.rangeUnwanted(id.Range) {
			return
		}
		rt, known := m.ctl.routes.slices[id]
		if !known {
			rt = route{owner: a.Owner}
		}
		if lost, reason := m.ownerLost(id, rt); lost {
			reasons[id] = reason
		}
	})
	if len(reasons) == 0 {
		return false
	}
	p := m.problemOf(r)
	changed := false
	for _, mv := range placement.Assign(p, func(s placement.Slice) bool { _, ok := reasons[s.ID]; return ok }) {
		m.assign(r.assignment(mv.ID), mv.ID, mv.To, reassigned)
		m.logDecision("assign slice", mv.ID, mv.To, reasons[mv.ID])
		changed = true
	}
	return changed
}

// problemOf returns the placement problem of a drafted record, whose ranges may differ from
// those of the current one.
func (m *Machine) problemOf(r *Record) placement.Problem {
	p := m.problem()
	p.Slices = nil
	r.forEachSlice(func(id keyspace.SliceID, rr *RangeRecord, a *Assignment) {
		p.Slices = append(p.Slices, placement.Slice{
			ID: id, Owner: a.Owner, Successor: a.Successor,
			Work: m.ctl.plans.loads.work(id, m.now), Targets: rr.Range.Targets,
		})
	})
	return p
}

func (m *Machine) draftSuccessors(r *Record) bool {
	changed := false
	for _, s := range placement.Successors(m.problemOf(r)) {
		if a := r.assignment(s.ID); a != nil && a.Successor != s.Successor {
			a.Successor = s.Successor
			changed = true
		}
	}
	return changed
}

// draftTargets adds the target processes that do not check fences, because their nodes are
// granted nothing before the record names the process.
func (m *Machine) draftTargets(r *Record) bool {
	changed := false
	for _, name := range sortedNames(m.ctl.members) {
		n := m.ctl.members[name]
		if m.live(n) && !m.targetRecorded(n) {
			r.putNode(n.Member)
			changed = true
		}
	}
	return changed
}

// draftNodes updates the list of nodes: the live ones and those that the record refers to.
func (m *Machine) draftNodes(r *Record) bool {
	needed := map[string]bool{r.Controller.Name: true, r.Standby.Name: true}
	r.forEachSlice(func(_ keyspace.SliceID, _ *RangeRecord, a *Assignment) {
		needed[a.Owner] = true
		needed[a.Successor] = true
	})
	changed := false
	for _, name := range sortedNames(m.ctl.members) {
		n := m.ctl.members[name]
		old, had := r.Node(name)
		if m.live(n) && (!had || old.Node != n.Node || old.Target.State != n.Target.State) {
			r.putNode(n.Member)
			changed = true
		}
	}
	count := len(r.Nodes)
	r.Nodes = slices.DeleteFunc(r.Nodes, func(n Member) bool {
		s := m.ctl.members[n.Name]
		return !needed[n.Name] && (s == nil || !m.live(s))
	})
	return changed || len(r.Nodes) != count
}
