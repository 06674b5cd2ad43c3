package holding

import (
	"testing"
	"time"
)

// completeMoves completes all moves that a table plans and repeats with new loads until it plans no
// more. It returns the number of moves.
func completeMoves(t *testing.T, table *Table, measured func() []Candidate) (moved int) {
	t.Helper()
	const rounds = 10
	for range rounds {
		if !table.Move(measured(), true) {
			return moved
		}
		for i, s := range table.Slices {
			if s.Next >= 0 {
				table.Release(i, "")
				moved++
			}
		}
	}
	t.Errorf("slices still move after %d rounds", rounds)
	return moved
}

// TestLoadFollowsCapacity checks that slices move only once a target is overloaded, that targets
// of different capacity then end up with slices in proportion, and that no further moves follow.
func TestLoadFollowsCapacity(t *testing.T) {
	table := NewTable("s")
	all := owners("a", "b", "c")
	table.Assign(all)
	perSlice := 128.0 / SliceCount
	measured := func() []Candidate {
		list := append([]Candidate(nil), all...)
		for i, capacity := range []float64{60, 100, 140} {
			list[i].Capacity = capacity
			list[i].Rate = perSlice * float64(count(table)[list[i].Owner.Node])
		}
		return list
	}
	if completeMoves(t, table, measured) != 0 {
		t.Error("slices move although no target is overloaded")
	}
	perSlice = 294.4 / SliceCount
	moved := completeMoves(t, table, measured)
	got := count(table)
	for i, want := range []float64{0.2, 0.333, 0.467} {
		share := float64(got[all[i].Owner.Node]) / SliceCount
		if share > want*(1+overloadMargin) || share < want*(1-2*overloadMargin) {
			t.Errorf("%s has a share of %.3f, want about %.3f", all[i].Owner.Node, share, want)
		}
	}
	if moved > SliceCount/4 {
		t.Errorf("%d slices moved, want at most a quarter", moved)
	}
	if again := completeMoves(t, table, measured); again != 0 {
		t.Errorf("%d slices move although the load did not change", again)
	}
}

// TestHotSliceIsLeftAlone checks that when one slice receives half of all requests, the other
// slices of its owner move away.
func TestHotSliceIsLeftAlone(t *testing.T) {
	table := NewTable("s")
	all := owners("a", "b", "c", "d")
	table.Assign(all)
	measured := func() []Candidate {
		list := append([]Candidate(nil), all...)
		for i := range list {
			list[i].Capacity = 80
			list[i].Hot = map[int]float64{}
			for slice := range table.Slices {
				o, _ := table.OwnerOf(slice)
				switch {
				case o != list[i].Owner:
				case slice == 7:
					list[i].Rate += 100
					list[i].Hot[7] = 100
				default:
					list[i].Rate += 100.0 / (SliceCount - 1)
				}
			}
		}
		return list
	}
	completeMoves(t, table, measured)
	at, _ := table.OwnerOf(7)
	if n := count(table)[at.Node]; n > SliceCount/8 {
		t.Errorf("the owner of the hot slice keeps %d others", n)
	}
}

func TestGoneOwnersGetNoSlices(t *testing.T) {
	table := NewTable("s")
	all := owners("a", "b")
	table.Assign(all)
	table.RemoveOwner(all[0].Owner)
	table.MarkGone(all[0].Owner)
	table.Assign(all)
	table.Move(all, true)
	if got := count(table); got["b"] != SliceCount || table.IsMoving() {
		t.Errorf("slices per node %v, want all with b and no moves", got)
	}
	if !table.UnmarkGone(all[0].Owner) || table.UnmarkGone(all[0].Owner) || !table.Move(all, true) {
		t.Error("an owner removed from Gone is given no slices")
	}
}

func TestMeter(t *testing.T) {
	var m Meter
	for second := 1; second <= 8; second++ {
		for i := range SliceCount {
			m.Arrived(i * SliceKeys)
		}
		for range 100 {
			m.Arrived(7 * SliceKeys)
		}
		for range 10 {
			m.Served(50 * time.Millisecond)
		}
		load := m.Read(time.Duration(second)*time.Second, 6)
		if (load.Capacity > 0) != (10*second >= minServedRequests) {
			t.Errorf("capacity %v after %d requests", load.Capacity, 10*second)
		}
		if second < 8 {
			continue
		}
		if load.Capacity != 120 || load.Rate < SliceCount+97 || load.Rate > SliceCount+103 || len(load.Hot) != 1 || load.Hot[7] < 100 {
			t.Errorf("got %+v", load)
		}
	}
}

// TestEveryKeyIsGrantedAfterLosses removes one target after another and checks that the grants of
// the remaining ones always fit into their heartbeat responses.
func TestEveryKeyIsGrantedAfterLosses(t *testing.T) {
	for n := 1; n <= 7; n++ {
		table := NewTable("s")
		all := owners("a", "b", "c", "d", "e", "f", "g")[:n]
		table.Assign(all)
		for left := n; left > 0; left-- {
			if left < n {
				table.RemoveOwner(all[left].Owner)
				table.Assign(all[:left])
				table.MergeGrants(all[:left], responseLimit)
			}
			granted := 0
			for _, c := range all[:left] {
				var held []Held
				for _, g := range table.Grants(c.Owner, nil, responseLimit) {
					held = append(held, Held{From: g.From, To: g.To, Fence: g.Fence})
					granted += (g.To - g.From + 1) / SliceKeys
				}
				if again := table.Grants(c.Owner, held, responseLimit); len(again) != len(held) {
					t.Errorf("%d of %d targets left: %d grants, then %d", left, n, len(held), len(again))
				}
			}
			if granted != SliceCount {
				t.Errorf("%d of %d targets left: %d of %d slices granted", left, n, granted, SliceCount)
			}
		}
	}
}

func TestLimitBoundsTheCapacity(t *testing.T) {
	for _, row := range []struct{ capacity, limit, want float64 }{{0, 30, 30}, {80, 30, 30}, {20, 30, 20}, {80, 0, minCapacity}} {
		l := Load{Capacity: row.capacity}
		if l.LimitCapacity(row.limit); l.Capacity != row.want {
			t.Errorf("capacity %v with a limit of %v: %v, want %v", row.capacity, row.limit, l.Capacity, row.want)
		}
	}
}

// TestGrantsFitWithLongRows checks that every slice is granted in the end when encoded grants are
// long, as in JSON or after many moves.
func TestGrantsFitWithLongRows(t *testing.T) {
	size := ResponseLimit{Bytes: 4036, GrantBytes: func(g Grant) int { return 20 + len(g.Handover) }}
	table := NewTable("s")
	all := owners("a", "b", "c")
	table.Assign(all)
	table.MergeGrants(all, size)
	granted := 0
	for _, c := range all {
		var held []Held
		for range 20 {
			grants := table.Grants(c.Owner, held, size)
			held = held[:0:0]
			for _, g := range grants {
				held = append(held, Held{From: g.From, To: g.To, Fence: g.Fence})
			}
		}
		for _, h := range held {
			granted += (h.To - h.From + 1) / SliceKeys
		}
	}
	if granted != SliceCount {
		t.Errorf("%d of %d slices granted", granted, SliceCount)
	}
}
