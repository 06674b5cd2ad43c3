package cell

import (
	"reflect"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// sheetRead applies an accepted sheet unless it is older than the current one.
func (m *Machine) sheetRead(layout *keyspace.Layout) {
	if layout == nil || !m.applySheet(layout) {
		return
	}
	m.emit(TableChanged{})
	if m.ctl != nil {
		m.ctl.plans.dirty = true
	}
}

// cellsRead updates the view of the other cells unless the read is older than the current view.
func (m *Machine) cellsRead(e CellsRead) {
	c := m.ctl
	if c == nil || e.Version < c.otherCells.version {
		return
	}
	o := &c.otherCells
	o.version = e.Version
	next := make(map[string]otherCellState, len(e.Cells))
	changed := len(e.Cells) != len(o.cells) || o.number == 0
	for _, cell := range e.Cells {
		old, had := o.cells[cell.Cell]
		s := otherCellState{OtherCell: cell, changed: old.changed}
		if !had || !reflect.DeepEqual(old.OtherCell, cell) {
			s.changed = o.number + 1
			changed = true
		}
		next[cell.Cell] = s
	}
	o.cells = next
	if changed {
		o.number++
		c.plans.dirty = true
	}
}

// ownCell reports whether the sheet assigns the range to this cell. A range without a cell
// belongs to the cell named after its region.
func (m *Machine) ownCell(r keyspace.Range) bool {
	cell := r.Cell
	if cell == "" {
		cell = r.Region
	}
	return cell == m.cfg.Cell
}

// wantedRanges returns the keyed ranges that the sheet assigns to this cell.
func (m *Machine) wantedRanges() map[keyspace.RangeID]keyspace.Range {
	wanted := make(map[keyspace.RangeID]keyspace.Range)
	for _, s := range m.sheet.Services {
		for _, r := range s.Ranges {
			if r.Kind == keyspace.Keyed && m.ownCell(r) {
				wanted[r.ID()] = r
			}
		}
	}
	return wanted
}

// rangeUnwanted reports whether the sheet takes the range away from the cell.
func (m *Machine) rangeUnwanted(id keyspace.RangeID) bool { return m.ctl.plans.unwantedRanges[id] }

// draftSheet updates the record's ranges to the sheet in steps: drop the ranges that the sheet
// takes away, record the sheet's version, then add the ranges that no other cell can hold.
func (m *Machine) draftSheet(r *Record) bool {
	if m.sheet == nil || m.sheet.Version < r.SheetVersion {
		return false
	}
	if m.sheet.Version == r.SheetVersion && !m.ctl.plans.addingRanges {
		return false
	}
	wanted := m.wantedRanges()
	changed, kept := m.dropRanges(r, wanted)
	if m.sheet.Version > r.SheetVersion {
		if kept {
			return changed
		}
		r.SheetVersion = m.sheet.Version
		m.ctl.plans.addingRanges = true
		m.logDecision("follow sheet", keyspace.SliceID{}, m.self.Name, "no range is held that the sheet does not assign to this cell")
		return true
	}
	return m.addRanges(r, wanted) || changed
}

// dropRanges removes the ranges that are not wanted and on which no lease can exist. It reports
// whether the record changed and whether an unwanted range is still held.
func (m *Machine) dropRanges(r *Record, wanted map[keyspace.RangeID]keyspace.Range) (changed, kept bool) {
	var keep []RangeRecord
	m.ctl.plans.unwantedRanges = make(map[keyspace.RangeID]bool)
	for i := range r.Ranges {
		rr := r.Ranges[i]
		id := rr.Range.ID()
		w, ok := wanted[id]
		switch {
		case ok:
			if !reflect.DeepEqual(rr.Range, w) {
				rr.Range = w
				changed = true
			}
			keep = append(keep, rr)
		case m.rangeUnheld(rr):
			changed = true
			m.logDecision("drop range", keyspace.SliceID{Range: id}, m.self.Name, "the sheet no longer assigns it to this cell")
		default:
			kept = true
			m.ctl.plans.unwantedRanges[id] = true
			keep = append(keep, rr)
		}
	}
	r.Ranges = keep
	return changed, kept
}

// rangeUnheld reports whether no node can hold a slice of the range, and starts to drain the
// slices that may be held.
func (m *Machine) rangeUnheld(rr RangeRecord) bool {
	unheld := true
	id := keyspace.SliceID{Range: rr.Range.ID()}
	for i := range rr.Slices {
		id.Index = uint32(i)
		if !m.sliceUnheld(id) {
			unheld = false
			m.startMove(id, "", "the sheet no longer assigns its range to this cell", "")
		}
	}
	return unheld
}

// sliceUnheld reports whether no node can hold the slice.
func (m *Machine) sliceUnheld(id keyspace.SliceID) bool {
	c := m.ctl
	r := c.routes.slices[id]
	if f, ok := c.released[id]; ok && atMost(m.record.fence(r.seq), f.fence) {
		return true
	}
	if r.owner == "" {
		return true
	}
	if g, ok := c.granted[id]; ok && g.until > m.now {
		return false
	}
	lost, _ := m.ownerLost(id, r)
	return lost
}

// addRanges adds the ranges that the sheet assigns to this cell, once every other cell's record
// has the same sheet version and no overlapping range.
func (m *Machine) addRanges(r *Record, wanted map[keyspace.RangeID]keyspace.Range) bool {
	for i := range r.Ranges {
		delete(wanted, r.Ranges[i].Range.ID())
	}
	if len(wanted) == 0 {
		m.ctl.plans.addingRanges = false
		return false
	}
	changed := false
	for _, s := range m.sheet.Services {
		for _, rg := range s.Ranges {
			if _, ok := wanted[rg.ID()]; !ok || !m.otherCellsAgree(rg) {
				continue
			}
			r.FenceEpoch = m.fenceEpochAbove(r.FenceEpoch)
			r.Ranges = append(r.Ranges, RangeRecord{Range: rg, Slices: make([]Assignment, rg.Slices)})
			m.logDecision("take range", keyspace.SliceID{Range: rg.ID()}, m.self.Name, "no other cell can hold it")
			changed = true
		}
	}
	return changed
}

// fenceEpochAbove returns a fence epoch that is not lower than the current one and higher than
// those of all other cells, so that the fences of a range increase when it changes cells.
func (m *Machine) fenceEpochAbove(current uint64) uint64 {
	for _, c := range m.ctl.otherCells.cells {
		current = max(current, c.FenceEpoch+1)
	}
	return current
}

// otherCellsAgree reports whether no other cell holds or may take the range: their records were
// read after this cell's record got the sheet's version, have the same sheet version, and
// contain no overlapping range.
func (m *Machine) otherCellsAgree(rg keyspace.Range) bool {
	if m.guards.ignoreOtherCells {
		return true
	}
	o := &m.ctl.otherCells
	if o.number == 0 || o.version < m.sheetRecordVersion {
		return false
	}
	for _, c := range o.cells {
		if c.SheetVersion != m.sheet.Version {
			return false
		}
		for _, held := range c.Ranges {
			if held.Overlaps(rg) {
				return false
			}
		}
	}
	return true
}
