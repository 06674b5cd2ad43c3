package account

import (
	"slices"
	"time"
)

const (
	// Retention is how long segments list a process after its last message.
	Retention = 7 * 24 * time.Hour
	// MonthGrace is how long after its end a month stays open for late reports.
	MonthGrace = 2 * time.Minute
	// maxPortionLines and maxSegmentLines limit the number of lines after which no more reports
	// are added. They keep a segment far below the maximum size of a stored value.
	maxPortionLines = 500
	maxSegmentLines = 1500
)

// Config holds the settings of a Collector.
type Config struct {
	Cell string
	// Writer is the process that the collector runs in.
	Writer Process
	// Interval is the time between two segments.
	Interval time.Duration
	// SilenceTimeout is the time without a message after which a process counts as lost and a
	// gap is recorded.
	SilenceTimeout time.Duration
}

// joinDelay is the time after which a new process must be listed in a stored segment. If a
// process is lost before the stored account or the cell's record lists it, its counts are lost
// without a gap.
const joinDelay = 5 * time.Second

// Batch is a message from a node to its cell's collector.
type Batch struct {
	Process
	// Oldest is the number of the oldest report that the node still keeps, or the number
	// that its next report will have.
	Oldest  uint64
	Reports []Report
}

// Ack is the answer to a batch.
type Ack struct {
	// Accepted is the number of the last report that the collector has received. The node
	// continues with the next one. Booked is the number of the last report booked in a stored
	// segment. The node may drop it and all earlier ones.
	Accepted, Booked uint64
}

// portion holds the counts of consecutive reports of one process and month that are not booked
// yet.
type portion struct {
	span   Span
	month  string
	counts Counts
	final  bool
}

// trackedProcess is the collector's view of one process.
type trackedProcess struct {
	state    ProcessState
	accepted uint64
	pending  []*portion
	// stored is set if a stored segment lists the process.
	stored bool
	// expected is set while a process that the cell's record lists has sent no message.
	expected bool
}

// Collector books the reports of one cell. It performs no I/O: its user writes each segment
// that Next returns under the segment's key, provided that the key does not exist yet, and
// reports the result with Written or Superseded. Several collectors may run at the same time.
// Only one segment with a given number gets written, and the other collectors restart from it.
type Collector struct {
	config       Config
	started      time.Time
	last         *Sealed
	lastSealedAt time.Time
	processes    map[Process]*trackedProcess
	gaps         []Gap
	writing      *Sealed
}

// NewCollector returns a collector that continues after the cell's last segment, which is
// nil if the cell has none.
func NewCollector(config Config, last *Sealed, now time.Time) *Collector {
	c := &Collector{config: config, started: now}
	c.restartFrom(last, now)
	return c
}

func (c *Collector) restartFrom(last *Sealed, now time.Time) {
	c.last = last
	c.lastSealedAt = now
	c.writing = nil
	c.gaps = nil
	c.processes = map[Process]*trackedProcess{}
	if last == nil {
		return
	}
	for _, open := range last.Open {
		c.processes[open.Process] = &trackedProcess{state: open, accepted: open.Last, stored: true}
	}
}

// Last returns the last segment known to be in the store.
func (c *Collector) Last() (ID, bool) {
	if c.last == nil {
		return ID{}, false
	}
	return c.last.ID, true
}

// Offer accepts a message of a node and returns the acknowledgement.
func (c *Collector) Offer(b Batch, now time.Time) Ack {
	t, known := c.processes[b.Process]
	if !known {
		b.dropExpired(now)
		t = &trackedProcess{state: ProcessState{Process: b.Process, Until: now}}
		c.processes[b.Process] = t
	}
	if !known || t.expected {
		c.closePrevious(b.Process, now)
		t.expected = false
	}
	t.state.Seen = now
	t.state.Silent = false
	c.recordMissing(t, b)
	for _, report := range b.Reports {
		t.accept(report)
	}
	return Ack{Accepted: t.accepted, Booked: t.state.Last}
}

// Expect adds a process that the cell's record lists, so that a gap is recorded even if the
// process is lost before any segment lists it.
func (c *Collector) Expect(p Process, now time.Time) {
	if _, known := c.processes[p]; known {
		return
	}
	c.processes[p] = &trackedProcess{state: ProcessState{Process: p, Until: now, Seen: now}, expected: true}
}

// dropExpired removes the reports of an unknown process that are older than Retention. They
// may have been booked before the process was removed from the segments.
func (b *Batch) dropExpired(now time.Time) {
	for len(b.Reports) > 0 && now.Sub(b.Reports[0].Until) >= Retention {
		b.Oldest = b.Reports[0].Number + 1
		b.Reports = b.Reports[1:]
	}
}

// closePrevious closes the previous processes of a node that has restarted and records a gap for
// them.
func (c *Collector) closePrevious(process Process, now time.Time) {
	for _, t := range c.sortedProcesses() {
		if t.state.Node != process.Node || t.state.Process == process || t.state.Closed || t.isFinal() {
			continue
		}
		if !t.state.Silent {
			c.addGap(t, GapRestarted)
		}
		t.state.Closed = true
		t.state.Seen = now
	}
}

// recordMissing records a gap for reports that the node has dropped although neither this
// collector nor the last segment contains them.
func (c *Collector) recordMissing(t *trackedProcess, b Batch) {
	if b.Oldest <= t.accepted+1 {
		return
	}
	c.addGap(t, GapMissing)
	c.gaps[len(c.gaps)-1].Before = b.Oldest
	t.accepted = b.Oldest - 1
}

func (c *Collector) addGap(t *trackedProcess, reason GapReason) {
	since := t.state.Until
	if n := len(t.pending); n > 0 {
		since = t.pending[n-1].span.Until
	}
	c.gaps = append(c.gaps, Gap{Process: t.state.Process, After: t.accepted, Since: since, Seen: t.state.Seen, Reason: reason})
}

func (t *trackedProcess) isFinal() bool {
	n := len(t.pending)
	return n > 0 && t.pending[n-1].final
}

// accept adds the report if its number is the next one. It ignores duplicates and reports
// after a missing one; the node sends those again.
func (t *trackedProcess) accept(r Report) {
	if r.Number != t.accepted+1 || r.Process != t.state.Process {
		return
	}
	t.accepted = r.Number
	p := t.portionFor(r)
	p.counts.Merge(r.Counts)
	p.span.Last = r.Number
	p.span.Until = r.Until
	p.final = r.Final
}

func (t *trackedProcess) portionFor(r Report) *portion {
	if n := len(t.pending); n > 0 {
		p := t.pending[n-1]
		if p.month == r.Month() && p.span.Last+1 == r.Number && len(p.counts) < maxPortionLines {
			return p
		}
	}
	span := Span{Process: r.Process, First: r.Number, Since: r.Since}
	p := &portion{span: span, month: r.Month(), counts: Counts{}}
	t.pending = append(t.pending, p)
	return p
}

func (c *Collector) sortedProcesses() []*trackedProcess {
	sorted := make([]*trackedProcess, 0, len(c.processes))
	for _, t := range c.processes {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *trackedProcess) int { return compareProcesses(a.state.Process, b.state.Process) })
	return sorted
}
