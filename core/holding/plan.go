package holding

import (
	"cmp"
	"slices"
)

// Candidate is a live target that may own slices.
type Candidate struct {
	Owner Owner
	// Leaving targets are given nothing, and their slices move away.
	Leaving bool
	// Capacity is the number of requests a second that the target can serve; zero if that is not
	// known.
	Capacity float64
	// Rate is the number of requests a second that ask for the target's slices, served or not.
	Rate float64
	// Hot are the rates of the slices with far more requests than others.
	Hot map[int]float64
}

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

// Bury remembers an owner whose target has ended.
func (t *Table) Bury(gone Owner) {
	if t.isGone(gone) {
		return
	}
	t.Gone = append(t.Gone, gone)
	if len(t.Gone) > maxGone {
		t.Gone = t.Gone[1:]
	}
}

// Revive forgets that an owner's target had ended. It reports whether anything changed.
func (t *Table) Revive(back Owner) bool {
	for i, o := range t.Gone {
		if o == back {
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

// Assign gives the slices without an owner to the candidates with the least load for their
// capacity, neighbours to different ones. It reports whether anything changed.
func (t *Table) Assign(candidates []Candidate) bool {
	b := t.balance(candidates)
	changed := false
	for i := range t.Slices {
		if t.Slices[i].Owner >= 0 {
			continue
		}
		to := b.least(-1, b.rate(i))
		if to < 0 {
			return false
		}
		to = t.neighbour(b, i, to)
		t.give(&t.Slices[i], t.index(b.targets[to].Owner), "")
		b.add(to, b.rate(i))
		changed = true
	}
	t.settle(changed)
	return changed
}

// neighbour returns the owner of the slice before i in place of the least loaded target when the
// targets are so few that their slices have to join to fit into an answer.
func (t *Table) neighbour(b *balance, i, least int) int {
	if len(b.targets) > fewTargets || i == 0 || t.Slices[i-1].Owner < 0 {
		return least
	}
	for j, c := range b.targets {
		if c.Owner == t.Owners[t.Slices[i-1].Owner] && b.loadWith(j, 0) <= b.loadWith(least, 0)+imbalance*b.slice {
			return j
		}
	}
	return least
}

// Evacuate marks all slices of leaving targets to move. It reports whether anything changed.
func (t *Table) Evacuate(candidates []Candidate) bool {
	b := t.balance(candidates)
	changed := false
	for i := range t.Slices {
		s := &t.Slices[i]
		if s.Owner < 0 || s.Next >= 0 || !isLeaving(t.Owners[s.Owner], candidates) {
			continue
		}
		if to := b.least(-1, b.rate(i)); to >= 0 {
			s.Next = t.index(b.targets[to].Owner)
			b.add(to, b.rate(i))
			changed = true
		}
	}
	return changed
}

// Move marks slices to move to targets that have joined and, if the measured rates are settled,
// away from targets whose load exceeds their capacity; nothing while slices are on their way. It
// reports whether anything changed.
func (t *Table) Move(candidates []Candidate, settled bool) bool {
	if t.IsMoving() {
		return false
	}
	b := t.balance(candidates)
	changed := false
	left := joinBatch
	for to := range b.targets {
		n := t.fill(b, to, left)
		left -= n
		changed = changed || n > 0
	}
	for from := range b.targets {
		if settled && b.isOver(from) {
			changed = t.relieve(b, from) || changed
		}
	}
	return changed
}

// fill marks up to limit slices of the most loaded targets to move to a target that is short of
// slices, and returns their number.
func (t *Table) fill(b *balance, to, limit int) int {
	if !b.hasRoom(to) {
		return 0
	}
	missing := int(joinShare*b.share(to)) - t.count(b.targets[to].Owner)
	filled := 0
	for filled < min(missing, limit) {
		from := b.most(to)
		slice := -1
		if from >= 0 {
			slice = t.anyOf(b.targets[from].Owner, filled)
		}
		if slice < 0 {
			break
		}
		t.Slices[slice].Next = t.index(b.targets[to].Owner)
		b.add(from, -b.rate(slice))
		b.add(to, b.rate(slice))
		filled++
	}
	return filled
}

// anyOf returns a slice of the owner that does not move, a different one for each n if it has
// several; negative if it has none.
func (t *Table) anyOf(owner Owner, n int) int {
	start := n * (Slices/joinBatch + 1)
	for k := range Slices {
		i := (start + k) % Slices
		if s := t.Slices[i]; s.Owner >= 0 && s.Next < 0 && t.Owners[s.Owner] == owner {
			return i
		}
	}
	return -1
}

// relieve marks slices of a target to move, busy ones first, until it is not strained any more or
// its load is its share. It reports whether anything changed.
func (t *Table) relieve(b *balance, from int) bool {
	changed := false
	for _, i := range t.busiest(b, from) {
		if !b.isAbove(from) || !b.isStrained(from) {
			break
		}
		to := b.least(from, b.rate(i))
		if to < 0 || b.loadWith(to, b.rate(i)) >= b.loadWith(from, 0) {
			continue
		}
		t.Slices[i].Next = t.index(b.targets[to].Owner)
		b.add(from, -b.rate(i))
		b.add(to, b.rate(i))
		changed = true
	}
	return changed
}

// busiest returns the slices of a target in the order of their rates.
func (t *Table) busiest(b *balance, from int) []int {
	var list []int
	for i, s := range t.Slices {
		if s.Owner >= 0 && s.Next < 0 && t.Owners[s.Owner] == b.targets[from].Owner {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(b.rate(y), b.rate(x)) })
	return list
}

// IsMoving reports whether slices are on their way to a next owner.
func (t *Table) IsMoving() bool {
	for _, s := range t.Slices {
		if s.Next >= 0 {
			return true
		}
	}
	return false
}

// Needs reports whether Assign, Evacuate, Move or Level would change the table.
func (t *Table) Needs(candidates []Candidate, size AnswerSize, settled bool) bool {
	c := t.Clone()
	return c.Assign(candidates) || c.Evacuate(candidates) || c.Move(candidates, settled) || c.Level(candidates, size)
}

func isLeaving(o Owner, candidates []Candidate) bool {
	for _, c := range candidates {
		if c.Owner == o {
			return c.Leaving
		}
	}
	return false
}
