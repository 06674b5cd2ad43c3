// Package account keeps the monthly account of outcomes.
//
// Nodes count the outcomes of callers' requests and seal the counts into numbered
// reports. The controller of their cell books the reports in segments, which are numbered
// and linked by digests. A report stays with its node until the segment that books it is
// in the store; each segment says which reports of which process it and all former ones
// booked. So a report sent again, by the same or to another controller, is booked once.
//
// Counts that died with a process are shown as a gap and never estimated.
package account

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// MonthFormat is the layout of a month, as for time.Format.
const MonthFormat = "2006-01"

// MonthOf returns the month of a time, in UTC.
func MonthOf(t time.Time) string { return t.UTC().Format(MonthFormat) }

// Line identifies what is counted together: one range as one line of one sheet says it.
type Line struct {
	Service string           `json:"service"`
	Range   keyspace.RangeID `json:"range"`
	// From and To are the bounds of the range.
	From string `json:"from"`
	To   string `json:"to"`
	// Sheet is the version of the sheet, SheetLine the line in it, counted from one.
	Sheet     int64 `json:"sheet"`
	SheetLine int   `json:"sheet_line"`
}

// LineOf returns the line of a range under a version of the sheet.
func LineOf(r keyspace.Range, id keyspace.RangeID, sheet int64) Line {
	return Line{Service: r.Service, Range: id, From: r.From, To: r.To, Sheet: sheet, SheetLine: r.Line}
}

func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.From, b.From),
		cmp.Compare(a.Sheet, b.Sheet),
		cmp.Compare(a.SheetLine, b.SheetLine),
		cmp.Compare(a.Range, b.Range),
	)
}

// Totals are counts of outcomes.
type Totals struct {
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
}

// Add adds one outcome.
func (t *Totals) Add(o outcome.Outcome) {
	switch o {
	case outcome.Answered:
		t.Answered++
	case outcome.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
}

// Merge adds the totals of o.
func (t *Totals) Merge(o Totals) {
	t.Answered += o.Answered
	t.NotRun += o.NotRun
	t.Unknown += o.Unknown
}

// Requests returns the number of requests counted.
func (t Totals) Requests() int64 { return t.Answered + t.NotRun + t.Unknown }

// Count is the totals of one line.
type Count struct {
	Line
	Totals
}

// Counts holds totals by line.
type Counts map[Line]Totals

// Merge adds all counts of o.
func (c Counts) Merge(o []Count) {
	for _, count := range o {
		totals := c[count.Line]
		totals.Merge(count.Totals)
		c[count.Line] = totals
	}
}

// Sorted returns the counts ordered by service, first key and sheet.
func (c Counts) Sorted() []Count {
	sorted := make([]Count, 0, len(c))
	for line, totals := range c {
		sorted = append(sorted, Count{Line: line, Totals: totals})
	}
	slices.SortFunc(sorted, func(a, b Count) int { return compareLines(a.Line, b.Line) })
	return sorted
}

// Process is one run of a node.
type Process struct {
	Node string `json:"node"`
	// Incarnation is drawn anew each time the node starts.
	Incarnation uint64 `json:"incarnation"`
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Report is what one process counted in one period.
type Report struct {
	Process
	// Number counts the reports of the process from one.
	Number uint64 `json:"number"`
	// Since and Until bound the period by the node's wall clock. A period lies in one month.
	Since  time.Time `json:"since"`
	Until  time.Time `json:"until"`
	Counts []Count   `json:"counts"`
	// Final tells that the process stops and counts nothing after this report.
	Final bool `json:"final"`
}

// Month returns the month of the report's period.
func (r Report) Month() string { return MonthOf(r.Since) }
