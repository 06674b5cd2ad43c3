package placement

import (
	"cmp"
	"slices"
)

const (
	// fillBelow is the share of its quota of slices below which a node is filled up.
	fillBelow = 0.5
	// balanceAbove is the relative load, over the mean, above which work moves away.
	balanceAbove = 1.25
	// minBusy is the measured work per slot below which a node gives nothing away, in
	// milliseconds per second.
	minBusy = 100
	// balanceTo is the highest relative load, over the mean, that a move may lead to.
	balanceTo = 1.1
	// minPart is the least part of the source's excess that is worth a move.
	minPart = 0.02
)

// Fill moves slices to nodes that own less than half of their quota, as after a join, and
// no more than the quota. Slices come from the nodes furthest above their own quota.
func Fill(p Problem, limit int) []Move {
	u := newUsage(p)
	quota := u.quotas(len(p.Slices))
	rest := movable(p, u)
	var moves []Move
	for _, n := range u.order {
		if !n.Filling && float64(n.count) >= fillBelow*float64(quota[n.Name]) {
			continue
		}
		for n.count < quota[n.Name] && len(moves) < limit {
			m, ok := u.pull(n, quota, rest)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// quotas returns each node's whole share of total slices by capacity.
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

// movable groups the slices that may move by owner, least work first.
func movable(p Problem, u *usage) map[string][]Slice {
	out := make(map[string][]Slice)
	for _, s := range p.Slices {
		if !s.Pinned && u.nodes[s.Owner] != nil {
			out[s.Owner] = append(out[s.Owner], s)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Slice) int { return byWork(b, a) })
	}
	return out
}

// pull moves one slice to n from the node furthest above its quota.
func (u *usage) pull(n *nodeUse, quota map[string]int, rest map[string][]Slice) (Move, bool) {
	var from *nodeUse
	for _, c := range u.order {
		over := c.count - quota[c.Name]
		if c == n || over <= 0 || !hasAllowed(rest[c.Name], n.Name) {
			continue
		}
		if from == nil || over > from.count-quota[from.Name] {
			from = c
		}
	}
	if from == nil {
		return Move{}, false
	}
	list := rest[from.Name]
	i := slices.IndexFunc(list, func(s Slice) bool { return Allowed(s.Targets, n.Name) })
	s := list[i]
	rest[from.Name] = slices.Delete(list, i, i+1)
	return u.move(s, from, n, "fill a node below its share"), true
}

func hasAllowed(list []Slice, name string) bool {
	return slices.ContainsFunc(list, func(s Slice) bool { return Allowed(s.Targets, name) })
}

func (u *usage) move(s Slice, from, to *nodeUse, reason string) Move {
	u.add(from.Name, s, -1)
	u.add(to.Name, s, 1)
	return Move{ID: s.ID, From: from.Name, To: to.Name, Reason: reason}
}

// Balance moves work from nodes loaded well above the mean to the least loaded ones, at
// most limit moves.
func Balance(p Problem, limit int) []Move {
	u := newUsage(p)
	rest := movable(p, u)
	var moves []Move
	for len(moves) < limit {
		m, ok := u.balanceOne(rest)
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

func (u *usage) balanceOne(rest map[string][]Slice) (Move, bool) {
	if len(u.order) < 2 {
		return Move{}, false
	}
	from := slices.MaxFunc(u.order, func(a, b *nodeUse) int { return cmp.Compare(a.relative(), b.relative()) })
	if from.measured/from.Capacity < minBusy || from.relative() <= balanceAbove*u.mean() {
		return Move{}, false
	}
	list := rest[from.Name]
	for i := len(list) - 1; i >= 0; i-- {
		s := list[i]
		to := u.least(s, func(n *nodeUse) bool { return n == from })
		if to == nil || !u.improves(s, from, to) {
			continue
		}
		rest[from.Name] = slices.Delete(list, i, i+1)
		return u.move(s, from, to, "measured work above the mean"), true
	}
	return Move{}, false
}

// improves reports whether moving s takes a fair part of the source's excess over the mean
// and leaves the destination near the mean.
func (u *usage) improves(s Slice, from, to *nodeUse) bool {
	work := s.Work + baseWork
	mean := u.mean()
	excess := from.work - mean*from.Capacity
	return work >= minPart*excess && (to.work+work)/to.Capacity <= balanceTo*mean
}

func (u *usage) mean() float64 {
	work, capacity := 0.0, 0.0
	for _, n := range u.order {
		work += n.work
		capacity += n.Capacity
	}
	return work / capacity
}
