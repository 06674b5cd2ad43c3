package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// world simulates several machines, their targets and a store on one simulated clock. It
// checks after each step that no slice has two holders, that fences increase, that the record
// does not go back, and that no node goes back to an older sheet or route table.
type world struct {
	// abandons enables the request sides to give up slices for suspect targets.
	abandons   bool
	rng        *rand.Rand
	now        time.Duration
	queue      eventHeap
	eventCount uint64
	nodes      map[string]*simNode
	names      []string
	store      simStore
	guards     guards
	timing     Timing
	holders    map[keyspace.SliceID]simLease
	fences     map[keyspace.SliceID]fence.Fence
	running    map[keyspace.SliceID]simRun
	sheets     []*keyspace.Layout
	cut        map[[2]string]bool
	faults     faultRates
	holdHook   func(from, to, kind string) (hold bool)
	held       []heldMessage
	violations []string
	log        []string
}

// faultRates holds the probabilities of random faults, and the durations and load of requests.
type faultRates struct {
	lose, late, duplicate    float64
	slowWrite, loseWrite     float64
	staleSheet, pauseAtWrite float64
	// runFor is how long requests run on targets; zero means that there are none.
	runFor time.Duration
	// load is the probability that a node reports load at a tick.
	load float64
	// drainFor is the minimum duration of a drain.
	drainFor time.Duration
}

// simLease is the newest lease on a slice; until is simulated time.
type simLease struct {
	node  Node
	fence fence.Fence
	until time.Duration
}

// simRun is a request that a target executes.
type simRun struct {
	node   string
	checks bool
	until  time.Duration
}

type simNode struct {
	name, domain, cell string
	machine            *Machine
	incarnation        uint64
	rate               float64
	pausedUntil        time.Duration
	target             Target
	// lastNotSuspectAt is when the target was last not suspect.
	lastNotSuspectAt time.Duration
	targetAlive      bool
	watching         bool
	seenCells        int64
	sheet            int64
	table            TableVersion
	left             bool
}

type simObject struct {
	version int64
	writeID string
	rec     *Record
}

type simStore struct {
	version int64
	objects map[string]simObject
	down    bool
	writes  int
	reads   int
}

type heldMessage struct {
	what string
	run  func()
}

type simEvent struct {
	at  time.Duration
	n   uint64
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].n < h[j].n)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*simNode), timing: DefaultTiming(),
		store:   simStore{objects: make(map[string]simObject)},
		holders: make(map[keyspace.SliceID]simLease), fences: make(map[keyspace.SliceID]fence.Fence),
		running: make(map[keyspace.SliceID]simRun), cut: make(map[[2]string]bool),
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.queue, simEvent{at: w.now + d, n: w.eventCount, run: run})
}

// run executes the queued events up to the given time or the first violation.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
	w.now = max(w.now, until)
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) addNode(name, domain, cellName string, rate float64, checks bool) {
	n := &simNode{name: name, domain: domain, cell: cellName, rate: rate, targetAlive: true}
	n.target = Target{State: TargetReady, Incarnation: 1, Slots: 6, ChecksFences: checks, Address: name + ":target"}
	w.nodes[name] = n
	w.names = append(w.names, name)
	w.start(n)
}

// start starts a new process on the node's VM.
func (w *world) start(n *simNode) {
	n.incarnation++
	n.pausedUntil = 0
	n.watching = false
	n.sheet, n.table = 0, TableVersion{}
	n.seenCells = 0
	self := Member{
		Node: Node{n.name, n.incarnation}, Address: n.name, EntryAddress: n.name + ":entry", Region: n.cell,
		FailureDomain: n.domain, Target: n.target,
	}
	n.machine = New(Config{Cell: n.cell, Self: self, Timing: w.timing})
	n.machine.guards = w.guards
	n.machine.target = n.target
	w.logf("%s starts as incarnation %d", n.name, n.incarnation)
	w.tickLoop(n, n.incarnation)
}

func (w *world) tickLoop(n *simNode, inc uint64) {
	if n.incarnation != inc || n.machine == nil {
		return
	}
	if w.now >= n.pausedUntil {
		w.recordNotSuspect(n)
		w.step(n, inc, TargetReported{Target: n.target, Loads: w.loads(n)})
		w.step(n, inc, Tick{})
		w.startRuns(n)
	}
	w.after(TickInterval, func() { w.tickLoop(n, inc) })
}

// kill ends the node's process and, if withTarget, its target's.
func (w *world) kill(n *simNode, withTarget bool) {
	n.machine = nil
	for id, h := range w.holders {
		if h.node.Name == n.name {
			delete(w.holders, id)
		}
	}
	w.logf("%s is killed, its target too: %v", n.name, withTarget)
	if withTarget {
		w.killTarget(n)
	}
}

func (w *world) killTarget(n *simNode) {
	n.targetAlive = false
	n.target.State = TargetAbsent
	for id, r := range w.running {
		if r.node == n.name {
			delete(w.running, id)
		}
	}
}

func (w *world) startTarget(n *simNode) {
	if !n.targetAlive {
		n.targetAlive = true
		n.target.Incarnation++
		n.target.State = TargetReady
	}
}

// clock returns the reading of the node's boot-time clock at simulated time t.
func (n *simNode) clock(t time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(t)*n.rate)
}

// simTime converts a reading of the node's clock to simulated time.
func (n *simNode) simTime(c time.Duration) time.Duration {
	return time.Duration(float64(c-time.Hour) / n.rate)
}

// step feeds an event to the process; if it is paused, after the pause.
func (w *world) step(n *simNode, inc uint64, e Event) {
	if n.machine == nil || n.incarnation != inc || len(w.violations) > 0 {
		return
	}
	if w.now < n.pausedUntil {
		w.after(n.pausedUntil-w.now, func() { w.step(n, inc, e) })
		return
	}
	if d, ok := e.(SliceDrained); ok && n.machine.draining(d) {
		w.recordEnd(n, d.Slice)
	}
	for _, effect := range n.machine.Step(n.clock(w.now), e) {
		w.execute(n, inc, effect)
	}
	w.checkNode(n)
}

// draining reports whether the machine is waiting for the end of this drain.
func (m *Machine) draining(d SliceDrained) bool {
	return m.holder.draining[d.Slice].number == d.Number
}

func (w *world) checkNode(n *simNode) {
	v := n.machine.View()
	if v.Sheet != nil {
		if v.Sheet.Version < n.sheet {
			w.violate("%s goes back from sheet %d to %d", n.name, n.sheet, v.Sheet.Version)
		}
		n.sheet = v.Sheet.Version
	}
	if v.Table != nil {
		if v.Table.Version.Less(n.table) {
			w.violate("%s goes back to an older route table", n.name)
		}
		n.table = v.Table.Version
	}
}

func (w *world) execute(n *simNode, inc uint64, effect Effect) {
	switch e := effect.(type) {
	case SendHeartbeat:
		w.send(n.name, e.To.Name, "heartbeat", 0, HeartbeatReceived{e.Heartbeat})
	case AnswerHeartbeat:
		w.send(n.name, e.To.Name, "answer", e.To.Incarnation, HeartbeatAnswered{e.Answer})
	case RequestPromise:
		w.send(n.name, e.To.Name, "ask", 0, PromiseRequested{e.Request})
	case AnswerPromise:
		w.send(n.name, e.To.Name, "promise", e.To.Incarnation, PromiseAnswered{e.Answer})
	case SendPoke:
		w.send(n.name, e.To.Name, "poke", 0, Poked{e.Poke})
	case ReadRecord:
		w.read(n, inc)
	case WriteRecord:
		w.writeRecord(n, inc, e)
	case Watch:
		n.watching = e.On
		if e.On {
			w.watchLoop(n, inc)
		}
	case AdoptLeases:
		w.recordAdoption(n, e.Leases)
	case EndLeases:
		for _, id := range e.Slices {
			w.recordEnd(n, id)
		}
	case AbandonSlices:
		w.abandon(n, inc, e)
	case DrainSlice:
		w.drainLoop(n, inc, e)
	case ProbePeer:
		w.probePeer(n, inc, e.Peer)
	case ProbeTarget:
		w.probeTarget(n, inc, e)
	case LeaveDone:
		n.left = true
	case Decision:
		w.logf("%s: %s %s %s (%s)", n.name, e.What, e.Node, sliceText(e.Slice), e.Reason)
	}
}

func sliceText(id keyspace.SliceID) string {
	if id == (keyspace.SliceID{}) {
		return ""
	}
	return fmt.Sprintf("slice %d", id.Index)
}

// drainLoop reports a slice as drained once its target runs no request of it.
func (w *world) drainLoop(n *simNode, inc uint64, e DrainSlice) {
	id := e.Slice
	if n.machine == nil || n.incarnation != inc {
		return
	}
	if r, busy := w.running[id]; busy && r.node == n.name && r.until > w.now {
		w.after(20*time.Millisecond, func() { w.drainLoop(n, inc, e) })
		return
	}
	w.after(max(w.faults.drainFor, 10*time.Millisecond), func() {
		w.step(n, inc, SliceDrained{Slice: id, Number: e.Number, Window: []byte("window")})
	})
}

// send delivers an event to a node: to the incarnation inc or, if that is zero, to the current
// process. Random faults may lose, delay or duplicate it.
func (w *world) send(from, to, kind string, inc uint64, e Event) {
	if from != to && w.rng.Float64() < w.faults.lose {
		return
	}
	deliver := func() {
		n := w.nodes[to]
		if n == nil || w.isCut(from, to) || (inc != 0 && n.incarnation != inc) {
			return
		}
		w.step(n, n.incarnation, e)
	}
	if w.holdHook != nil && w.holdHook(from, to, kind) {
		w.held = append(w.held, heldMessage{what: from + " " + kind + " " + to, run: deliver})
		return
	}
	if from == to {
		w.after(0, deliver)
		return
	}
	w.after(w.latency(), deliver)
	if w.rng.Float64() < w.faults.duplicate {
		w.after(w.latency(), deliver)
	}
}

func (w *world) latency() time.Duration {
	if w.rng.Float64() < w.faults.late {
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	}
	return time.Millisecond + time.Duration(w.rng.IntN(1000))*time.Microsecond
}

func (w *world) isCut(a, b string) bool { return w.cut[[2]string{a, b}] || w.cut[[2]string{b, a}] }

func (w *world) probePeer(n *simNode, inc uint64, peer Member) {
	w.after(w.latency(), func() {
		p := w.nodes[peer.Name]
		if p == nil || w.isCut(n.name, peer.Name) {
			return
		}
		if p.machine == nil || (p.incarnation > peer.Incarnation && w.now >= p.pausedUntil) {
			w.step(n, inc, PeerExited{Node: peer.Node})
		}
	})
}

func (w *world) probeTarget(n *simNode, inc uint64, e ProbeTarget) {
	w.after(w.latency(), func() {
		if p := w.nodes[e.Name]; p != nil && !w.isCut(n.name, e.Name) && !p.targetAlive {
			w.step(n, inc, TargetExited{Name: e.Name, Incarnation: e.Incarnation})
		}
	})
}

// served counts the slices with an unexpired lease.
func (w *world) served() int {
	count := 0
	for _, h := range w.holders {
		if h.until > w.now {
			count++
		}
	}
	return count
}

func (w *world) report() string {
	return strings.Join(w.violations, "\n") + "\n" + strings.Join(w.log[max(0, len(w.log)-60):], "\n")
}
