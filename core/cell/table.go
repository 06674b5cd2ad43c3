package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// TableVersion is the version of a cell's route table or view of the other cells. Number
// increases within an epoch.
type TableVersion struct {
	Epoch  uint64
	Number uint64
}

// Less reports whether v is older than o.
func (v TableVersion) Less(o TableVersion) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Number < o.Number
}

// SliceRoute is the current owner of a slice. Moving tells that the slice is being moved.
type SliceRoute struct {
	Slice keyspace.SliceID
	// Owner is a node's name; empty if the slice has no owner.
	Owner  string
	Moving bool
}

// HotKey is a key with a slice of its own.
type HotKey struct {
	Slice keyspace.SliceID
	Key   string
}

// TableDelta updates a node's route table to the version To. If Full, it replaces the table.
// Members lists all members if any of them changed, and Hot all hot keys.
type TableDelta struct {
	To      TableVersion
	Full    bool
	Members []Member
	Hot     []HotKey
	Routes  []SliceRoute
}

// OtherCell is a summary of another cell.
type OtherCell struct {
	Cell         string
	Region       string
	SheetVersion int64
	// FenceEpoch is the epoch of the cell's fences; it is set only on controllers.
	FenceEpoch uint64
	// Contacts are nodes of the cell that can be asked for the owner of a slice.
	Contacts []Member
	// RangeIDs identifies the ranges in the cell's record.
	RangeIDs []keyspace.RangeID
	// Ranges holds the same ranges in full; it is set only on controllers.
	Ranges []keyspace.Range
}

// CellsView is the state of the other cells: all of them if Full, otherwise those that changed
// since a version.
type CellsView struct {
	Version TableVersion
	Full    bool
	Cells   []OtherCell
}

// apply returns the view updated by d, which is newer.
func (v CellsView) apply(d *CellsView) CellsView {
	next := CellsView{Version: d.Version, Full: true, Cells: d.Cells}
	if d.Full {
		return next
	}
	next.Cells = nil
	for _, c := range v.Cells {
		if !slices.ContainsFunc(d.Cells, func(o OtherCell) bool { return o.Cell == c.Cell }) {
			next.Cells = append(next.Cells, c)
		}
	}
	next.Cells = append(next.Cells, d.Cells...)
	return next
}

// Table is the route table that a node keeps. Readers treat it as immutable.
type Table struct {
	Version TableVersion
	Members map[string]Member
	Hot     map[keyspace.RangeID]map[string]uint32
	Routes  map[keyspace.SliceID]SliceRoute
}

// apply returns the table updated by the delta; it does not change the receiver.
func (t *Table) apply(d *TableDelta) *Table {
	next := &Table{
		Version: d.To,
		Members: make(map[string]Member),
		Hot:     make(map[keyspace.RangeID]map[string]uint32),
		Routes:  make(map[keyspace.SliceID]SliceRoute),
	}
	if !d.Full && t != nil {
		next.copyFrom(t)
	}
	if len(d.Members) > 0 {
		next.Members = make(map[string]Member, len(d.Members))
	}
	for _, m := range d.Members {
		next.Members[m.Name] = m
	}
	for _, h := range d.Hot {
		next.putHot(h)
	}
	for _, r := range d.Routes {
		next.Routes[r.Slice] = r
	}
	return next
}

func (t *Table) copyFrom(o *Table) {
	for name, m := range o.Members {
		t.Members[name] = m
	}
	for id, hot := range o.Hot {
		for key, index := range hot {
			t.putHot(HotKey{Slice: keyspace.SliceID{Range: id, Index: index}, Key: key})
		}
	}
	for id, r := range o.Routes {
		t.Routes[id] = r
	}
}

func (t *Table) putHot(h HotKey) {
	hot := t.Hot[h.Slice.Range]
	if hot == nil {
		hot = make(map[string]uint32)
		t.Hot[h.Slice.Range] = hot
	}
	hot[h.Key] = h.Slice.Index
}

// SliceOf returns the slice of key in r: its own slice for a hot key, otherwise its base slice.
func (t *Table) SliceOf(r keyspace.Range, key string) keyspace.SliceID {
	if t != nil {
		if index, ok := t.Hot[r.ID()][key]; ok {
			return keyspace.SliceID{Range: r.ID(), Index: index}
		}
	}
	return r.SliceOf(key)
}
