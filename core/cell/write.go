package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// writeKind is the purpose of a write of the record.
type writeKind uint8

const (
	// writeStandby sets or clears the standby, or creates the record.
	writeStandby writeKind = iota + 1
	// writeTakeover names a new controller.
	writeTakeover
	// writeRenew renews the authority of a controller without a standby.
	writeRenew
	// writePlan changes assignments, ranges or nodes.
	writePlan
	// writeBump writes an unchanged record to change its version, so that an earlier write on
	// the old version can no longer take effect.
	writeBump
)

// write is the write of the record that this node has in progress or in doubt. There is at most
// one.
type write struct {
	kind     writeKind
	expected int64
	record   *Record
	// ids holds the id of each attempt on the expected version, sentAt when it was sent.
	ids    []string
	sentAt []time.Duration
	// bumped tells that all attempts but the first write the old record to change its version.
	bumped bool
	// unknown tells that the write is in doubt: some attempt may have taken effect or may still
	// do so.
	unknown bool
	// inFlight tells that the last attempt has not ended.
	inFlight bool
	// slices holds the slices that the write assigns.
	slices map[keyspace.SliceID]bool
	// dropped holds the ranges that the write gives up. Another cell may take them once the
	// write has taken effect, so no slice of them is granted while it may do so.
	dropped map[keyspace.RangeID]bool
}

func (m *Machine) startWrite(kind writeKind, expected int64, rec *Record, slices map[keyspace.SliceID]bool) {
	m.write = &write{kind: kind, expected: expected, record: rec, slices: slices}
	m.sendWrite(rec)
}

func (m *Machine) sendWrite(rec *Record) {
	w := m.write
	id := m.newWriteID()
	w.ids = append(w.ids, id)
	w.sentAt = append(w.sentAt, m.now)
	w.inFlight = true
	m.emit(WriteRecord{ID: id, Expected: w.expected, Record: rec})
}

func (m *Machine) recordWritten(e RecordWritten) {
	w := m.write
	if w == nil || len(w.ids) == 0 || w.ids[len(w.ids)-1] != e.ID {
		return
	}
	w.inFlight = false
	m.storeDown = e.Status == WriteUnknown || e.Status == WriteUnavailable
	switch e.Status {
	case WriteDone:
		m.applyWrite(len(w.ids)-1, e.Version)
	case WriteConflict:
		// An earlier attempt may have caused the conflict. A read without delay settles it.
		w.unknown = true
		m.readStartedAt = m.now - minReadInterval
		m.readRecord()
	case WriteUnknown:
		w.unknown = true
		m.readRecord()
	case WriteUnavailable:
		if !w.unknown {
			m.write = nil
			m.backOff()
		}
	}
}

// applyWrite applies attempt i, which is now known to have taken effect as the given version.
func (m *Machine) applyWrite(i int, version int64) {
	w := m.write
	m.write = nil
	rec, kind := w.record, w.kind
	if w.bumped && i > 0 {
		rec, kind = m.record, writeBump
	}
	if rec == nil {
		return
	}
	m.adoptRecord(version, rec)
	m.extendAuthority(kind, w.sentAt[i])
}

// resolveWrite settles a write in doubt if a read shows that the version has changed.
func (m *Machine) resolveWrite(e RecordRead) {
	w := m.write
	if w == nil || e.Version <= w.expected {
		return
	}
	for i, id := range w.ids {
		if id == e.WriteID {
			m.applyWrite(i, e.Version)
			return
		}
	}
	if w.inFlight && !w.unknown {
		return
	}
	m.write = nil
	m.backOff()
}

// bumpVersion writes the unchanged record on the version that a write in doubt expects, so
// that at most one of the two takes effect. If the cell has no record yet, it repeats the write.
func (m *Machine) bumpVersion(version int64) {
	w := m.write
	if w == nil || !w.unknown || w.inFlight || version != w.expected {
		return
	}
	if m.guards.noVersionChange {
		m.write = nil
		return
	}
	rec := m.record
	if w.expected == 0 {
		rec = w.record
	} else {
		w.bumped = true
	}
	m.logDecision("move version", keyspace.SliceID{}, m.self.Name, "an earlier write of the record may still take effect")
	m.sendWrite(rec)
}

func (m *Machine) backOff() {
	if m.ctl != nil {
		m.ctl.retryAt = m.now + minReadInterval
	}
	m.standby.retryAt = m.now + minReadInterval
}

// dropPending reports whether a write that gives up the range is in progress or in doubt.
func (m *Machine) dropPending(id keyspace.RangeID) bool {
	return m.write != nil && m.write.dropped[id] && !m.guards.grantDroppedRanges
}

// splitPending reports whether a write that moves a hot key out of the slice is in progress or in
// doubt. A holder of the slice would not know that the key has a slice of its own.
func (m *Machine) splitPending(id keyspace.SliceID) bool {
	if m.write == nil || !m.write.slices[id] || m.guards.grantSplitSlices {
		return false
	}
	return hotKeyCount(m.write.record, id.Range) != hotKeyCount(m.record, id.Range)
}

func hotKeyCount(r *Record, id keyspace.RangeID) int {
	for i := range r.Ranges {
		if r.Ranges[i].Range.ID() == id {
			return len(r.Ranges[i].Hot)
		}
	}
	return 0
}

// droppedRanges returns the ranges of the old record that the next one no longer contains.
func droppedRanges(old, next *Record) map[keyspace.RangeID]bool {
	dropped := make(map[keyspace.RangeID]bool)
	for i := range old.Ranges {
		dropped[old.Ranges[i].Range.ID()] = true
	}
	for i := range next.Ranges {
		delete(dropped, next.Ranges[i].Range.ID())
	}
	return dropped
}

// writePending reports whether a write of the kind is in progress or in doubt, so that it may have
// taken effect without this node knowing.
func (m *Machine) writePending(kind writeKind) bool { return m.write != nil && m.write.kind == kind }
