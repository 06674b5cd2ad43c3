// Package loadsim simulates the admission and balance policies in virtual time: one target
// behind an admission queue, and shared targets behind nodes that balance the load. Work times
// are exact, and the network is not simulated. docs/design/load.md gives the results.
//
// All random numbers come from fixed seeds, so runs are reproducible.
package loadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// stream is one kind of work that arrives at a simulated target.
type stream struct {
	class admission.Class
	// mean is the mean work time. Work times are uniformly distributed between 0.5 and 1.5 times
	// the mean.
	mean     time.Duration
	deadline time.Duration
	keys     int
	// rate returns the arrival rate in requests per second.
	rate func(now time.Duration) float64
}

// simulation runs one Queue against a target with exact slots in simulated time.
type simulation struct {
	policy  admission.Policy
	slots   int
	seed    uint64
	streams []stream
	length  time.Duration
	// slow returns the factor by which work times are multiplied; nil means 1.
	slow func(now time.Duration) float64
	// warmSince is when the target became ready.
	warmSince time.Duration
	// trueSlots is the number of requests that the target runs before it sheds; zero means that
	// it never sheds.
	trueSlots int
}

// ended is a request that was answered, refused or shed.
type ended struct {
	class   admission.Class
	key     uint64
	arrived time.Duration
	// took is the time from arrival to answer; zero if it was not answered.
	took   time.Duration
	inTime bool
	reason outcome.Reason
}

type eventKind uint8

const (
	arrival eventKind = iota
	finish
	check
)

type event struct {
	at   time.Duration
	kind eventKind
	// id is the request of a finish event. For an arrival event it is 1 if a request arrives, and
	// 0 if only the rate is evaluated again.
	id     uint64
	stream int
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// runner is the state of one simulation.
type runner struct {
	simulation
	random *rand.Rand
	queue  *admission.Queue
	events eventHeap
	works  map[uint64]*simWork
	nextID uint64
	ends   []ended
	// atTarget is the number of requests that run on the target.
	atTarget int
	// checkAt is the time of the pending check.
	checkAt time.Duration
}

type simWork struct {
	ended
	deadline time.Duration
	length   time.Duration
	refused  bool
}

// refusalTime is how long a target takes to shed a request.
const refusalTime = time.Millisecond

func (s simulation) run() []ended {
	queue, err := admission.NewQueue(s.policy)
	if err != nil {
		panic(err)
	}
	queue.SetSlots(s.slots, s.warmSince)
	r := &runner{
		simulation: s, queue: queue, works: map[uint64]*simWork{},
		random: rand.New(rand.NewPCG(s.seed, 1)),
	}
	for i := range s.streams {
		r.scheduleArrival(0, i)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.handle(e)
	}
	return r.ends
}

// scheduleArrival schedules the next arrival of a stream. If none comes within idleStep, it
// schedules an event after idleStep at which the rate is evaluated again.
func (r *runner) scheduleArrival(now time.Duration, i int) {
	const idleStep = 10 * time.Millisecond
	next := now + idleStep
	if rate := r.streams[i].rate(now); rate > 0 {
		gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		if gap < idleStep {
			heap.Push(&r.events, event{at: now + gap, kind: arrival, stream: i, id: 1})
			return
		}
		// The rate may change within a long gap. A Poisson process is memoryless, so the gap
		// can be drawn again after idleStep.
	}
	if next < r.length {
		heap.Push(&r.events, event{at: next, kind: arrival, stream: i})
	}
}

func (r *runner) handle(e event) {
	switch e.kind {
	case arrival:
		if e.id == 1 && e.at < r.length {
			r.arrive(e.at, r.streams[e.stream])
		}
		if e.at < r.length {
			r.scheduleArrival(e.at, e.stream)
		}
	case finish:
		r.finish(e.at, e.id)
	case check:
		r.checkAt = 0
		r.apply(e.at, r.queue.Next(e.at))
	}
	r.scheduleCheck(e.at)
}

func (r *runner) scheduleCheck(now time.Duration) {
	wait, needed := r.queue.NextCheck()
	if needed && r.checkAt == 0 {
		r.checkAt = now + wait
		heap.Push(&r.events, event{at: r.checkAt, kind: check})
	}
}

func (r *runner) arrive(now time.Duration, s stream) {
	r.nextID++
	key := uint64(r.random.IntN(max(s.keys, 1))) + uint64(s.class)<<32
	length := time.Duration(float64(s.mean) * (0.5 + r.random.Float64()))
	if r.slow != nil {
		length = time.Duration(float64(length) * r.slow(now))
	}
	w := &simWork{ended: ended{class: s.class, key: key, arrived: now}, length: length, deadline: now + s.deadline}
	r.works[r.nextID] = w
	decision := r.queue.Offer(now, admission.Work{ID: r.nextID, Class: s.class, Key: key, Deadline: w.deadline})
	r.apply(now, []admission.Decision{decision})
}

func (r *runner) apply(now time.Duration, decisions []admission.Decision) {
	for _, d := range decisions {
		w := r.works[d.ID]
		switch d.Verdict {
		case admission.Start:
			r.send(now, d.ID, w)
		case admission.Drop:
			w.reason = d.Reason
			r.ends = append(r.ends, w.ended)
			delete(r.works, d.ID)
		}
	}
}

// send sends a request to the target, which sheds it if all of its true slots are in use.
func (r *runner) send(now time.Duration, id uint64, w *simWork) {
	length := w.length
	if r.trueSlots > 0 && r.atTarget >= r.trueSlots {
		w.refused = true
		length = refusalTime
	} else {
		r.atTarget++
	}
	heap.Push(&r.events, event{at: now + length, kind: finish, id: id})
}

func (r *runner) finish(now time.Duration, id uint64) {
	w := r.works[id]
	delete(r.works, id)
	if w.refused {
		w.reason = outcome.ReasonTargetShed
		r.queue.Pushback(now)
	} else {
		r.atTarget--
		w.took = now - w.arrived
		w.inTime = now <= w.deadline
	}
	r.ends = append(r.ends, w.ended)
	r.queue.Finish(now, id, !w.refused)
	r.apply(now, r.queue.Next(now))
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// quantile returns the q-quantile of the answer times of the requests of a class that arrived
// in [from, to), or zero if none was answered.
func quantile(ends []ended, class admission.Class, from, to time.Duration, q float64) time.Duration {
	var times []time.Duration
	for _, e := range ends {
		if e.class == class && e.took > 0 && e.arrived >= from && e.arrived < to {
			times = append(times, e.took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// shareInTime returns the share of the requests of a class that arrived in [from, to) that were
// answered in time.
func shareInTime(ends []ended, class admission.Class, from, to time.Duration) float64 {
	good, all := 0, 0
	for _, e := range ends {
		if e.class != class || e.arrived < from || e.arrived >= to {
			continue
		}
		all++
		if e.inTime {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

func goodput(ends []ended, from, to time.Duration) float64 {
	good := 0
	for _, e := range ends {
		if at := e.arrived + e.took; e.inTime && at >= from && at < to {
			good++
		}
	}
	return float64(good) / (to - from).Seconds()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
