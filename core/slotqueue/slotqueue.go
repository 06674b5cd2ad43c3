// Package slotqueue implements the admission queue of a target's slots. It decides which requests get a slot, which wait
// and which are refused.
//
// The queue learns how long each class of work holds a slot and predicts when a new request would start. A request that
// would start after its latest useful start is refused when it arrives, so that it has time to try another target. The
// most urgent priority goes first, and within a priority the request with the earliest latest useful start. Requests of a
// class without a learned work time go in order of arrival and wait until their deadline.
//
// A less urgent request may be overtaken by any number of more urgent ones, but waits no longer than until its latest
// useful start. Within a priority it is not overtaken by a request that arrives after that time.
//
// If the target has a limit on the requests per second, requests also wait for their turn, and one whose turn comes too
// late is refused at once.
//
// A Queue reads no clock: times are passed in. It is not safe for concurrent use.
package slotqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/ratelimit"
)

// overtakingRounds is the number of rounds in which ExpectedWait adds the work that arrives meanwhile.
const overtakingRounds = 4

// predictionMargin is the factor by which a predicted wait must be shorter than the longest useful one. At overload all
// admitted requests wait nearly as long as is useful, and without a margin every small error lets some wait in vain: at
// 1.2 times the capacity up to a tenth of the less urgent ones, with this margin 0.03 (TestPlayedLoad).
const predictionMargin = 1.1

// Item is one request that asks for a slot.
type Item struct {
	ID uint64
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Deadline is the time at which the request is refused if it is still waiting, as long as the work time of its class
	// is not known.
	Deadline time.Duration
	// Class is the kind of work.
	Class Class
	// Expires is the time at which the caller stops waiting for the answer; zero stands for Deadline.
	Expires time.Duration
}

// Verdict is the queue's decision on an item.
type Verdict uint8

const (
	// Start means that the item has got a slot.
	Start Verdict = iota + 1
	// Wait means that the item is queued; Next returns the decision on it later, unless Offer
	// displaces it or Abandon removes it first.
	Wait
	// Drop means that the item is refused.
	Drop
)

// Decision is a verdict on a waiting item.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// Queue admits items to the slots of one target.
type Queue struct {
	slots   int
	running []runningItem
	// maxWaiting is the largest number of items that may wait.
	maxWaiting int
	// waiting holds the waiting items, the next one to start first.
	waiting  []queuedItem
	arrivals uint64
	pacer    ratelimit.Gate
	work     workTimes
	// free is the buffer of freeTimes.
	free []time.Duration
}

type runningItem struct {
	id      uint64
	class   Class
	started time.Duration
}

type queuedItem struct {
	Item
	arrival uint64
	// latest is the time at which the item is refused if it is still waiting.
	latest time.Duration
	// rank orders items of a priority: latest, or the time of arrival if the class's work time is not known.
	rank time.Duration
}

// compare orders items by priority, rank and arrival.
func (e queuedItem) compare(other queuedItem) int {
	return cmp.Or(cmp.Compare(e.Priority, other.Priority), cmp.Compare(e.rank, other.rank), cmp.Compare(e.arrival, other.arrival))
}

// New returns a queue with the given number of slots and at most maxWaiting waiting items.
func New(slots, maxWaiting int) *Queue {
	return &Queue{slots: slots, maxWaiting: maxWaiting, work: newWorkTimes()}
}

// Resize sets the number of slots and of items that may wait; running items keep their slots.
func (q *Queue) Resize(slots, maxWaiting int) { q.slots, q.maxWaiting = slots, maxWaiting }

// SetLimit sets the limit on the items that start per second.
func (q *Queue) SetLimit(now time.Duration, l ratelimit.Limit) { q.pacer.SetLimit(now, l) }

// SetSlowdown sets how long work takes now relative to the usual time, as the target reports it; 1 if it reports nothing.
func (q *Queue) SetSlowdown(s float64) { q.work.setSlowdown(s) }

// SetAllowance sets the limit on the items that start while the target is or may be cold.
func (q *Queue) SetAllowance(now time.Duration, a ratelimit.Allowance) { q.pacer.SetAllowance(now, a) }

// Limited reports whether there is a limit on the items that start per second.
func (q *Queue) Limited() bool { return q.pacer.Limited() }

// RefusesByLimit reports whether an item that is refused now is refused because of a limit: one that is known to bind,
// or one that delays items although slots are free.
func (q *Queue) RefusesByLimit() bool {
	return q.pacer.Refuses() || q.pacer.Limited() && len(q.running) < q.slots
}

// Backlog returns the time after which the limit lets an item start that arrives behind those that
// wait now; zero without a limit.
func (q *Queue) Backlog(now time.Duration) time.Duration {
	return q.pacer.Backlog(now, len(q.waiting)) - now
}

// turn returns the earliest time at which the limit lets an item start that has the given number of
// waiting items before it.
func (q *Queue) turn(now time.Duration, before int) time.Duration {
	return q.pacer.Turn(now, before)
}

// Running returns the number of items that occupy slots.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// WorkTime returns how long work of the class is expected to hold a slot now, and whether anything is known about it.
func (q *Queue) WorkTime(c Class) (time.Duration, bool) {
	work, _ := q.work.of(c)
	return work, q.work.learned()
}

// ExpectedWait returns the predicted time until an item would start that arrives now; zero if it would start at once.
func (q *Queue) ExpectedWait(now time.Duration, item Item) time.Duration {
	if len(q.waiting) == 0 && q.canStart(now) {
		return 0
	}
	e := q.entry(now, item)
	first := q.predictedStart(now, q.position(e)) - now
	wait := first
	// Each round adds what arrives during the wait found so far. With more work than the slots can do the wait has no
	// end; a few rounds then give a long one.
	for range overtakingRounds {
		wait = first + q.overtaking(now, e, wait)
	}
	return wait
}

// overtaking returns by how much the wait of an item is expected to be prolonged by requests that arrive during the
// given wait and start before it.
func (q *Queue) overtaking(now time.Duration, e queuedItem, wait time.Duration) time.Duration {
	return q.work.overtaking(now, e.Class, wait, e.latest-now) / time.Duration(max(q.slots, 1))
}

// Overdue returns the number of running items that have held their slot for the given multiple of the expected time, and
// for at least minTime.
func (q *Queue) Overdue(now time.Duration, factor float64, minTime time.Duration) int {
	n := 0
	for _, r := range q.running {
		work, known := q.work.of(r.class)
		if spent := now - r.started; known && spent >= minTime && float64(spent) > factor*float64(work) {
			n++
		}
	}
	return n
}

// Offer decides on a new item. If the queue is full, the least urgent among the waiting items and
// the new one is refused; displaced is the id of a waiting item that was refused in favour of the
// new one, valid if isDisplaced is set.
func (q *Queue) Offer(now time.Duration, item Item) (verdict Verdict, displaced uint64, isDisplaced bool) {
	e := q.entry(now, item)
	if len(q.waiting) == 0 && q.canStart(now) {
		q.work.admitted(now, item.Class, e.latest-now)
		q.start(now, item)
		return Start, 0, false
	}
	at := q.position(e)
	if e.latest <= now || q.maxWaiting == 0 || q.startsTooLate(now, e, at) {
		return Drop, 0, false
	}
	q.arrivals++
	if len(q.waiting) < q.maxWaiting {
		q.work.admitted(now, item.Class, e.latest-now)
		q.waiting = slices.Insert(q.waiting, at, e)
		return Wait, 0, false
	}
	last := len(q.waiting) - 1
	if q.waiting[last].Priority <= item.Priority {
		return Drop, 0, false
	}
	q.work.admitted(now, item.Class, e.latest-now)
	displacedID := q.waiting[last].ID
	q.waiting = slices.Insert(q.waiting[:last], at, e)
	return Wait, displacedID, true
}

// startsTooLate reports whether a new item is expected to start after its latest useful start. Before any work time is
// known, only the limit counts.
func (q *Queue) startsTooLate(now time.Duration, e queuedItem, before int) bool {
	start := q.predictedStart(now, before)
	if !q.work.learned() {
		return start > e.latest
	}
	wait := start - now + q.overtaking(now, e, e.latest-now)
	return time.Duration(predictionMargin*float64(wait)) > e.latest-now
}

// entry returns the waiting item that a new item becomes.
func (q *Queue) entry(now time.Duration, item Item) queuedItem {
	e := queuedItem{Item: item, arrival: q.arrivals + 1, latest: item.Deadline, rank: now}
	if work, known := q.work.of(item.Class); known {
		expires := item.Expires
		if expires == 0 {
			expires = item.Deadline
		}
		e.latest = now + LongestUsefulWait(item.Class.Objective, expires-now, work)
		e.rank = e.latest
	}
	return e
}

// position returns the number of waiting items that start before the new one.
func (q *Queue) position(e queuedItem) int {
	at, _ := slices.BinarySearchFunc(q.waiting, e, queuedItem.compare)
	return at
}

// predictedStart returns when an item is expected to start that has the first of the waiting items before it. Before any
// work time is known, only the limit counts.
func (q *Queue) predictedStart(now time.Duration, before int) time.Duration {
	if !q.work.learned() {
		return q.turn(now, before)
	}
	free := q.freeTimes(now)
	for k, e := range q.waiting[:before] {
		q.occupy(free, q.turn(now, k), e.Class)
	}
	return max(slices.Min(free), q.turn(now, before))
}

// occupy gives the slot that is free first to an item that does not start before the given time.
func (q *Queue) occupy(free []time.Duration, notBefore time.Duration, c Class) {
	first := 0
	for i := range free {
		if free[i] < free[first] {
			first = i
		}
	}
	start := max(free[first], notBefore)
	work, _ := q.work.of(c)
	free[first] = start + work
}

// freeTimes returns when each slot is expected to be free. The result is valid until the next call.
func (q *Queue) freeTimes(now time.Duration) []time.Duration {
	free := q.free[:0]
	for _, r := range q.running {
		work, _ := q.work.of(r.class)
		spent := now - r.started
		free = append(free, now+max(work-spent, time.Duration(overdueShare*float64(spent))))
	}
	slots := max(q.slots, 1)
	if len(free) > slots {
		// The slots were reduced: the first items to end free none.
		slices.Sort(free)
		free = slices.Delete(free, 0, len(free)-slots)
	}
	for len(free) < slots {
		free = append(free, now)
	}
	q.free = free
	return free
}

// canStart reports whether a slot is free and the limit allows another item to start.
func (q *Queue) canStart(now time.Duration) bool {
	return len(q.running) < q.slots && q.pacer.Next(now) <= now
}

func (q *Queue) start(now time.Duration, item Item) {
	q.running = append(q.running, runningItem{id: item.ID, class: item.Class, started: now})
	q.pacer.Take(now)
}

// Finish frees the slot of an item that runs. The time for which it held the slot is learned if the target answered the
// request, or if it is longer than expected: a refusal or a cancelled request says nothing about the work.
func (q *Queue) Finish(now time.Duration, id uint64, answered bool) {
	i := slices.IndexFunc(q.running, func(r runningItem) bool { return r.id == id })
	if i < 0 {
		return
	}
	r := q.running[i]
	q.running = slices.Delete(q.running, i, i+1)
	took := now - r.started
	if expected, known := q.work.of(r.class); answered || known && took > expected {
		q.work.add(now, r.class, took)
	}
}

// Abandon removes a waiting item and reports whether it was waiting.
func (q *Queue) Abandon(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(e queuedItem) bool { return e.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next drops waiting items that cannot start in time, then starts items in free slots, and returns both decisions.
func (q *Queue) Next(now time.Duration) []Decision {
	decisions := q.dropHopeless(now)
	for len(q.waiting) > 0 && q.canStart(now) {
		first := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(now, first.Item)
		decisions = append(decisions, Decision{first.ID, Start})
	}
	return decisions
}

// dropHopeless drops the waiting items whose latest start has passed or comes before their turn, and those that more
// urgent ones have pushed back so far that they are expected to miss it by more than their own work time.
func (q *Queue) dropHopeless(now time.Duration) []Decision {
	if len(q.waiting) == 0 {
		return nil
	}
	var decisions []Decision
	learned := q.work.learned()
	free := q.freeTimes(now)
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		turn := q.turn(now, len(kept))
		work, _ := q.work.of(e.Class)
		hopeless := e.latest <= now || turn > e.latest || learned && max(slices.Min(free), turn) > e.latest+work
		if hopeless {
			decisions = append(decisions, Decision{e.ID, Drop})
			continue
		}
		q.occupy(free, turn, e.Class)
		kept = append(kept, e)
	}
	q.waiting = kept
	return decisions
}

// NextDecision returns when Next must be called at the latest: at the earliest latest start of the waiting
// items or, if a slot is free, when the limit lets the next one start. It returns false if no item
// waits.
func (q *Queue) NextDecision(now time.Duration) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	first := q.waiting[0].latest
	for _, e := range q.waiting[1:] {
		first = min(first, e.latest)
	}
	if len(q.running) < q.slots && q.Limited() {
		first = min(first, q.pacer.Next(now))
	}
	return first, true
}
