// Package slotqueue implements the admission queue of a target's slots. It decides which requests
// get a slot, which wait and which are refused: the most urgent priority first, in order of arrival
// within a priority. No request waits past its deadline.
//
// A Queue reads no clock: times are passed in. It is not safe for concurrent use.
package slotqueue

import (
	"container/heap"
	"time"
)

// Item is one request that asks for a slot.
type Item struct {
	ID uint64
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Deadline is the time at which the request is refused if it is still waiting.
	Deadline time.Duration
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
	running int
	// maxWaiting is the largest number of items that may wait.
	maxWaiting int
	waiting    itemHeap
	arrivals   uint64
}

type queuedItem struct {
	Item
	arrival uint64
}

// New returns a queue with the given number of slots and at most maxWaiting waiting items.
func New(slots, maxWaiting int) *Queue { return &Queue{slots: slots, maxWaiting: maxWaiting} }

// Resize sets the number of slots and of items that may wait; running items keep their slots.
func (q *Queue) Resize(slots, maxWaiting int) { q.slots, q.maxWaiting = slots, maxWaiting }

// Running returns the number of items that occupy slots.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer decides on a new item. If the queue is full, the least urgent among the waiting items and
// the new one is refused; displaced is the id of a waiting item that was refused in favour of the
// new one, valid if isDisplaced is set.
func (q *Queue) Offer(now time.Duration, item Item) (verdict Verdict, displaced uint64, isDisplaced bool) {
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return Start, 0, false
	}
	if item.Deadline <= now || q.maxWaiting == 0 {
		return Drop, 0, false
	}
	q.arrivals++
	if len(q.waiting) < q.maxWaiting {
		heap.Push(&q.waiting, queuedItem{item, q.arrivals})
		return Wait, 0, false
	}
	last := q.waiting.leastUrgent()
	if q.waiting[last].Priority <= item.Priority {
		return Drop, 0, false
	}
	displacedID := q.waiting[last].ID
	heap.Remove(&q.waiting, last)
	heap.Push(&q.waiting, queuedItem{item, q.arrivals})
	return Wait, displacedID, true
}

// Finish frees a slot.
func (q *Queue) Finish() { q.running-- }

// Abandon removes a waiting item and reports whether it was waiting.
func (q *Queue) Abandon(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			heap.Remove(&q.waiting, i)
			return true
		}
	}
	return false
}

// Next drops waiting items whose deadline has passed, then starts items in free slots, and
// returns both decisions.
func (q *Queue) Next(now time.Duration) []Decision {
	var decisions []Decision
	for i := 0; i < len(q.waiting); {
		if q.waiting[i].Deadline <= now {
			decisions = append(decisions, Decision{q.waiting[i].ID, Drop})
			heap.Remove(&q.waiting, i)
			i = 0
			continue
		}
		i++
	}
	for q.running < q.slots && len(q.waiting) > 0 {
		first := heap.Pop(&q.waiting).(queuedItem)
		q.running++
		decisions = append(decisions, Decision{first.ID, Start})
	}
	return decisions
}

// NextDeadline returns the earliest deadline of the waiting items; false if no item waits.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	first := q.waiting[0].Deadline
	for _, e := range q.waiting[1:] {
		first = min(first, e.Deadline)
	}
	return first, true
}

// itemHeap is a heap ordered by priority and arrival, the next item to start first.
type itemHeap []queuedItem

func (q itemHeap) Len() int { return len(q) }
func (q itemHeap) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority < q[j].Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q itemHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *itemHeap) Push(x any) { *q = append(*q, x.(queuedItem)) }

// Pop implements heap.Interface.
func (q *itemHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// leastUrgent returns the index of the item that would start last.
func (q itemHeap) leastUrgent() int {
	last := 0
	for i := range q {
		if q.Less(last, i) {
			last = i
		}
	}
	return last
}
