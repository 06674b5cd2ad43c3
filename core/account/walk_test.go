package account

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// walk is a randomized simulation: nodes count, report, restart and fail, and two collectors
// compete, with a store that loses responses and delays writes.
type walk struct {
	*testing.T
	random     *rand.Rand
	now        time.Time
	store      map[string][]byte
	delayed    []Sealed
	nodes      []*walkNode
	collectors []*Collector
	// executed is the number of requests that the targets executed.
	executed int64
	// ended holds the unbooked counts of the processes that ended.
	ended map[Process]unbookedCounts
	// listed holds the processes that a stored segment lists.
	listed          map[Process]bool
	newest          *Sealed
	nextIncarnation uint64
}

type walkNode struct {
	name      string
	reporter  *Reporter
	counts    Counts
	collector int
}

// unbookedCounts holds the unbooked reports of an ended process and the counts of its last period.
type unbookedCounts struct {
	reports       []Report
	currentPeriod Counts
}

// lost returns the number of requests counted after the last booked report.
func (r unbookedCounts) lost(booked uint64) int64 {
	all := Counts{}
	all.Merge(r.currentPeriod.Sorted())
	for _, report := range r.reports {
		if report.Number > booked {
			all.Merge(report.Counts)
		}
	}
	var sum int64
	for _, totals := range all {
		sum += totals.Requests()
	}
	return sum
}

func newWalk(t *testing.T, seed uint64) *walk {
	w := &walk{T: t, random: rand.New(rand.NewPCG(seed, 1)), store: map[string][]byte{}, ended: map[Process]unbookedCounts{}, listed: map[Process]bool{}}
	w.now = time.Date(2026, 11, 30, 23, 30, 0, 0, time.UTC)
	for i := range 3 {
		w.nodes = append(w.nodes, w.start(fmt.Sprintf("vm-%d", i)))
	}
	w.collectors = []*Collector{w.newCollector(), w.newCollector()}
	return w
}

func (w *walk) start(name string) *walkNode {
	w.nextIncarnation++
	return &walkNode{name: name, reporter: NewReporter(Process{name, w.nextIncarnation}, w.now), counts: Counts{}}
}

func (w *walk) newCollector() *Collector {
	config := Config{Cell: "c", Writer: Process{"w", w.nextIncarnation}, Interval: time.Minute, SilenceTimeout: 5 * time.Minute}
	return NewCollector(config, w.newest, w.now)
}

func (w *walk) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
	i := w.random.IntN(len(w.nodes))
	node := w.nodes[i]
	switch n := w.random.IntN(200); {
	case n < 2:
		w.restart(i)
	case n < 4:
		w.collectors[w.random.IntN(2)] = w.newCollector()
	case n < 40:
		w.write(w.collectors[w.random.IntN(2)])
	case n < 46:
		w.completeDelayedWrite()
	case n < 100:
		w.send(node, w.random.IntN(10) == 0)
	case n < 125:
		w.endPeriod(node, false)
	default:
		node.counts.Merge([]Count{{Line: Line{Service: "booking", Sheet: 7, SheetLine: 2}, Totals: Totals{Answered: 1}}})
		w.executed++
	}
}

func (w *walk) endPeriod(node *walkNode, final bool) {
	if !final && !node.reporter.MayEndPeriod(w.now) {
		return
	}
	node.reporter.EndPeriod(node.counts.Sorted(), w.now, final)
	node.counts = Counts{}
}

// restart ends a node, in half of the cases without a final report, and starts it again.
func (w *walk) restart(i int) {
	node := w.nodes[i]
	if w.random.IntN(2) == 0 {
		w.endPeriod(node, true)
		for range 100 {
			if node.reporter.AllBooked() {
				break
			}
			w.now = w.now.Add(time.Second)
			w.send(node, false)
			w.write(w.collectors[0])
			w.write(w.collectors[1])
		}
	}
	w.ended[node.reporter.process] = unbookedCounts{reports: node.reporter.unbooked, currentPeriod: node.counts}
	w.nodes[i] = w.start(node.name)
}

// send delivers a message. It sometimes switches to the other collector or drops the response,
// and delivers the message to both collectors if duplicate is set.
func (w *walk) send(node *walkNode, duplicate bool) {
	if w.random.IntN(10) == 0 {
		node.collector = 1 - node.collector
	}
	batch := node.reporter.Batch()
	ack := w.collectors[node.collector].Offer(batch, w.now)
	if duplicate {
		w.collectors[1-node.collector].Offer(batch, w.now)
	}
	if w.random.IntN(8) != 0 {
		node.reporter.Acknowledge(ack)
	}
}

// write performs the collector's next write: successfully, with a lost response, or delayed.
func (w *walk) write(c *Collector) {
	sealed, due, err := c.Next(w.now)
	if err != nil {
		w.Fatal(err)
	}
	if !due {
		return
	}
	switch w.random.IntN(6) {
	case 0:
		w.delayed = append(w.delayed, sealed)
		return
	case 1:
		w.put(sealed)
		return
	}
	if w.put(sealed) {
		if err := c.Written(w.now); err != nil {
			w.Fatal(err)
		}
		return
	}
	c.Superseded(*w.newest, w.now)
}

// put writes the segment if its key does not exist. It reports whether the store then holds
// this segment.
func (w *walk) put(s Sealed) bool {
	if value, taken := w.store[s.Key()]; taken {
		return string(value) == string(s.Value)
	}
	w.store[s.Key()] = s.Value
	w.newest = &s
	for _, open := range s.Open {
		w.listed[open.Process] = true
	}
	return true
}

// completeDelayedWrite executes the oldest delayed write.
func (w *walk) completeDelayedWrite() {
	if len(w.delayed) > 0 {
		w.put(w.delayed[0])
		w.delayed = w.delayed[1:]
	}
}

// audit returns the number of requests booked, the last booked report of each process, and the
// processes with gaps.
func (w *walk) audit() (requests int64, booked map[Process]uint64, gaps map[Process]bool) {
	booked, gaps = map[Process]uint64{}, map[Process]bool{}
	var previous *Sealed
	for _, month := range []string{"2026-11", "2026-12"} {
		a := NewAudit("c", month, previous)
		for n := uint64(1); ; n++ {
			value, ok := w.store[ID{"c", month, n}.Key()]
			if !ok {
				break
			}
			a.Add(n, value)
		}
		for _, fault := range a.Faults() {
			w.Errorf("%s", fault)
		}
		for process, booking := range a.booked {
			booked[process] = booking.last
		}
		for _, row := range a.Rows() {
			requests += row.Requests()
		}
		for _, gap := range a.Gaps() {
			gaps[gap.Process] = true
		}
		previous = a.Last()
	}
	return requests, booked, gaps
}

func TestWalkBooksEveryCountOnce(t *testing.T) {
	const seeds = 30
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runWalk(t, uint64(seed)) })
	}
}

func runWalk(t *testing.T, seed uint64) {
	w := newWalk(t, seed)
	for range 2000 {
		w.step()
	}
	w.settle()
	requests, booked, gaps := w.audit()
	var lost int64
	for process, unbookedCounts := range w.ended {
		n := unbookedCounts.lost(booked[process])
		lost += n
		if n > 0 && w.listed[process] && !gaps[process] {
			t.Errorf("seed %d: %v lost %d counts without a gap", seed, process, n)
		}
	}
	if requests+lost != w.executed {
		t.Errorf("seed %d: %d requests executed, but %d booked and %d lost", seed, w.executed, requests, lost)
	}
}

// settle executes all delayed writes and lets every running node report all its counts.
func (w *walk) settle() {
	for len(w.delayed) > 0 {
		w.completeDelayedWrite()
	}
	for range 120 {
		w.now = w.now.Add(10 * time.Second)
		for _, node := range w.nodes {
			w.endPeriod(node, false)
			w.send(node, false)
		}
		w.write(w.collectors[0])
		w.write(w.collectors[1])
	}
	for _, node := range w.nodes {
		if !node.reporter.AllBooked() {
			w.Errorf("%s: some reports were never booked", node.name)
		}
	}
}

func TestTotalsAdd(t *testing.T) {
	var totals Totals
	totals.Add(outcome.Answered)
	totals.Add(outcome.NotRun)
	totals.Add(outcome.Unknown)
	if totals != (Totals{Answered: 1, NotRun: 1, Unknown: 1}) || totals.Requests() != 3 {
		t.Errorf("got %+v", totals)
	}
}
