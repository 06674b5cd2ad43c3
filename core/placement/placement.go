// Package placement assigns slices to nodes. It moves as few slices as possible, places
// each slice's successor in another failure domain and balances the measured load.
//
// All functions are pure and deterministic: equal inputs give equal results.
package placement

import (
	"cmp"
	"path"
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Node is a candidate owner.
type Node struct {
	Name   string
	Domain string
	// Capacity is the number of slots of the node's target.
	Capacity float64
	// BelowQuota is set while a node that owned too few slices has not reached its quota yet.
	BelowQuota bool
}

// Slice is a slice with its current owner and measured load.
type Slice struct {
	ID keyspace.SliceID
	// Owner and Successor are node names, empty for none.
	Owner     string
	Successor string
	// Work is the measured slot time per second, in milliseconds.
	Work float64
	// Targets lists glob patterns of the VM names that may own the slice; empty allows all.
	Targets []string
	// Pinned excludes the slice from Fill and Balance, for example because it is moving already.
	Pinned bool
}

// Problem is the input of a placement decision: the slices and the candidate nodes.
type Problem struct {
	Slices []Slice
	// Nodes are the candidates for new slices, ordered by name.
	Nodes []Node
}

// Move gives a slice a new owner.
type Move struct {
	ID     keyspace.SliceID
	From   string
	To     string
	Reason string
}

// SuccessorChange gives a slice a new successor, the node that takes it over when its owner
// fails. An empty Successor means none.
type SuccessorChange struct {
	ID        keyspace.SliceID
	Successor string
}

// baseWork is added to the measured work of every slice so that idle slices are spread
// over the nodes too. It is in milliseconds of slot time per second.
const baseWork = 1.0

// Allowed reports whether the VM name matches one of the glob patterns; no patterns allow
// every name.
func Allowed(patterns []string, name string) bool {
	if len(patterns) == 0 {
		return true
	}
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, err := path.Match(p, name)
		return err == nil && ok
	})
}

// usage tracks the slices and load of each node while moves are planned.
type usage struct {
	nodes map[string]*nodeUse
	order []*nodeUse
}

type nodeUse struct {
	Node
	count int
	// work includes baseWork for each slice; measured does not.
	work     float64
	measured float64
}

func newUsage(p Problem) *usage {
	u := &usage{nodes: make(map[string]*nodeUse, len(p.Nodes))}
	for _, n := range p.Nodes {
		n.Capacity = max(n.Capacity, 1)
		use := &nodeUse{Node: n}
		u.nodes[n.Name] = use
		u.order = append(u.order, use)
	}
	for _, s := range p.Slices {
		u.add(s.Owner, s, 1)
	}
	return u
}

func (u *usage) add(name string, s Slice, sign int) {
	if n := u.nodes[name]; n != nil {
		n.count += sign
		n.work += float64(sign) * (s.Work + baseWork)
		n.measured += float64(sign) * s.Work
	}
}

// relative returns the node's relative load, its work per slot.
func (n *nodeUse) relative() float64 { return n.work / n.Capacity }

// leastLoaded returns the allowed node with the lowest relative load, or nil if there is none.
func (u *usage) leastLoaded(s Slice, skip func(*nodeUse) bool) *nodeUse {
	var best *nodeUse
	for _, n := range u.order {
		if !Allowed(s.Targets, n.Name) || (skip != nil && skip(n)) {
			continue
		}
		if best == nil || n.relative() < best.relative() {
			best = n
		}
	}
	return best
}

// Assign chooses an owner for each slice that needs one: its successor if that node is an
// allowed candidate, otherwise the least loaded allowed node other than the current owner.
// Slices that no such node may own are omitted.
func Assign(p Problem, needs func(Slice) bool) []Move {
	u := newUsage(p)
	var moves []Move
	for _, s := range p.Slices {
		if !needs(s) {
			continue
		}
		if m, ok := u.assign(s); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

func (u *usage) assign(s Slice) (Move, bool) {
	u.add(s.Owner, s, -1)
	to, reason := u.nodes[s.Successor], "successor"
	if to == nil || !Allowed(s.Targets, to.Name) {
		to, reason = u.leastLoaded(s, func(n *nodeUse) bool { return n.Name == s.Owner }), "least loaded"
	}
	if to == nil {
		u.add(s.Owner, s, 1)
		return Move{}, false
	}
	u.add(to.Name, s, 1)
	return Move{ID: s.ID, From: s.Owner, To: to.Name, Reason: reason}, true
}

// Successors returns the changes that give every slice a successor other than its owner,
// in another failure domain if there is one. A suitable successor is kept.
func Successors(p Problem) []SuccessorChange {
	domains := make(map[string]string, len(p.Nodes))
	for _, n := range p.Nodes {
		domains[n.Name] = n.Domain
	}
	counts := make(map[string]int)
	for _, s := range p.Slices {
		counts[s.Successor]++
	}
	var out []SuccessorChange
	for _, s := range p.Slices {
		chosen := successor(p, s, domains, counts)
		if chosen != s.Successor {
			counts[s.Successor]--
			counts[chosen]++
			out = append(out, SuccessorChange{ID: s.ID, Successor: chosen})
		}
	}
	return out
}

func successor(p Problem, s Slice, domains map[string]string, counts map[string]int) string {
	best, bestRank := "", [2]int{}
	for _, n := range p.Nodes {
		if n.Name == s.Owner || !Allowed(s.Targets, n.Name) {
			continue
		}
		rank := [2]int{0, counts[n.Name]}
		if n.Domain == domains[s.Owner] {
			rank[0] = 1
		}
		if n.Name == s.Successor {
			rank[1] = -1
		}
		if best == "" || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = n.Name, rank
		}
	}
	return best
}

// byWork orders slices by descending work, then by ID.
func byWork(a, b Slice) int {
	return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.ID.Range, b.ID.Range), cmp.Compare(a.ID.Index, b.ID.Index))
}
