package holding

// Candidate is a live target that may own slices.
type Candidate struct {
	Owner Owner
	// Leaving targets are given nothing, and their slices move away.
	Leaving bool
}

// imbalance is the number of slices by which a target may exceed the mean before some move:
// a move costs the keys a pause, and the mean is seldom whole.
const imbalance = 4

// Free takes the slices of an owner that can no longer run them. A slice on its way to a next
// owner goes there; the others are left without an owner. It reports whether anything changed.
//
// The caller must have proved that the owner's grants have lapsed or its process is gone.
func (t *Table) Free(gone Owner) bool {
	changed := false
	for i := range t.Slices {
		s := &t.Slices[i]
		if s.Next >= 0 && t.Owners[s.Next] == gone {
			s.Next = -1
			changed = true
		}
		if s.Owner < 0 || t.Owners[s.Owner] != gone {
			continue
		}
		s.Owner, s.Handover = -1, ""
		if s.Next >= 0 {
			t.give(s, s.Next, "")
		}
		changed = true
	}
	t.settle(changed)
	return changed
}

// Release gives a slice that its owner has released to its next owner, with the handover token
// of the release, which may be empty.
func (t *Table) Release(slice int, handover string) {
	s := &t.Slices[slice]
	if s.Next < 0 {
		s.Owner, s.Handover = -1, ""
		return
	}
	t.give(s, s.Next, handover)
	t.settle(true)
}

// give sets the owner of a slice with the token that settle will make the table's highest.
func (t *Table) give(s *Slice, owner int, handover string) {
	s.Owner, s.Fence, s.Handover, s.Next = owner, t.Fence+1, handover, -1
}

func (t *Table) settle(changed bool) {
	if changed {
		t.Fence++
	}
}

// Assign gives the slices without an owner to the candidates that have fewest, neighbours to
// different ones. It reports whether anything changed.
func (t *Table) Assign(candidates []Candidate) bool {
	load := t.loads(candidates)
	changed := false
	for i := range t.Slices {
		if t.Slices[i].Owner >= 0 {
			continue
		}
		owner, ok := least(load, candidates)
		if !ok {
			return false
		}
		t.give(&t.Slices[i], t.index(owner), "")
		load[owner]++
		changed = true
	}
	t.settle(changed)
	return changed
}

// Move marks slices to move: all slices of leaving targets, and so many of the others that no
// target exceeds the mean by much. It reports whether anything changed.
func (t *Table) Move(candidates []Candidate) bool {
	load := t.loads(candidates)
	staying := 0
	for _, c := range candidates {
		if !c.Leaving {
			staying++
		}
	}
	if staying == 0 {
		return false
	}
	mean := Slices / staying
	changed := false
	for i := range t.Slices {
		s := &t.Slices[i]
		if s.Owner < 0 || s.Next >= 0 {
			continue
		}
		owner := t.Owners[s.Owner]
		next, ok := least(load, candidates)
		if !ok || next == owner {
			continue
		}
		leaving := isLeaving(owner, candidates)
		if !leaving && (load[owner] <= mean+imbalance || load[next] >= mean) {
			continue
		}
		s.Next = t.index(next)
		load[owner]--
		load[next]++
		changed = true
	}
	return changed
}

// Needs reports whether Assign or Move would change the table.
func (t *Table) Needs(candidates []Candidate) bool {
	c := t.Clone()
	return c.Assign(candidates) || c.Move(candidates) || c.Level(candidates)
}

func isLeaving(o Owner, candidates []Candidate) bool {
	for _, c := range candidates {
		if c.Owner == o {
			return c.Leaving
		}
	}
	return false
}

// loads counts the slices of each owner, moving ones at the next owner.
func (t *Table) loads(candidates []Candidate) map[Owner]int {
	load := make(map[Owner]int, len(candidates))
	for _, s := range t.Slices {
		switch {
		case s.Next >= 0:
			load[t.Owners[s.Next]]++
		case s.Owner >= 0:
			load[t.Owners[s.Owner]]++
		}
	}
	return load
}

// least returns the staying candidate with the fewest slices; the first of several.
func least(load map[Owner]int, candidates []Candidate) (Owner, bool) {
	best, found := Owner{}, false
	for _, c := range candidates {
		if !c.Leaving && (!found || load[c.Owner] < load[best]) {
			best, found = c.Owner, true
		}
	}
	return best, found
}
