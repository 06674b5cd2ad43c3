package holding

import (
	"cmp"
	"slices"
)

// Candidate is a live target that can own slices.
type Candidate struct {
	Owner Owner
	// Leaving is set for a target that receives no slices and whose slices are moved away.
	Leaving bool
	// Capacity is the number of requests per second that the target can serve; zero if unknown.
	Capacity float64
	// Cold is the number of requests per second that the target can take for now because it is or may be cold; zero if
	// it is warm. It bounds what the target is given, but its slices stay.
	Cold float64
	// Rate is the number of requests per second for the target's slices, served or not.
	Rate float64
	// Hot maps each hot slice to its requests per second.
	Hot map[int]float64
}

// RemoveOwner removes an owner that can no longer process requests from all its slices. Slices that
// were being moved away from it go to their next owner, the others are left without an owner, and
// moves to the removed owner are cancelled. It reports whether anything changed.
//
// The caller must have established that the owner's grants have lapsed or its process has ended.
func (t *Table) RemoveOwner(removed Owner) bool {
	return t.RemoveOwnerFrom(removed, func(int) bool { return true })
}

// RemoveOwnerFrom is RemoveOwner for the slices that the function selects.
func (t *Table) RemoveOwnerFrom(removed Owner, selects func(slice int) bool) bool {
	changed := false
	for i := range t.Slices {
		if !selects(i) {
			continue
		}
		s := &t.Slices[i]
		if s.Next >= 0 && t.Owners[s.Next] == removed {
			s.Next = -1
			changed = true
		}
		if s.Owner < 0 || t.Owners[s.Owner] != removed {
			continue
		}
		s.Owner, s.Handover = -1, ""
		if s.Next >= 0 {
			t.assignTo(s, s.Next, "")
		}
		changed = true
	}
	t.advanceFence(changed)
	return changed
}

// MarkGone adds an owner whose target has ended to Gone, dropping the oldest entry beyond maxGone.
func (t *Table) MarkGone(ended Owner) {
	if t.isGone(ended) {
		return
	}
	t.Gone = append(t.Gone, ended)
	if len(t.Gone) > maxGone {
		t.Gone = t.Gone[1:]
	}
}

// UnmarkGone removes an owner from Gone. It reports whether anything changed.
func (t *Table) UnmarkGone(owner Owner) bool {
	for i, o := range t.Gone {
		if o == owner {
			t.Gone = append(t.Gone[:i:i], t.Gone[i+1:]...)
			return true
		}
	}
	return false
}

func (t *Table) isGone(o Owner) bool {
	for _, gone := range t.Gone {
		if gone == o {
			return true
		}
	}
	return false
}

// Release assigns a slice that its owner has released to its next owner, with the handover token of
// the release, which may be empty. A slice without a next owner is left without an owner.
func (t *Table) Release(slice int, handover string) {
	s := &t.Slices[slice]
	if s.Next < 0 {
		s.Owner, s.Handover = -1, ""
		return
	}
	t.assignTo(s, s.Next, handover)
	t.advanceFence(true)
}

// assignTo sets the owner of a slice and issues it the next fencing token. The caller must call
// advanceFence afterwards, which makes that token the table's highest.
func (t *Table) assignTo(s *Slice, owner int, handover string) {
	s.Owner, s.Fence, s.Handover, s.Next = owner, t.Fence+1, handover, -1
}

// advanceFence advances the table's fencing token if slices were assigned to new owners.
func (t *Table) advanceFence(changed bool) {
	if changed {
		t.Fence++
	}
}

// Assign assigns the slices without an owner to the candidates with the lowest load relative to
// their capacity, which spreads adjacent slices over different targets unless preferAdjacent keeps
// them together. It reports whether anything changed.
func (t *Table) Assign(candidates []Candidate) bool {
	return t.AssignFrom(candidates, func(int) bool { return true })
}

// AssignFrom is Assign for the slices that the function selects.
func (t *Table) AssignFrom(candidates []Candidate, selects func(slice int) bool) bool {
	m := t.newLoadModel(candidates)
	changed := false
	for i := range t.Slices {
		if t.Slices[i].Owner >= 0 || !selects(i) {
			continue
		}
		to := m.nextOwner(-1, m.rate(i))
		if to < 0 {
			return false
		}
		to = t.preferAdjacent(m, i, to)
		t.assignTo(&t.Slices[i], m.ensureOwner(t, to), "")
		m.add(to, m.rate(i))
		changed = true
	}
	t.advanceFence(changed)
	return changed
}

// preferAdjacent returns the owner of the slice before i instead of the least loaded target if
// there are so few targets that adjacent slices must merge for the grants to fit into one response.
func (t *Table) preferAdjacent(m *loadModel, i, leastLoaded int) int {
	if len(m.targets) > maxMergingTargets || i == 0 || t.Slices[i-1].Owner < 0 {
		return leastLoaded
	}
	before := m.targetOfOwner(t.Slices[i-1].Owner)
	hasRoom := before >= 0 && (m.hasColdRoom(before, m.rate(i)) || !m.hasColdRoom(leastLoaded, m.rate(i)))
	if hasRoom && m.loadWith(before, 0) <= m.loadWith(leastLoaded, 0)+slackSlices*m.meanSliceRate {
		return before
	}
	return leastLoaded
}

// Evacuate plans moves of all slices of leaving targets to other candidates, all at once. Slices that are being moved
// to a leaving target go to another one, or stay with their owner if there is none. It reports whether anything
// changed.
func (t *Table) Evacuate(candidates []Candidate) bool {
	m := t.newLoadModel(candidates)
	changed := false
	for i := range t.Slices {
		s := &t.Slices[i]
		if !m.mustMove(s) {
			continue
		}
		owner := m.targetOfOwner(s.Owner)
		to := m.nextOwner(owner, m.rate(i))
		switch {
		case to < 0 && owner >= 0:
			s.Next = -1
			m.add(owner, m.rate(i))
			changed = true
		case to >= 0:
			s.Next = m.ensureOwner(t, to)
			m.add(to, m.rate(i))
			changed = true
		}
	}
	return changed
}

// Move plans moves of slices to targets that have joined and, if the measured rates are settled,
// away from targets whose load exceeds their capacity. It does nothing while earlier moves are in
// progress. It reports whether anything changed.
func (t *Table) Move(candidates []Candidate, settled bool) bool {
	if t.IsMoving() {
		return false
	}
	m := t.newLoadModel(candidates)
	changed := false
	left := joinBatch
	counts := t.sliceCounts(m)
	for to := range m.targets {
		if !m.mayFill(to, settled) {
			continue
		}
		filled := t.fillTarget(m, to, counts, left)
		left -= filled
		changed = changed || filled > 0
	}
	for from := range m.targets {
		if settled && m.isOverloaded(from) {
			changed = t.relieve(m, from) || changed
		}
	}
	return changed
}

// fillTarget plans moves of up to limit slices from the most loaded targets to a target that has
// too few, and returns their number. It keeps counts, the number of slices of each target once all moves are
// done.
func (t *Table) fillTarget(m *loadModel, to int, counts []int, limit int) int {
	if !m.hasSpareCapacity(to) {
		return 0
	}
	shortfall := int(joinFraction*m.fairShare(to)) - counts[to]
	filled := 0
	for filled < min(shortfall, limit) {
		from := m.mostLoaded(to)
		slice := -1
		if from >= 0 {
			slice = t.pickSlice(m.ownerOf[from], filled)
		}
		if slice < 0 || !m.hasColdRoom(to, m.rate(slice)) {
			break
		}
		t.Slices[slice].Next = m.ensureOwner(t, to)
		counts[from]--
		counts[to]++
		m.add(from, -m.rate(slice))
		m.add(to, m.rate(slice))
		filled++
	}
	return filled
}

// pickSlice returns a slice of the owner with the given index that is not being moved; negative if it has
// none. The search starts at a different place for each n, which spreads the chosen slices over the key
// space.
func (t *Table) pickSlice(owner, n int) int {
	if owner < 0 {
		return -1
	}
	start := n * (SliceCount/joinBatch + 1)
	for k := range SliceCount {
		i := (start + k) % SliceCount
		if s := &t.Slices[i]; s.Owner == owner && s.Next < 0 {
			return i
		}
	}
	return -1
}

// relieve plans moves of slices away from a target, those with the highest rates first, until its
// load is down to reliefUtilization of its capacity or to its share. It reports whether anything
// changed.
func (t *Table) relieve(m *loadModel, from int) bool {
	changed := false
	for _, i := range t.slicesByRate(m, from) {
		if !m.isAboveShare(from) || !m.needsRelief(from) {
			break
		}
		to := m.leastLoaded(from, m.rate(i))
		if to < 0 || m.loadWith(to, m.rate(i)) >= m.loadWith(from, 0) {
			continue
		}
		t.Slices[i].Next = m.ensureOwner(t, to)
		m.add(from, -m.rate(i))
		m.add(to, m.rate(i))
		changed = true
	}
	return changed
}

// slicesByRate returns the slices of a target that are not being moved, highest rate first.
func (t *Table) slicesByRate(m *loadModel, from int) []int {
	owner := m.ownerOf[from]
	if owner < 0 {
		return nil
	}
	var indexes []int
	for i := range t.Slices {
		if s := &t.Slices[i]; s.Owner == owner && s.Next < 0 {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(x, y int) int { return cmp.Compare(m.rate(y), m.rate(x)) })
	return indexes
}

// IsMoving reports whether any slice is being moved to a next owner.
func (t *Table) IsMoving() bool {
	for i := range t.Slices {
		if t.Slices[i].Next >= 0 {
			return true
		}
	}
	return false
}

// NeedsChange reports whether Assign, Evacuate, Move or MergeGrants would change the table, which
// it leaves unchanged.
//
// While the table is not settled, only Evacuate and Move count: both leave the change of the owner to the
// present one.
func (t *Table) NeedsChange(candidates []Candidate, limit ResponseLimit, settled bool) bool {
	m := t.newLoadModel(candidates)
	canAssign := t.IsSettled() && len(m.targets) > 0
	moving := false
	for i := range t.Slices {
		s := &t.Slices[i]
		if s.Owner < 0 && canAssign {
			return true
		}
		if m.mustMove(s) && len(m.targets) > 0 {
			return true
		}
		moving = moving || s.Next >= 0
	}
	if !moving && t.mayMove(m, settled) && t.Clone().Move(candidates, settled) {
		return true
	}
	return t.IsSettled() && slices.Contains(t.exceedResponse(t.candidatesByOwner(candidates), limit), true)
}

// mayMove reports whether Move may plan anything. It is cheaper than Move, which needs a copy of the table.
func (t *Table) mayMove(m *loadModel, settled bool) bool {
	counts := t.sliceCounts(m)
	for i := range m.targets {
		isShort := m.hasSpareCapacity(i) && counts[i] < int(joinFraction*m.fairShare(i))
		if isShort && m.mayFill(i, settled) || settled && m.isOverloaded(i) {
			return true
		}
	}
	return false
}
