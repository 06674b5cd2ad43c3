package account

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotWriting reports a call of Written without a segment returned by Next.
var ErrNotWriting = errors.New("no segment is being written")

// Next returns the segment to write now, or false if there is none. It returns the same segment
// until Written or Superseded is called. The error is that of encoding the segment.
func (c *Collector) Next(now time.Time) (Sealed, bool, error) {
	if c.writing != nil {
		return *c.writing, true, nil
	}
	c.recordSilent(now)
	if !c.isDue(now) {
		return Sealed{}, false, nil
	}
	month, closes, ready := c.nextMonth(now)
	if !ready {
		return Sealed{}, false, nil
	}
	segment := c.buildSegment(month, now)
	segment.Closes = closes
	sealed, err := Seal(segment)
	if err != nil {
		return Sealed{}, false, err
	}
	c.writing = &sealed
	return sealed, true, nil
}

// Written records that the segment returned by Next is in the store. It returns ErrNotWriting
// if no write is pending.
func (c *Collector) Written(now time.Time) error {
	if c.writing == nil {
		return ErrNotWriting
	}
	c.last, c.writing = c.writing, nil
	c.lastSealedAt = now
	for _, open := range c.last.Open {
		if t, known := c.processes[open.Process]; known {
			t.stored = true
			t.state.Last = open.Last
			t.state.Until = open.Until
			t.state.Closed = t.state.Closed || open.Closed
		}
	}
	return nil
}

// Superseded records that another collector wrote a segment with the number of the one returned
// by Next. last is the cell's last segment. Reports that are not booked are discarded; their
// nodes still have them and send them again.
func (c *Collector) Superseded(last Sealed, now time.Time) { c.restartFrom(&last, now) }

func (c *Collector) recordSilent(now time.Time) {
	for _, t := range c.sortedProcesses() {
		lastSeen := t.state.Seen
		if lastSeen.Before(c.started) {
			lastSeen = c.started
		}
		if t.state.Closed || t.state.Silent || t.isFinal() || now.Sub(lastSeen) < c.config.SilenceTimeout {
			continue
		}
		t.state.Silent = true
		c.addGap(t, GapSilent)
	}
}

// isDue reports whether a segment is due: after the interval if reports or gaps are pending,
// after joinDelay if a process is not listed in a stored segment, and immediately if a process
// sent its final report.
func (c *Collector) isDue(now time.Time) bool {
	waiting, joined := len(c.gaps) > 0, false
	for _, t := range c.processes {
		if t.isFinal() {
			return true
		}
		waiting = waiting || len(t.pending) > 0
		joined = joined || !t.stored
	}
	since := now.Sub(c.lastSealedAt)
	return waiting && since >= c.config.Interval || joined && since >= joinDelay
}

// nextMonth returns the month of the next segment, whether the segment closes that month, and
// whether it may be written now. A month is closed when none of its reports are pending, later
// ones are, and MonthGrace has passed.
func (c *Collector) nextMonth(now time.Time) (month string, closes, ready bool) {
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
	return c.last.Month, true, !now.Before(monthStart(earliest).Add(MonthGrace))
}

// monthStart returns the start of a month, or the zero time if the month is malformed.
func monthStart(month string) time.Time {
	start, err := time.Parse(MonthFormat, month)
	if err != nil {
		return time.Time{}
	}
	return start
}

func monthAfter(month string) string { return MonthOf(monthStart(month).AddDate(0, 1, 0)) }

func (c *Collector) earliestPending() string {
	earliest := ""
	for _, t := range c.processes {
		if len(t.pending) == 0 {
			continue
		}
		if month := t.pending[0].month; earliest == "" || month < earliest {
			earliest = month
		}
	}
	return earliest
}

// buildSegment moves the pending reports of the month and of earlier ones into a segment.
func (c *Collector) buildSegment(month string, now time.Time) Segment {
	s := Segment{ID: ID{Cell: c.config.Cell, Month: month, Number: 1}, Writer: c.config.Writer, At: now}
	if c.last != nil {
		link := c.last.Link()
		s.Previous = &link
		if c.last.Month == month {
			s.Number = c.last.Number + 1
		}
	}
	counts := Counts{}
	for _, t := range c.sortedProcesses() {
		open := t.state
		t.book(&s, &open, counts)
		if !isExpired(open, now) {
			s.Open = append(s.Open, open)
			continue
		}
		delete(c.processes, open.Process)
	}
	s.Counts = counts.Sorted()
	s.Gaps, c.gaps = c.gaps, nil
	return s
}

// isExpired reports whether a process has ended or is silent and its retention has passed.
func isExpired(open ProcessState, now time.Time) bool {
	return (open.Closed || open.Silent) && now.Sub(open.Seen) >= Retention
}

// book moves the process's portions of the segment's month and of earlier ones into the segment,
// in order, until the segment is full.
func (t *trackedProcess) book(s *Segment, open *ProcessState, counts Counts) {
	for len(t.pending) > 0 {
		p := t.pending[0]
		if p.month > s.Month || len(counts) >= maxSegmentLines {
			return
		}
		t.pending = t.pending[1:]
		counts.Merge(p.counts.Sorted())
		p.span.Late = p.month < s.Month
		s.Spans = append(s.Spans, p.span)
		open.Last = p.span.Last
		open.Until = p.span.Until
		open.Closed = open.Closed || p.final
	}
}
