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
	policy   admission.Policy
	slots    int
	seed     uint64
	streams  []stream
	duration time.Duration
	// slow returns the factor by which work times are multiplied; nil means 1.
	slow func(now time.Duration) float64
	// readySince is when the target became ready.
	readySince time.Duration
	// trueSlots is the number of requests that the target runs before it sheds; zero means that
	// it never sheds.
	trueSlots int
}

// requestResult is a request that was answered, refused or shed.
type requestResult struct {
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
	random   *rand.Rand
	queue    *admission.Queue
	events   eventHeap
	requests map[uint64]*request
	nextID   uint64
	results  []requestResult
	// runningAtTarget is the number of requests that run on the target.
	runningAtTarget int
	// checkAt is the time of the pending check.
	checkAt time.Duration
}

type request struct {
	requestResult
	deadline time.Duration
	workTime time.Duration
	shed     bool
}

// shedTime is how long a target takes to shed a request.
const shedTime = time.Millisecond

func (s simulation) run() []requestResult {
	queue, err := admission.NewQueue(s.policy)
	if err != nil {
		panic(err)
	}
	queue.SetSlots(s.slots, s.readySince)
	r := &runner{
		simulation: s, queue: queue, requests: map[uint64]*request{},
		random: rand.New(rand.NewPCG(s.seed, 1)),
	}
	for i := range s.streams {
		r.scheduleArrival(0, i)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.handle(e)
	}
	return r.results
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
	if next < r.duration {
		heap.Push(&r.events, event{at: next, kind: arrival, stream: i})
	}
}

func (r *runner) handle(e event) {
	switch e.kind {
	case arrival:
		if e.id == 1 && e.at < r.duration {
			r.arrive(e.at, r.streams[e.stream])
		}
		if e.at < r.duration {
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
	workTime := time.Duration(float64(s.mean) * (0.5 + r.random.Float64()))
	if r.slow != nil {
		workTime = time.Duration(float64(workTime) * r.slow(now))
	}
	req := &request{requestResult: requestResult{class: s.class, key: key, arrived: now}, workTime: workTime, deadline: now + s.deadline}
	r.requests[r.nextID] = req
	decision := r.queue.Offer(now, admission.Work{ID: r.nextID, Class: s.class, Key: key, Deadline: req.deadline})
	r.apply(now, []admission.Decision{decision})
}

func (r *runner) apply(now time.Duration, decisions []admission.Decision) {
	for _, d := range decisions {
		req := r.requests[d.ID]
		switch d.Verdict {
		case admission.Start:
			r.send(now, d.ID, req)
		case admission.Drop:
			req.reason = d.Reason
			r.results = append(r.results, req.requestResult)
			delete(r.requests, d.ID)
		}
	}
}

// send sends a request to the target, which sheds it if all of its true slots are in use.
func (r *runner) send(now time.Duration, id uint64, req *request) {
	workTime := req.workTime
	if r.trueSlots > 0 && r.runningAtTarget >= r.trueSlots {
		req.shed = true
		workTime = shedTime
	} else {
		r.runningAtTarget++
	}
	heap.Push(&r.events, event{at: now + workTime, kind: finish, id: id})
}

func (r *runner) finish(now time.Duration, id uint64) {
	req := r.requests[id]
	delete(r.requests, id)
	if req.shed {
		req.reason = outcome.ReasonTargetShed
		r.queue.Pushback(now)
	} else {
		r.runningAtTarget--
		req.took = now - req.arrived
		req.inTime = now <= req.deadline
	}
	r.results = append(r.results, req.requestResult)
	r.queue.Finish(now, id, !req.shed)
	r.apply(now, r.queue.Next(now))
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// quantile returns the q-quantile of the answer times of the requests of a class that arrived
// in [from, to), or zero if none was answered.
func quantile(results []requestResult, class admission.Class, from, to time.Duration, q float64) time.Duration {
	var times []time.Duration
	for _, e := range results {
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
func shareInTime(results []requestResult, class admission.Class, from, to time.Duration) float64 {
	good, all := 0, 0
	for _, e := range results {
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

func goodput(results []requestResult, from, to time.Duration) float64 {
	good := 0
	for _, e := range results {
		if at := e.arrived + e.took; e.inTime && at >= from && at < to {
			good++
		}
	}
	return float64(good) / (to - from).Seconds()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
