package holding

import "testing"

// TestFencesGrowAcrossEras loses writes of a table in two returns of the store, and takes up the copy.
func TestFencesGrowAcrossEras(t *testing.T) {
	candidates := []Candidate{{Owner: Owner{Node: "a"}}, {Owner: Owner{Node: "b"}}}
	table := NewTableInEra("s", 0)
	table.Assign(candidates)
	older := table.Clone()
	for range 400 {
		table.RemoveOwner(table.Owners[0])
		table.Assign(candidates)
	}
	table.BeginEra(1)
	table.Settle()
	for _, copied := range []*Table{older, NewTableInEra("s", 2)} {
		if copied == older {
			copied.BeginEra(2)
		}
		copied.Settle()
		copied.Assign(candidates)
		for i, s := range copied.Slices {
			if lost := table.Slices[i].Fence; s.Fence <= lost {
				t.Fatalf("slice %d has token %d after token %d", i, s.Fence, lost)
			}
		}
	}
}

// TestUnsettledTableLeavesOwners checks that slices change hands by their owners alone until the table is
// settled.
func TestUnsettledTableLeavesOwners(t *testing.T) {
	table := NewTable("s")
	table.Assign([]Candidate{{Owner: Owner{Node: "a"}}})
	table.BeginEra(1)
	if table.AssignedInEra(0) || table.IsSettled() {
		t.Error("a slice counts as assigned in the era before anything was")
	}
	decoded := decodeAgain(t, table)
	if decoded.IsSettled() || decoded.Era != 1 {
		t.Errorf("era %d, settled %v after decoding", decoded.Era, decoded.IsSettled())
	}
	none := NewTableInEra("s", 1)
	if none.NeedsChange([]Candidate{{Owner: Owner{Node: "b"}}}, ResponseLimit{Bytes: 4000, GrantBytes: func(Grant) int { return 9 }}, true) {
		t.Error("slices without an owner are assigned")
	}
	table.Release(0, "")
	table.Settle()
	if !table.AssignedInEra(1) || table.Slices[1].Fence <= 1024 {
		t.Errorf("slice 1 has token %d in the settled table", table.Slices[1].Fence)
	}
}

// TestReportKeepsTheLatestTokens merges a table that is newer for one slice and older for another.
func TestReportKeepsTheLatestTokens(t *testing.T) {
	known := NewTable("s")
	known.Assign([]Candidate{{Owner: Owner{Node: "a"}}})
	table := known.Clone()
	known.Release(0, "")
	known.Assign([]Candidate{{Owner: Owner{Node: "b"}}})
	table.BeginEra(1)
	table.Fence++
	table.Slices[1] = Slice{Owner: table.ensureOwner(Owner{Node: "c"}), Fence: table.Fence, Next: -1}
	if !table.Report("a", known) || table.Report("a", known) || !decodeAgain(t, table).HasReported("a") {
		t.Error("the report is not recorded once")
	}
	for slice, want := range []string{"b", "c", "a"} {
		if owner, _ := table.OwnerOf(slice); owner.Node != want {
			t.Errorf("slice %d is owned by %q, want %q", slice, owner.Node, want)
		}
	}
	if table.BeginEra(2); table.HasReported("a") {
		t.Error("the report counts in the next era")
	}
}

func decodeAgain(t *testing.T, table *Table) *Table {
	t.Helper()
	data, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}
