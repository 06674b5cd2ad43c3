package placement

import (
	"cmp"
	"slices"
)

const (
	// fillThreshold is the fraction of its slice quota below which a node receives slices.
	fillThreshold = 0.5
	// moveThreshold is the ratio of a node's relative load to the mean above which slices
	// move away from it.
	moveThreshold = 1.25
	// minWorkToMove is the measured work per slot, in milliseconds per second, below which no
	// slice moves away from a node.
	minWorkToMove = 100
	// maxLoadAfterMove is the highest ratio of the destination's relative load to the mean after
	// a move.
	maxLoadAfterMove = 1.1
	// minMoveShare is the fraction of the source's load above the mean that a move must take
	// away at least.
	minMoveShare = 0.02
)

// Fill moves slices to nodes that own less than half of their quota, for example after
// they joined, or that have BelowQuota set, until they reach the quota. It takes slices from
// the nodes furthest above their own quota and returns at most limit moves.
func Fill(p Problem, limit int) []Move {
	u := newUsage(p)
	quota := u.quotas(len(p.Slices))
	candidates := movable(p, u)
	var moves []Move
	for _, n := range u.order {
		if !n.BelowQuota && float64(n.count) >= fillThreshold*float64(quota[n.Name]) {
			continue
		}
		for n.count < quota[n.Name] && len(moves) < limit {
			m, ok := u.takeSlice(n, quota, candidates)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// quotas divides total slices among the nodes in proportion to their capacity, rounded
// down.
func (u *usage) quotas(total int) map[string]int {
	sum := 0.0
	for _, n := range u.order {
		sum += n.Capacity
	}
	quota := make(map[string]int, len(u.order))
	for _, n := range u.order {
		quota[n.Name] = int(float64(total) * n.Capacity / sum)
	}
	return quota
}

// movable groups the slices that are not pinned by owner, in ascending order of work.
func movable(p Problem, u *usage) map[string][]Slice {
	out := make(map[string][]Slice)
	for _, s := range p.Slices {
		if !s.Pinned && u.nodes[s.Owner] != nil {
			out[s.Owner] = append(out[s.Owner], s)
		}
	}
	for _, owned := range out {
		slices.SortFunc(owned, func(a, b Slice) int { return byWork(b, a) })
	}
	return out
}

// takeSlice moves one slice to n from the node furthest above its quota.
func (u *usage) takeSlice(n *nodeUse, quota map[string]int, candidates map[string][]Slice) (Move, bool) {
	var from *nodeUse
	for _, c := range u.order {
		over := c.count - quota[c.Name]
		if c == n || over <= 0 || !anyAllowed(candidates[c.Name], n.Name) {
			continue
		}
		if from == nil || over > from.count-quota[from.Name] {
			from = c
		}
	}
	if from == nil {
		return Move{}, false
	}
	owned := candidates[from.Name]
	i := slices.IndexFunc(owned, func(s Slice) bool { return Allowed(s.Targets, n.Name) })
	s := owned[i]
	candidates[from.Name] = slices.Delete(owned, i, i+1)
	return u.move(s, from, n, "fill a node below its share"), true
}

func anyAllowed(owned []Slice, name string) bool {
	return slices.ContainsFunc(owned, func(s Slice) bool { return Allowed(s.Targets, name) })
}

func (u *usage) move(s Slice, from, to *nodeUse, reason string) Move {
	u.add(from.Name, s, -1)
	u.add(to.Name, s, 1)
	return Move{ID: s.ID, From: from.Name, To: to.Name, Reason: reason}
}

// Balance moves slices from nodes whose load is well above the mean to the least loaded
// ones. It returns at most limit moves.
func Balance(p Problem, limit int) []Move {
	u := newUsage(p)
	candidates := movable(p, u)
	var moves []Move
	for len(moves) < limit {
		m, ok := u.balanceOne(candidates)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

func (u *usage) balanceOne(candidates map[string][]Slice) (Move, bool) {
	if len(u.order) < 2 {
		return Move{}, false
	}
	from := slices.MaxFunc(u.order, func(a, b *nodeUse) int { return cmp.Compare(a.relative(), b.relative()) })
	if from.measured/from.Capacity < minWorkToMove || from.relative() <= moveThreshold*u.mean() {
		return Move{}, false
	}
	owned := candidates[from.Name]
	for i := len(owned) - 1; i >= 0; i-- {
		s := owned[i]
		to := u.leastLoaded(s, func(n *nodeUse) bool { return n == from })
		if to == nil || !u.improves(s, from, to) {
			continue
		}
		candidates[from.Name] = slices.Delete(owned, i, i+1)
		return u.move(s, from, to, "measured work above the mean"), true
	}
	return Move{}, false
}

// improves reports whether moving s removes a significant part of the source's load above
// the mean and leaves the destination close to the mean.
func (u *usage) improves(s Slice, from, to *nodeUse) bool {
	work := s.Work + baseWork
	mean := u.mean()
	excess := from.work - mean*from.Capacity
	return work >= minMoveShare*excess && (to.work+work)/to.Capacity <= maxLoadAfterMove*mean
}

func (u *usage) mean() float64 {
	work, capacity := 0.0, 0.0
	for _, n := range u.order {
		work += n.work
		capacity += n.Capacity
	}
	return work / capacity
}
