package account

import (
	"fmt"
	"slices"
	"strings"
)

// FaultKind classifies the faults that an audit can find.
type FaultKind string

const (
	// FaultChanged is a segment whose content or link differs from what was written.
	FaultChanged FaultKind = "changed"
	// FaultMissing is a segment that is not in the store.
	FaultMissing FaultKind = "missing"
	// FaultDoubled is a segment that books reports which another segment booked already.
	FaultDoubled FaultKind = "doubled"
	// FaultUnaccounted is a sequence of reports that no segment books and no gap covers.
	FaultUnaccounted FaultKind = "unaccounted"
)

// Fault is an inconsistency in a cell's account.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Segment ID        `json:"segment"`
	Detail  string    `json:"detail"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: segment %s: %s", f.Kind, f.Segment, f.Detail)
}

// MarkedGap is a gap with the segment that records it.
type MarkedGap struct {
	Gap
	Segment ID `json:"segment"`
}

// Row holds the totals of one line and the segments that they come from.
type Row struct {
	Count
	Segments []ID `json:"segments"`
}

// booking holds the number of the last booked report of a process and the segment that booked
// it.
type booking struct {
	last uint64
	by   ID
}

// Audit verifies the segments of one cell and month and adds up their counts. Segments must be
// passed to Add in the order of their keys.
type Audit struct {
	cell, month string
	// expected is the number of the next segment.
	expected uint64
	// last is the previous segment, or nil if there is none or it cannot be read.
	last   *Sealed
	booked map[Process]booking
	// skipContinuity is set while the continuity of bookings cannot be checked because the previous
	// segment is missing or unreadable.
	skipContinuity bool
	faults         []Fault
	gaps           []MarkedGap
	totals         map[Line]*Row
}

// NewAudit starts the audit of a cell and month. previous is the segment to which the month's
// first segment links, or nil if there is none or the link is not to be checked.
func NewAudit(cell, month string, previous *Sealed) *Audit {
	a := &Audit{cell: cell, month: month, expected: 1, last: previous, booked: map[Process]booking{}, totals: map[Line]*Row{}}
	a.skipContinuity = previous == nil
	if previous != nil {
		a.restoreBookings(previous)
	}
	return a
}

func (a *Audit) restoreBookings(s *Sealed) {
	for _, open := range s.Open {
		a.booked[open.Process] = booking{last: open.Last, by: s.ID}
	}
}

func (a *Audit) addFault(kind FaultKind, number uint64, format string, args ...any) {
	id := ID{Cell: a.cell, Month: a.month, Number: number}
	a.faults = append(a.faults, Fault{Kind: kind, Segment: id, Detail: fmt.Sprintf(format, args...)})
}

// Add verifies the value stored under the key of the segment with the given number and adds its
// counts. It reports whether the counts were added.
func (a *Audit) Add(number uint64, value []byte) bool {
	a.skipTo(number)
	a.expected = number + 1
	s, err := Unseal(value)
	if err != nil {
		a.addFault(FaultChanged, number, "%v", err)
		a.breakChain()
		return false
	}
	if want := (ID{Cell: a.cell, Month: a.month, Number: number}); s.ID != want {
		a.addFault(FaultDoubled, number, "its key holds a copy of segment %s", s.ID)
		a.breakChain()
		return false
	}
	a.checkLink(&s)
	a.checkSpans(&s)
	a.addCounts(&s)
	a.last = &s
	return true
}

// skipTo records a fault for each segment before number that is missing.
func (a *Audit) skipTo(number uint64) {
	for ; a.expected < number; a.expected++ {
		a.addFault(FaultMissing, a.expected, "the store does not hold it")
		a.breakChain()
	}
}

func (a *Audit) breakChain() {
	a.last = nil
	a.skipContinuity = true
}

func (a *Audit) checkLink(s *Sealed) {
	if a.last == nil || s.Previous != nil && *s.Previous == a.last.Link() {
		return
	}
	kind := FaultChanged
	if s.Previous != nil && s.Previous.ID != a.last.ID {
		kind = FaultMissing
	}
	linked := "none"
	if s.Previous != nil {
		linked = fmt.Sprintf("%s with digest %.12s", s.Previous.ID, s.Previous.Digest)
	}
	a.faults = append(a.faults, Fault{Kind: kind, Segment: a.last.ID, Detail: fmt.Sprintf(
		"its digest is %.12s, but segment %d follows %s", a.last.Digest, s.Number, linked)})
}

func (a *Audit) checkSpans(s *Sealed) {
	for _, gap := range s.Gaps {
		a.gaps = append(a.gaps, MarkedGap{Gap: gap, Segment: s.ID})
		if gap.Before > 0 {
			a.booked[gap.Process] = booking{last: gap.Before - 1, by: s.ID}
		}
	}
	for _, span := range s.Spans {
		a.checkSpan(s, span)
		a.booked[span.Process] = booking{last: span.Last, by: s.ID}
	}
	a.skipContinuity = false
}

func (a *Audit) checkSpan(s *Sealed, span Span) {
	previous, known := a.booked[span.Process]
	switch {
	case known && span.First <= previous.last:
		a.addFault(FaultDoubled, s.Number, "reports %d to %d of %s are booked by segment %s too",
			span.First, min(span.Last, previous.last), span.Node, previous.by)
	case span.First > previous.last+1 && !a.skipContinuity:
		a.addFault(FaultUnaccounted, s.Number, "reports %d to %d of %s are booked nowhere",
			previous.last+1, span.First-1, span.Node)
	}
}

func (a *Audit) addCounts(s *Sealed) {
	for _, count := range s.Counts {
		row, known := a.totals[count.Line]
		if !known {
			row = &Row{Count: Count{Line: count.Line}}
			a.totals[count.Line] = row
		}
		row.Merge(count.Totals)
		row.Segments = append(row.Segments, s.ID)
	}
}

// End checks the end of the month against next, the link from the first segment of the next
// month or of a later one.
func (a *Audit) End(next Link) {
	switch {
	case next.ID.Month != a.month:
		return
	case a.expected <= next.ID.Number:
		a.skipTo(next.ID.Number + 1)
	case a.expected > next.ID.Number+1:
		a.addFault(FaultChanged, next.ID.Number+1, "the next month follows segment %d", next.ID.Number)
	case a.last != nil && a.last.Link() != next:
		a.addFault(FaultChanged, next.ID.Number, "its digest is %.12s, but the next month follows %.12s", a.last.Digest, next.Digest)
	case a.last != nil && !a.last.Closes:
		a.addFault(FaultChanged, next.ID.Number, "the next month follows it, but it does not close its month")
	}
}

// Segments returns the number of the month's last segment.
func (a *Audit) Segments() uint64 { return a.expected - 1 }

// Last returns the last segment added, or nil if it was missing or unreadable.
func (a *Audit) Last() *Sealed { return a.last }

// Faults returns the faults found, in the order in which the segments were checked.
func (a *Audit) Faults() []Fault { return a.faults }

// Gaps returns the recorded gaps that no later report closed.
func (a *Audit) Gaps() []MarkedGap {
	var open []MarkedGap
	for _, gap := range a.gaps {
		if gap.Before > 0 || a.booked[gap.Process].last <= gap.After {
			open = append(open, gap)
		}
	}
	return open
}

// Rows returns the totals by line.
func (a *Audit) Rows() []Row {
	rows := make([]Row, 0, len(a.totals))
	for _, row := range a.totals {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(x, y Row) int { return compareLines(x.Line, y.Line) })
	return rows
}

// MergeRows adds up the rows of several cells.
func MergeRows(cells ...[]Row) []Row {
	merged := map[Line]*Row{}
	for _, rows := range cells {
		for _, row := range rows {
			mergedRow, known := merged[row.Line]
			if !known {
				mergedRow = &Row{Count: Count{Line: row.Line}}
				merged[row.Line] = mergedRow
			}
			mergedRow.Merge(row.Totals)
			mergedRow.Segments = append(mergedRow.Segments, row.Segments...)
		}
	}
	all := Audit{totals: merged}
	return all.Rows()
}

// DescribeSegments formats the segments in short form, such as "alfold/1-3,5".
func DescribeSegments(ids []ID) string {
	var parts []string
	for start := 0; start < len(ids); {
		end := start + 1
		for end < len(ids) && ids[end].Cell == ids[start].Cell {
			end++
		}
		parts = append(parts, ids[start].Cell+"/"+describeNumbers(ids[start:end]))
		start = end
	}
	return strings.Join(parts, " ")
}

func describeNumbers(ids []ID) string {
	var parts []string
	for start := 0; start < len(ids); {
		end := start
		for end+1 < len(ids) && ids[end+1].Number == ids[end].Number+1 {
			end++
		}
		part := fmt.Sprint(ids[start].Number)
		if end > start {
			part = fmt.Sprintf("%d-%d", ids[start].Number, ids[end].Number)
		}
		parts = append(parts, part)
		start = end + 1
	}
	return strings.Join(parts, ",")
}
