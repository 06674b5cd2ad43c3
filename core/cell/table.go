package cell

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// TableVersion orders the states of a cell's route table.
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

// SliceRoute is the present owner of a slice.
type SliceRoute struct {
	Slice keyspace.SliceID
	// Owner is a node's name; empty when nobody owns the slice.
	Owner  string
	Moving bool
}

// HotKey is a key with a slice of its own.
type HotKey struct {
	Slice keyspace.SliceID
	Key   string
}

// TableDelta brings a node's route table from one version to another. With Full set it
// replaces the table. Members are always listed whole when any of them changed.
type TableDelta struct {
	To      TableVersion
	Full    bool
	Members []Member
	Hot     []HotKey
	Routes  []SliceRoute
}

// OtherCell is what a node needs to know of another cell.
type OtherCell struct {
	Cell         string
	Region       string
	SheetVersion int64
	// FenceEpoch is the epoch of the cell's fences; only a controller knows it.
	FenceEpoch uint64
	// Contacts can name the owner of a slice.
	Contacts []Member
	// RangeIDs identifies the ranges that the cell's record holds.
	RangeIDs []keyspace.RangeID
	// Ranges has the same ranges whole; only a controller knows them.
	Ranges []keyspace.Range
}

// CellsView is the state of the other cells, whole or what changed since a version.
type CellsView struct {
	Version TableVersion
	Full    bool
	Cells   []OtherCell
}

// apply returns the view after a newer one.
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

// apply returns the table after the delta; the receiver is left as it is.
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

// SliceOf returns the slice of key in r, with hot keys in slices of their own.
func (t *Table) SliceOf(r keyspace.Range, key string) keyspace.SliceID {
	if t != nil {
		if index, ok := t.Hot[r.ID()][key]; ok {
			return keyspace.SliceID{Range: r.ID(), Index: index}
		}
	}
	return r.SliceOf(key)
}
