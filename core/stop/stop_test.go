package stop

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

var noon = time.Date(2026, 11, 3, 12, 0, 0, 0, time.UTC)

func member(name, domain string) Member {
	return Member{
		Name: name, Incarnation: 1, TargetProcess: 5, Region: "alfold", FailureDomain: domain, Cell: "alfold", Ready: true,
	}
}

func newStop(kind Kind, name string) Stop {
	return Stop{ID: string(kind) + "-" + name, Scope: Scope{Kind: kind, Name: name}, At: noon}
}

func TestMembersToDrain(t *testing.T) {
	d1, d2, s1 := member("d-1", "debrecen"), member("d-2", "debrecen"), member("s-1", "szeged")
	restarted, targetRestarted := d1, d1
	restarted.Incarnation = 2
	targetRestarted.TargetProcess = 6
	cancelled := newStop(VM, "d-1")
	cancelled.CancelledBy = "eszter"
	drained := []DrainProgress{{VM: "d-1", Incarnation: 1, TargetProcess: 5}}
	for name, c := range map[string]struct {
		stop     Stop
		members  []Member
		progress bool
		at       time.Time
		want     []string
	}{
		"before its time":          {stop: newStop(VM, "d-1"), members: []Member{d1}, at: noon.Add(-time.Second)},
		"one VM":                   {stop: newStop(VM, "d-1"), members: []Member{s1, d2, d1}, at: noon, want: []string{"d-1"}},
		"failure domain":           {stop: newStop(FailureDomain, "debrecen"), members: []Member{s1, d2, d1}, at: noon, want: []string{"d-1", "d-2"}},
		"a domain is not a VM":     {stop: newStop(VM, "debrecen"), members: []Member{d1}, at: noon},
		"cancelled":                {stop: cancelled, members: []Member{d1}, at: noon},
		"same process after drain": {stop: newStop(VM, "d-1"), members: []Member{d1}, progress: true, at: noon, want: []string{"d-1"}},
		"VM restarted":             {stop: newStop(VM, "d-1"), members: []Member{restarted}, progress: true, at: noon},
		"target restarted":         {stop: newStop(Target, "d-1"), members: []Member{targetRestarted}, progress: true, at: noon},
		"node of target restarted": {stop: newStop(Target, "d-1"), members: []Member{restarted}, progress: true, at: noon, want: []string{"d-1"}},
		"target of VM restarted":   {stop: newStop(VM, "d-1"), members: []Member{targetRestarted}, progress: true, at: noon, want: []string{"d-1"}},
		"no progress recorded yet": {stop: newStop(VM, "d-1"), members: []Member{restarted}, at: noon, want: []string{"d-1"}},
	} {
		var progress []Progress
		if c.progress {
			progress = []Progress{{ID: "other", Cell: "alfold"}, {ID: c.stop.ID, Cell: "alfold", VMs: drained}}
		}
		if got := MembersToDrain([]Stop{c.stop}, progress, c.members, c.at); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestPhases follows a stop of a failure domain through all its phases.
func TestPhases(t *testing.T) {
	s := newStop(FailureDomain, "debrecen")
	members := []Member{member("d-1", "debrecen"), member("d-2", "debrecen"), member("s-1", "szeged")}
	var progress Progress
	var got []string
	update := func(at time.Time, first, second MemberLoad) {
		first.Member, second.Member = members[0], members[1]
		next, write := UpdateProgress(s, progress, "alfold", []MemberLoad{first, second, {Member: members[2], Slices: 9}}, at)
		if write {
			progress = next
		}
		got = append(got, fmt.Sprintf("%s %v", PhaseOf(s, []Progress{progress}, members, at), write))
	}
	update(noon.Add(-time.Minute), MemberLoad{Slices: 4}, MemberLoad{Slices: 4})
	update(noon, MemberLoad{Slices: 4, InFlight: 2}, MemberLoad{Slices: 4, InFlight: 2})
	update(noon.Add(time.Second), MemberLoad{Slices: 3, InFlight: 2}, MemberLoad{Slices: 4, InFlight: 2})
	update(noon.Add(2*time.Second), MemberLoad{InFlight: 2}, MemberLoad{Slices: 1})
	update(noon.Add(3*time.Second), MemberLoad{InFlight: 1}, MemberLoad{})
	update(noon.Add(4*time.Second), MemberLoad{InFlight: 1}, MemberLoad{})
	update(noon.Add(5*time.Second), MemberLoad{}, MemberLoad{})
	want := []string{"planned false", "draining true", "draining false", "draining true", "handed over true", "handed over false", "ready true"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	s.CancelledBy = "eszter"
	if phase := PhaseOf(s, []Progress{progress}, members, noon.Add(time.Hour)); phase != Cancelled {
		t.Errorf("phase after cancelling is %s", phase)
	}
}

// TestUpdateProgressIgnoresTheNextProcess checks that slices taken over by a VM that restarted as
// another process do not count in the progress of the stop.
func TestUpdateProgressIgnoresTheNextProcess(t *testing.T) {
	s, m := newStop(VM, "d-1"), member("d-1", "debrecen")
	progress, _ := UpdateProgress(s, Progress{}, "alfold", []MemberLoad{{Member: m, Slices: 1}}, noon)
	m.Incarnation = 2
	progress, _ = UpdateProgress(s, progress, "alfold", []MemberLoad{{Member: m, Slices: 8}}, noon.Add(time.Minute))
	if len(progress.VMs) != 1 || progress.VMs[0].Incarnation != 1 || !progress.VMs[0].IsReady() {
		t.Errorf("got %+v, want one VM with incarnation 1 and no slices", progress.VMs)
	}
}

func TestCheck(t *testing.T) {
	members := []Member{member("d-1", "debrecen"), member("d-2", "debrecen"), member("s-1", "szeged")}
	absent := member("s-2", "szeged")
	absent.Ready = false
	members = append(members, absent)
	everywhere := keyspace.Range{Service: "booking", Kind: keyspace.Keyed, Region: "alfold", Cell: "alfold", Line: 2}
	pinned := everywhere
	pinned.Targets, pinned.Line = []string{"d-*"}, 3
	elsewhere := everywhere
	elsewhere.Region, elsewhere.Cell, elsewhere.Line = "dunantul", "dunantul", 4
	layout := keyspace.Layout{Services: []keyspace.Service{{Ranges: []keyspace.Range{everywhere, pinned, elsewhere}}}}
	cancelled := newStop(VM, "s-1")
	cancelled.CancelledBy = "eszter"
	for name, c := range map[string]struct {
		stop   Stop
		others []Stop
		want   []int
	}{
		"one of two":                   {stop: newStop(VM, "d-1")},
		"both by one stop":             {stop: newStop(FailureDomain, "debrecen"), want: []int{3}},
		"both by two stops":            {stop: newStop(VM, "d-1"), others: []Stop{newStop(Target, "d-2")}, want: []int{3}},
		"the last ready one":           {stop: newStop(VM, "s-1"), others: []Stop{newStop(FailureDomain, "debrecen")}, want: []int{2, 3}},
		"cancelled stops do not count": {stop: newStop(FailureDomain, "debrecen"), others: []Stop{cancelled}, want: []int{3}},
	} {
		var lines []int
		for _, u := range Check(c.stop, c.others, layout, members) {
			lines = append(lines, u.Range.Line)
		}
		// A range that had no target before the stop is not reported.
		if !slices.Equal(lines, c.want) {
			t.Errorf("%s: got lines %v, want %v", name, lines, c.want)
		}
	}
	if got := RangesWithoutTarget(layout, members); len(got) != 1 || got[0].Line != 4 {
		t.Errorf("ranges without a target are %+v, want the one on line 4", got)
	}
}

func TestStoredForms(t *testing.T) {
	s := newStop(VM, "d-1")
	value, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(value); err != nil || got != s {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := Decode([]byte("{")); !errors.Is(err, ErrMalformed) {
		t.Errorf("malformed stop: got error %v, want ErrMalformed", err)
	}
	if _, err := DecodeProgress([]byte("[]")); !errors.Is(err, ErrMalformed) {
		t.Errorf("malformed progress: got error %v, want ErrMalformed", err)
	}
	if err := (Scope{Kind: "rack", Name: "x"}).Check(); !errors.Is(err, ErrScope) {
		t.Errorf("unknown scope kind: got error %v, want ErrScope", err)
	}
}
