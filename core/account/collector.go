package account

import (
	"slices"
	"time"
)

const (
	// Retention is how long the account remembers a process after its last report.
	Retention = 7 * 24 * time.Hour
	// MonthGrace is how long a month's segments stay open for reports after its end.
	MonthGrace = 2 * time.Minute
	// maxPortionLines and maxSegmentLines keep a segment far below the store's largest value.
	maxPortionLines = 500
	maxSegmentLines = 1500
)

// Config is what a collector is told of its place.
type Config struct {
	Cell string
	// Writer is the process that the collector runs in.
	Writer Process
	// Interval is the time between two segments.
	Interval time.Duration
	// Silence is the time without a message after which a process counts as silent.
	Silence time.Duration
}

// joinDelay is how long a process may be unknown to the stored account. What a process
// counted is marked as a gap only if the account or the cell's record knew the process.
const joinDelay = 5 * time.Second

// Batch is one message of a node to its cell's collector.
type Batch struct {
	Process
	// Oldest is the number of the oldest report that the node still keeps, or the number
	// that its next report will have.
	Oldest  uint64
	Reports []Report
}

// Ack is the answer to a batch.
type Ack struct {
	// Accepted is the number of the last report that the collector has; the node sends
	// those that follow. Booked is the number of the last one in the store; the node may
	// drop it and all before it.
	Accepted, Booked uint64
}

// portion is what one process counted in one month and is not booked yet.
type portion struct {
	span   Span
	month  string
	counts Counts
	final  bool
}

// member is the collector's view of one process.
type member struct {
	open     Open
	accepted uint64
	pending  []*portion
	// stored tells that a segment in the store lists the process.
	stored bool
	// expected tells that the process was named by the record and has sent nothing yet.
	expected bool
}

// Collector books the reports of one cell. It decides only: its owner writes the segments
// that Next returns, each under its own key if no object has that key yet, and tells what
// came of it. Two collectors may run at once: of two segments with one number only one
// gets written, and the loser starts again from it.
type Collector struct {
	config  Config
	started time.Time
	last    *Sealed
	sealed  time.Time
	members map[Process]*member
	gaps    []Gap
	writing *Sealed
}

// NewCollector returns a collector that continues after the cell's last segment, which is
// nil if the cell has none.
func NewCollector(config Config, last *Sealed, now time.Time) *Collector {
	c := &Collector{config: config, started: now}
	c.continueAfter(last, now)
	return c
}

func (c *Collector) continueAfter(last *Sealed, now time.Time) {
	c.last = last
	c.sealed = now
	c.writing = nil
	c.gaps = nil
	c.members = map[Process]*member{}
	if last == nil {
		return
	}
	for _, open := range last.Open {
		c.members[open.Process] = &member{open: open, accepted: open.Last, stored: true}
	}
}

// Last returns the last segment known to be in the store.
func (c *Collector) Last() (ID, bool) {
	if c.last == nil {
		return ID{}, false
	}
	return c.last.ID, true
}

// Offer takes a node's message.
func (c *Collector) Offer(b Batch, now time.Time) Ack {
	m, known := c.members[b.Process]
	if !known {
		b.dropForgotten(now)
		m = &member{open: Open{Process: b.Process, Until: now}}
		c.members[b.Process] = m
	}
	if !known || m.expected {
		c.endFormer(b.Process, now)
		m.expected = false
	}
	m.open.Seen = now
	m.open.Silent = false
	c.markMissing(m, b)
	for _, report := range b.Reports {
		m.accept(report)
	}
	return Ack{Accepted: m.accepted, Booked: m.open.Last}
}

// Expect lists a process that the cell's record names, so that one which was lost before any
// segment listed it is marked as a gap.
func (c *Collector) Expect(p Process, now time.Time) {
	if _, known := c.members[p]; known {
		return
	}
	c.members[p] = &member{open: Open{Process: p, Until: now, Seen: now}, expected: true}
}

// dropForgotten removes the reports of an unknown process that may have been booked before
// the account forgot the process.
func (b *Batch) dropForgotten(now time.Time) {
	for len(b.Reports) > 0 && now.Sub(b.Reports[0].Until) >= Retention {
		b.Oldest = b.Reports[0].Number + 1
		b.Reports = b.Reports[1:]
	}
}

// endFormer marks a gap for the former processes of a node that runs again.
func (c *Collector) endFormer(process Process, now time.Time) {
	for _, m := range c.sortedMembers() {
		if m.open.Node != process.Node || m.open.Process == process || m.open.Closed || m.isFinal() {
			continue
		}
		if !m.open.Silent {
			c.addGap(m, GapRestarted)
		}
		m.open.Closed = true
		m.open.Seen = now
	}
}

// markMissing marks a gap for reports that the node has dropped although neither this
// collector nor the last segment has them.
func (c *Collector) markMissing(m *member, b Batch) {
	if b.Oldest <= m.accepted+1 {
		return
	}
	c.addGap(m, GapMissing)
	c.gaps[len(c.gaps)-1].Before = b.Oldest
	m.accepted = b.Oldest - 1
}

func (c *Collector) addGap(m *member, reason GapReason) {
	since := m.open.Until
	if n := len(m.pending); n > 0 {
		since = m.pending[n-1].span.Until
	}
	c.gaps = append(c.gaps, Gap{Process: m.open.Process, After: m.accepted, Since: since, Seen: m.open.Seen, Reason: reason})
}

func (m *member) isFinal() bool {
	n := len(m.pending)
	return n > 0 && m.pending[n-1].final
}

// accept adds the next report; it ignores others, which came before or will come again.
func (m *member) accept(r Report) {
	if r.Number != m.accepted+1 || r.Process != m.open.Process {
		return
	}
	m.accepted = r.Number
	p := m.portionFor(r)
	p.counts.Merge(r.Counts)
	p.span.Last = r.Number
	p.span.Until = r.Until
	p.final = r.Final
}

func (m *member) portionFor(r Report) *portion {
	if n := len(m.pending); n > 0 {
		p := m.pending[n-1]
		if p.month == r.Month() && p.span.Last+1 == r.Number && len(p.counts) < maxPortionLines {
			return p
		}
	}
	span := Span{Process: r.Process, First: r.Number, Since: r.Since}
	p := &portion{span: span, month: r.Month(), counts: Counts{}}
	m.pending = append(m.pending, p)
	return p
}

func (c *Collector) sortedMembers() []*member {
	sorted := make([]*member, 0, len(c.members))
	for _, m := range c.members {
		sorted = append(sorted, m)
	}
	slices.SortFunc(sorted, func(a, b *member) int { return compareProcesses(a.open.Process, b.open.Process) })
	return sorted
}
