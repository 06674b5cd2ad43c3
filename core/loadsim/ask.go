package loadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
)

// choiceMode is how the senders of an askingFleet choose a target.
type choiceMode uint8

const (
	// chooseRandomly draws a target.
	chooseRandomly choiceMode = iota
	// chooseByOwn uses balance.Picker: only what the sender itself has measured.
	chooseByOwn
	// chooseByReports uses the reports that come with answers, and asks nothing.
	chooseByReports
	// chooseByAsking asks before sending.
	chooseByAsking
)

// askingFleet simulates senders and shared targets that differ in speed and are disturbed for short times. Each target has
// the queue of its node. A request that a target refuses is sent to another one, up to maxSends times.
type askingFleet struct {
	mode              choiceMode
	senders           int
	perSender         float64
	slots             int
	speeds            []float64
	work              time.Duration
	objective         time.Duration
	timeout           time.Duration
	length            time.Duration
	seed              uint64
	asked, drawn      int
	disturbed, factor float64
	disturbance       time.Duration
	// refuses reports whether a target refuses everything at the moment although it has free slots.
	refuses func(target int, now time.Duration) bool
}

const (
	maxSends = 3
	// oneWay is the time of a message between two nodes with its processing.
	oneWay = 500 * time.Microsecond
)

// askingResult holds the counts of a run from its second second on.
type askingResult struct {
	offered, inObjective, inTimeout, refused, early, queries int
	// byTarget is the number of requests that each target ran.
	byTarget []int
}

func (r askingResult) String() string {
	n, most, total := float64(r.offered), 0, 0
	for _, w := range r.byTarget {
		most, total = max(most, w), total+w
	}
	return fmt.Sprintf("in objective %.4f, answered %.4f, refused %.4f (early %.4f), queries %.2f, busiest %.2f",
		float64(r.inObjective)/n, float64(r.inTimeout)/n, float64(r.refused)/n, float64(r.early)/n, float64(r.queries)/n,
		float64(most)*float64(len(r.byTarget))/float64(total))
}

// askEvent is a step of the simulation.
type askEvent struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type askEvents []askEvent

func (h askEvents) Len() int { return len(h) }
func (h askEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h askEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *askEvents) Push(x any)   { *h = append(*h, x.(askEvent)) }
func (h *askEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// askTarget is a target with the queue and the report of its node.
type askTarget struct {
	queue    *slotqueue.Queue
	failures balance.FailureRate
	waiting  map[uint64]*askRequest
	// random draws the disturbances, so that they do not depend on the choice.
	random *rand.Rand
	// disturbedUntil and nextDisturbance are the times of the present and the next disturbance.
	disturbedUntil, nextDisturbance time.Duration
	// timer is when the queue is looked at next without an event.
	timer time.Duration
}

// askRequest is a request of the simulation.
type askRequest struct {
	id      uint64
	sender  int
	arrived time.Duration
	// size is the work time relative to the mean.
	size     float64
	sends    int
	tried    map[int]bool
	target   int
	counting bool
}

// askSim is the state of a run.
type askSim struct {
	askingFleet
	// random draws the choices, arrivals the requests.
	random, arrivals *rand.Rand
	events           askEvents
	seq              int
	targets          []*askTarget
	options          []balance.Option
	reports          []*balance.Reports
	pickers          []*balance.Picker
	cands            []balance.Candidate
	class            slotqueue.Class
	lastID           uint64
	result           askingResult
}

func (f askingFleet) run() askingResult {
	s := &askSim{askingFleet: f, random: rand.New(rand.NewPCG(f.seed, 111)), arrivals: rand.New(rand.NewPCG(f.seed, 112)), class: slotqueue.Class{Service: "s", Objective: f.objective, Priority: 1}}
	s.result.byTarget = make([]int, len(f.speeds))
	for i := range f.speeds {
		name := fmt.Sprintf("vm-%02d", i)
		s.targets = append(s.targets, &askTarget{queue: slotqueue.New(f.slots, 8*f.slots), waiting: map[uint64]*askRequest{}, random: rand.New(rand.NewPCG(f.seed, uint64(i)))})
		s.options = append(s.options, balance.Option{Name: name, Process: exchange.TargetProcess{ID: name}})
		s.cands = append(s.cands, balance.Candidate{Name: name, SameRegion: true, Slots: f.slots, Ready: true})
	}
	for i := range f.senders {
		s.reports = append(s.reports, balance.NewReports())
		s.pickers = append(s.pickers, balance.New(balance.DefaultPolicy()))
		s.after(0, s.next(i), func(now time.Duration) { s.arrive(now, i) })
	}
	for len(s.events) > 0 && s.events[0].at < f.length {
		e := heap.Pop(&s.events).(askEvent)
		e.run(e.at)
	}
	return s.result
}

func (s *askSim) after(now, d time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.events, askEvent{now + d, s.seq, run})
}

func (s *askSim) next(int) time.Duration {
	return time.Duration(s.arrivals.ExpFloat64() / s.perSender * float64(time.Second))
}

// arrive starts a request of a sender and schedules the sender's next one.
func (s *askSim) arrive(now time.Duration, sender int) {
	s.after(now, s.next(sender), func(now time.Duration) { s.arrive(now, sender) })
	s.lastID++
	r := &askRequest{id: s.lastID, size: 0.5 + s.arrivals.Float64(), sender: sender, arrived: now, tried: map[int]bool{}, counting: now > time.Second && now < s.length-s.timeout}
	if r.counting {
		s.result.offered++
	}
	s.choose(now, r, nil)
}

func (s *askSim) kind(now time.Duration, r *askRequest) balance.Kind {
	return balance.Kind{Class: s.class, Remaining: r.arrived + s.timeout - now}
}

// draw returns up to n targets that the request has not tried and that are not in asked.
func (s *askSim) draw(r *askRequest, n int, asked []int) []int {
	skip := map[int]bool{}
	for _, i := range asked {
		skip[i] = true
	}
	var drawn []int
	for _, i := range s.random.Perm(len(s.targets)) {
		if len(drawn) < n && !r.tried[i] && !skip[i] {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// choose selects a target by the fleet's mode; asked are the targets asked before.
func (s *askSim) choose(now time.Duration, r *askRequest, asked []int) {
	if len(r.tried) == len(s.targets) || r.sends >= maxSends {
		s.refuse(r)
		return
	}
	reports := s.reports[r.sender]
	switch s.mode {
	case chooseRandomly:
		s.send(now, r, s.draw(r, 1, nil)[0])
	case chooseByOwn:
		cands := append([]balance.Candidate(nil), s.cands...)
		for i := range cands {
			cands[i].Ready = !r.tried[i]
		}
		i, _ := s.pickers[r.sender].Pick(now, cands, s.random.IntN)
		s.pickers[r.sender].Started(now, s.cands[i])
		s.send(now, r, i)
	case chooseByReports:
		indexes, options := s.drawOptions(r, s.drawn, nil)
		s.send(now, r, indexes[reports.Shortlist(now, options, s.kind(now, r), 1, 1)[0]])
	case chooseByAsking:
		indexes, options := s.drawOptions(r, s.drawn, asked)
		list := reports.Shortlist(now, options, s.kind(now, r), s.asked, s.random.Float64())
		for _, k := range list {
			s.ask(now, r, indexes[k])
		}
		s.after(now, 2*oneWay, func(now time.Duration) { s.decide(now, r, indexes, options, list, asked) })
	}
}

func (s *askSim) drawOptions(r *askRequest, n int, asked []int) ([]int, []balance.Option) {
	indexes := s.draw(r, n, asked)
	options := make([]balance.Option, len(indexes))
	for i, t := range indexes {
		options[i] = s.options[t]
	}
	return indexes, options
}

// ask fetches the report of a target.
func (s *askSim) ask(now time.Duration, r *askRequest, target int) {
	if s.reports[r.sender].Estimate(now, s.options[target], s.kind(now, r)).Fresh {
		return
	}
	if r.counting {
		s.result.queries++
	}
	s.after(now, oneWay, func(now time.Duration) {
		report := s.report(now, target)
		s.after(now, oneWay, func(now time.Duration) { s.reports[r.sender].Record(now, s.options[target].Name, report, "s") })
	})
}

// decide sends a request to the best of the targets that were asked, asks others, or refuses the request.
func (s *askSim) decide(now time.Duration, r *askRequest, indexes []int, options []balance.Option, list, asked []int) {
	c := s.reports[r.sender].Choose(now, options, list, s.kind(now, r))
	if c.Index < 0 {
		s.refuse(r)
		return
	}
	if !c.Useful && asked == nil {
		for _, k := range list {
			asked = append(asked, indexes[k])
		}
		s.choose(now, r, asked)
		return
	}
	if c.Reject(s.random.Float64()) {
		if r.counting {
			s.result.early++
		}
		s.refuse(r)
		return
	}
	s.send(now, r, indexes[c.Index])
}

func (s *askSim) refuse(r *askRequest) {
	if r.counting {
		s.result.refused++
	}
}

func (s *askSim) report(now time.Duration, target int) *balance.Report {
	t := s.targets[target]
	work, _ := t.queue.WorkTime(s.class)
	wait := t.queue.ExpectedWait(now, slotqueue.Item{Priority: 1, Class: s.class, Deadline: now + s.timeout})
	return &balance.Report{
		Process: s.options[target].Process, Running: t.queue.Running(), Waiting: t.queue.Waiting(), Slots: s.slots,
		FailureShare: t.failures.Share(now), Unhealthy: t.failures.Unhealthy(), Trial: t.failures.TrialOpen(now),
		Classes: []balance.ClassReport{{Objective: s.objective, Priority: 1, Wait: wait, Work: work}},
	}
}

// send sends the request to a target.
func (s *askSim) send(now time.Duration, r *askRequest, target int) {
	r.sends++
	r.tried[target], r.target = true, target
	s.reports[r.sender].Sent(s.options[target].Name)
	s.after(now, oneWay, func(now time.Duration) { s.offer(now, r) })
}

// offer gives a request to the queue of its target.
func (s *askSim) offer(now time.Duration, r *askRequest) {
	t := s.targets[r.target]
	if admitted, _ := t.failures.Admit(now); !admitted && s.mode == chooseByAsking {
		s.refused(now, r)
		return
	}
	item := slotqueue.Item{
		ID: r.id, Priority: 1, Deadline: now + min(s.objective*6/10, r.arrived+s.timeout-now), Class: s.class, Expires: r.arrived + s.timeout,
	}
	verdict, _, _ := t.queue.Offer(now, item)
	t.waiting[r.id] = r
	switch verdict {
	case slotqueue.Start:
		s.start(now, r)
	case slotqueue.Drop:
		delete(t.waiting, r.id)
		s.refused(now, r)
	}
	s.dispatch(now, t)
}

// refused handles the refusal of a request by the queue or by its target.
func (s *askSim) refused(now time.Duration, r *askRequest) {
	report := s.report(now, r.target)
	s.after(now, oneWay, func(now time.Duration) {
		s.reports[r.sender].Record(now, s.options[r.target].Name, report, "s")
		s.pickers[r.sender].Finished(now, s.cands[r.target], 0, false, true)
		s.choose(now, r, nil)
	})
}

func (s *askSim) start(now time.Duration, r *askRequest) {
	t := s.targets[r.target]
	if s.refuses != nil && s.refuses(r.target, now) {
		s.after(now, oneWay, func(now time.Duration) {
			t.queue.Finish(now, r.id, false)
			t.failures.Observe(now, true)
			s.refused(now, r)
			s.dispatch(now, t)
		})
		return
	}
	for now >= t.nextDisturbance {
		t.disturbedUntil = t.nextDisturbance + s.disturbance
		gap := float64(s.disturbance) * (1 - s.disturbed) / s.disturbed
		t.nextDisturbance = t.disturbedUntil + time.Duration(t.random.ExpFloat64()*gap)
	}
	factor := s.speeds[r.target]
	if now < t.disturbedUntil {
		factor *= s.factor
	}
	work := time.Duration(float64(s.work) * factor * r.size)
	if r.counting {
		s.result.byTarget[r.target]++
	}
	s.after(now, work, func(now time.Duration) {
		t.queue.Finish(now, r.id, true)
		t.failures.Observe(now, false)
		delete(t.waiting, r.id)
		report := s.report(now, r.target)
		s.after(now, oneWay, func(now time.Duration) { s.answered(now, r, work, report) })
		s.dispatch(now, t)
	})
}

func (s *askSim) answered(now time.Duration, r *askRequest, took time.Duration, report *balance.Report) {
	s.reports[r.sender].Record(now, s.options[r.target].Name, report, "s")
	s.pickers[r.sender].Finished(now, s.cands[r.target], took, true, true)
	if !r.counting {
		return
	}
	if now-r.arrived <= s.objective {
		s.result.inObjective++
	}
	if now-r.arrived <= s.timeout {
		s.result.inTimeout++
	}
}

// dispatch carries out the decisions of a queue on its waiting requests.
func (s *askSim) dispatch(now time.Duration, t *askTarget) {
	for _, d := range t.queue.Next(now) {
		r := t.waiting[d.ID]
		if d.Verdict == slotqueue.Start {
			s.start(now, r)
			continue
		}
		delete(t.waiting, d.ID)
		s.refused(now, r)
	}
	if at, ok := t.queue.NextDecision(now); ok && (t.timer <= now || at < t.timer) {
		t.timer = max(at, now+time.Millisecond)
		s.after(now, t.timer-now, func(now time.Duration) { s.dispatch(now, t) })
	}
}

// disturbedFleet returns a fleet whose targets are slow for short times: 77 senders of 10 requests a second each, 19
// targets of nine slots whose work takes 0.7, 0.7 or 1.6 of the mean time, and three times as long for 0.4 s during a
// fifth of the time.
// load is the offered work as a share of what the targets can do.
func disturbedFleet(mode choiceMode, load float64, seed uint64) askingFleet {
	f := askingFleet{
		mode: mode, senders: 77, perSender: 10, slots: 9, timeout: 2 * time.Second, length: 20 * time.Second, seed: seed,
		asked: 2, drawn: 3, disturbed: 0.2, factor: 3, disturbance: 400 * time.Millisecond,
	}
	capacity := 0.0
	for i := range 19 {
		f.speeds = append(f.speeds, []float64{0.7, 0.7, 1.6}[i%3])
		capacity += float64(f.slots) / f.speeds[i]
	}
	capacity *= 1 - f.disturbed + f.disturbed/f.factor
	f.work = time.Duration(load * capacity / (float64(f.senders) * f.perSender) * float64(time.Second))
	f.objective = 4 * f.work
	return f
}
