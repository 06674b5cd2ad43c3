package account

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotWriting reports a settled write where none was begun.
var ErrNotWriting = errors.New("no segment is being written")

// Next returns the segment to write now, and false if there is none. It returns the same
// segment until Written or Superseded is called.
func (c *Collector) Next(now time.Time) (Sealed, bool, error) {
	if c.writing != nil {
		return *c.writing, true, nil
	}
	c.markSilent(now)
	if !c.isDue(now) {
		return Sealed{}, false, nil
	}
	month, closes, ready := c.place(now)
	if !ready {
		return Sealed{}, false, nil
	}
	segment := c.build(month, now)
	segment.Closes = closes
	sealed, err := Seal(segment)
	if err != nil {
		return Sealed{}, false, err
	}
	c.writing = &sealed
	return sealed, true, nil
}

// Written tells that the segment returned by Next is in the store.
func (c *Collector) Written(now time.Time) error {
	if c.writing == nil {
		return ErrNotWriting
	}
	c.last, c.writing = c.writing, nil
	c.sealed = now
	for _, open := range c.last.Open {
		if m, known := c.members[open.Process]; known {
			m.stored = true
			m.open.Last = open.Last
			m.open.Until = open.Until
			m.open.Closed = m.open.Closed || open.Closed
		}
	}
	return nil
}

// Superseded tells that another collector wrote a segment under the number of the one
// returned by Next, and gives the cell's last segment. Reports not booked in it are
// forgotten; their nodes keep them and send them again.
func (c *Collector) Superseded(last Sealed, now time.Time) { c.continueAfter(&last, now) }

func (c *Collector) markSilent(now time.Time) {
	for _, m := range c.sortedMembers() {
		heard := m.open.Seen
		if heard.Before(c.started) {
			heard = c.started
		}
		if m.open.Closed || m.open.Silent || m.isFinal() || now.Sub(heard) < c.config.Silence {
			continue
		}
		m.open.Silent = true
		c.addGap(m, GapSilent)
	}
}

// isDue reports whether something waits to be booked and the interval has passed. What a
// stopping process reports is booked at once, and a new process is listed soon.
func (c *Collector) isDue(now time.Time) bool {
	waiting, joined := len(c.gaps) > 0, false
	for _, m := range c.members {
		if m.isFinal() {
			return true
		}
		waiting = waiting || len(m.pending) > 0
		joined = joined || !m.stored
	}
	since := now.Sub(c.sealed)
	return waiting && since >= c.config.Interval || joined && since >= joinDelay
}

// place returns the month of the next segment and whether the segment closes it. A month
// is closed when nothing of it waits and its grace has passed.
func (c *Collector) place(now time.Time) (month string, closes, ready bool) {
	earliest := c.earliestPending()
	switch {
	case c.last == nil && earliest == "":
		return MonthOf(now), false, true
	case c.last == nil:
		return earliest, false, true
	case c.last.Closes:
		return max(earliest, monthAfter(c.last.Month)), false, true
	case earliest <= c.last.Month:
		return c.last.Month, false, true
	}
	return c.last.Month, true, !now.Before(startOf(earliest).Add(MonthGrace))
}

// startOf returns the start of a month; a month that cannot be read starts at time zero.
func startOf(month string) time.Time {
	start, err := time.Parse(MonthFormat, month)
	if err != nil {
		return time.Time{}
	}
	return start
}

func monthAfter(month string) string { return MonthOf(startOf(month).AddDate(0, 1, 0)) }

func (c *Collector) earliestPending() string {
	earliest := ""
	for _, m := range c.members {
		if len(m.pending) == 0 {
			continue
		}
		if month := m.pending[0].month; earliest == "" || month < earliest {
			earliest = month
		}
	}
	return earliest
}

// build moves what waits for the month into a segment.
func (c *Collector) build(month string, now time.Time) Segment {
	s := Segment{ID: ID{Cell: c.config.Cell, Month: month, Number: 1}, Writer: c.config.Writer, At: now}
	if c.last != nil {
		link := c.last.Link()
		s.Previous = &link
		if c.last.Month == month {
			s.Number = c.last.Number + 1
		}
	}
	counts := Counts{}
	for _, m := range c.sortedMembers() {
		open := m.open
		m.book(&s, &open, counts)
		if !isOver(open, now) {
			s.Open = append(s.Open, open)
			continue
		}
		delete(c.members, open.Process)
	}
	s.Counts = counts.Sorted()
	s.Gaps, c.gaps = c.gaps, nil
	return s
}

// isOver reports whether a process is forgotten.
func isOver(open Open, now time.Time) bool {
	return (open.Closed || open.Silent) && now.Sub(open.Seen) >= Retention
}

// book moves the member's portions of the segment's month and of earlier ones into the
// segment, in order, as far as there is room.
func (m *member) book(s *Segment, open *Open, counts Counts) {
	for len(m.pending) > 0 {
		p := m.pending[0]
		if p.month > s.Month || len(counts) >= maxSegmentLines {
			return
		}
		m.pending = m.pending[1:]
		counts.Merge(p.counts.Sorted())
		p.span.Late = p.month < s.Month
		s.Spans = append(s.Spans, p.span)
		open.Last = p.span.Last
		open.Until = p.span.Until
		open.Closed = open.Closed || p.final
	}
}
