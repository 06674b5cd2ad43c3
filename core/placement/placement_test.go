package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// newProblem returns a problem with equal nodes in two failure domains and the slices assigned
// to them in turn.
func newProblem(nodes, slices int) Problem {
	var p Problem
	for i := range nodes {
		p.Nodes = append(p.Nodes, Node{Name: fmt.Sprintf("n%02d", i), Domain: fmt.Sprintf("d%d", i%2), Capacity: 6})
	}
	for i := range slices {
		p.Slices = append(p.Slices, Slice{ID: keyspace.SliceID{Range: 1, Index: uint32(i)}, Owner: p.Nodes[i%nodes].Name})
	}
	return p
}

// apply executes the moves on p.
func apply(p Problem, moves []Move) {
	for _, m := range moves {
		p.Slices[m.ID.Index].Owner = m.To
	}
}

func counts(p Problem) map[string]int {
	owned := make(map[string]int)
	for _, s := range p.Slices {
		owned[s.Owner]++
	}
	return owned
}

func TestAssignAfterLossMovesOnlyTheLost(t *testing.T) {
	for _, nodes := range []int{3, 5, 24} {
		p := newProblem(nodes, 240)
		for _, s := range Successors(p) {
			p.Slices[s.ID.Index].Successor = s.Successor
		}
		lost := p.Nodes[0].Name
		want := counts(p)[lost]
		p.Nodes = p.Nodes[1:]
		moves := Assign(p, func(s Slice) bool { return s.Owner == lost })
		if len(moves) != want {
			t.Errorf("%d nodes: %d moves, want %d", nodes, len(moves), want)
		}
		for _, m := range moves {
			if m.To != p.Slices[m.ID.Index].Successor {
				t.Errorf("%d nodes: slice %d moves to %s, want its successor %s", nodes, m.ID.Index, m.To, p.Slices[m.ID.Index].Successor)
			}
		}
	}
}

func TestSuccessorsAreInAnotherDomainAndSpread(t *testing.T) {
	p := newProblem(6, 120)
	domain := make(map[string]string)
	for _, n := range p.Nodes {
		domain[n.Name] = n.Domain
	}
	perNode := make(map[string]int)
	for _, s := range Successors(p) {
		perNode[s.Successor]++
		if owner := p.Slices[s.ID.Index].Owner; domain[owner] == domain[s.Successor] {
			t.Errorf("slice %d: owner and successor are in %s", s.ID.Index, domain[owner])
		}
		p.Slices[s.ID.Index].Successor = s.Successor
	}
	for name, n := range perNode {
		if n < 15 || n > 25 {
			t.Errorf("%s is the successor of %d of 120 slices, want 15 to 25", name, n)
		}
	}
	if repeated := Successors(p); len(repeated) != 0 {
		t.Errorf("a second run changed %d successors, want 0", len(repeated))
	}
}

func TestFillMovesTheLeast(t *testing.T) {
	for _, nodes := range []int{2, 5, 23} {
		p := newProblem(nodes, 240)
		p.Nodes = append(p.Nodes, Node{Name: "new", Domain: "d0", Capacity: 6, BelowQuota: true})
		moves := Fill(p, 1000)
		want := 240 / (nodes + 1)
		if len(moves) != want {
			t.Errorf("%d nodes: %d moves, want %d", nodes, len(moves), want)
		}
		apply(p, moves)
		for name, n := range counts(p) {
			if n < want || n > want+1+want/10 {
				t.Errorf("%d nodes: %s owns %d slices, want about %d", nodes, name, n, want)
			}
		}
		if repeated := Fill(p, 1000); len(repeated) != 0 {
			t.Errorf("%d nodes: a second run made %d more moves", nodes, len(repeated))
		}
	}
}

func TestBalance(t *testing.T) {
	tests := []struct {
		name  string
		work  func(i int) float64
		moves bool
	}{
		{"idle", func(int) float64 { return 0 }, false},
		{"even", func(int) float64 { return 100 }, false},
		{"small difference", func(i int) float64 { return 100 + float64(i%5)*3 }, false},
		{"one node hot", func(i int) float64 { return 100 + float64(b2i(i%5 == 0))*200 }, true},
		{"one slice cannot be split", func(i int) float64 { return 1 + float64(b2i(i == 0))*5000 }, false},
	}
	for _, tt := range tests {
		p := newProblem(5, 250)
		for i := range p.Slices {
			p.Slices[i].Work = tt.work(i)
		}
		planned := Balance(p, 3)
		if (len(planned) > 0) != tt.moves || len(planned) > 3 {
			t.Errorf("%s: %d moves", tt.name, len(planned))
		}
		total := len(planned)
		for range 100 {
			apply(p, planned)
			planned = Balance(p, 3)
			total += len(planned)
		}
		if len(planned) > 0 || total > 60 {
			t.Errorf("%s: %d moves without reaching a stable placement", tt.name, total)
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRulesAndPins checks on random problems that no decision violates the target patterns,
// moves a pinned slice or makes a slice's owner its successor too.
func TestRulesAndPins(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		p := newProblem(2+rng.IntN(8), 40)
		for i := range p.Slices {
			s := &p.Slices[i]
			s.Work = rng.Float64() * 300
			s.Pinned = rng.IntN(5) == 0
			if rng.IntN(3) == 0 {
				s.Targets = []string{"n00", "n0[2-4]"}
			}
			if rng.IntN(6) == 0 {
				s.Owner = ""
			}
		}
		moves := Assign(p, func(s Slice) bool { return s.Owner == "" })
		apply(p, moves)
		rest := append(Fill(p, 10), Balance(p, 10)...)
		for _, m := range append(moves, rest...) {
			if !Allowed(p.Slices[m.ID.Index].Targets, m.To) {
				t.Fatalf("slice %d moves to %s, which its target patterns exclude", m.ID.Index, m.To)
			}
		}
		for _, m := range rest {
			if p.Slices[m.ID.Index].Pinned {
				t.Fatalf("pinned slice %d moves", m.ID.Index)
			}
		}
		for _, s := range Successors(p) {
			if s.Successor != "" && s.Successor == p.Slices[s.ID.Index].Owner {
				t.Fatalf("slice %d: the owner is also the successor", s.ID.Index)
			}
		}
	}
}
