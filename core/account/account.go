// Package account implements the monthly account of request outcomes.
//
// Nodes count the outcomes of callers' requests and put the counts into numbered reports.
// The controller of a cell books the reports of its nodes in segments, which are numbered
// and linked by digests. A node keeps a report until the segment that books it is in the
// store. Each segment lists the last report of every process that it and all earlier
// segments booked, so a report that is sent again, to the same controller or another one,
// is booked once.
//
// Counts lost when a process ended are recorded as a gap and never estimated.
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

// Line identifies the requests that are counted together: those to one range as defined by
// one line of one version of the sheet.
type Line struct {
	Service string           `json:"service"`
	Range   keyspace.RangeID `json:"range"`
	// From and To are the bounds of the range.
	From string `json:"from"`
	To   string `json:"to"`
	// Sheet is the version of the sheet, and SheetLine the line number in it, counted from one.
	Sheet     int64 `json:"sheet"`
	SheetLine int   `json:"sheet_line"`
}

// LineOf returns the account line of a range in a version of the sheet.
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

// Totals holds the number of requests by outcome.
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

// Merge adds the totals of o to t.
func (t *Totals) Merge(o Totals) {
	t.Answered += o.Answered
	t.NotRun += o.NotRun
	t.Unknown += o.Unknown
}

// Requests returns the total number of requests.
func (t Totals) Requests() int64 { return t.Answered + t.NotRun + t.Unknown }

// Count holds the totals of one line.
type Count struct {
	Line
	Totals
}

// Counts holds totals by line.
type Counts map[Line]Totals

// Merge adds the counts of o to c.
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

// Process identifies one run of a node.
type Process struct {
	Node string `json:"node"`
	// Incarnation is a new number each time the node starts.
	Incarnation uint64 `json:"incarnation"`
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Report holds the counts of one process for one period.
type Report struct {
	Process
	// Number is the sequence number of the report within the process, starting at one.
	Number uint64 `json:"number"`
	// Since and Until are the bounds of the period by the node's wall clock. A period does not
	// cross the end of a month.
	Since  time.Time `json:"since"`
	Until  time.Time `json:"until"`
	Counts []Count   `json:"counts"`
	// Final is set on the last report of a process that stops.
	Final bool `json:"final"`
}

// Month returns the month of the report's period.
func (r Report) Month() string { return MonthOf(r.Since) }
