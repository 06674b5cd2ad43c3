package admission

import (
	"math"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Work is a request that needs a slot.
type Work struct {
	// ID identifies the request within its Queue.
	ID    uint64
	Class Class
	// Key is a hash of the service and the key.
	Key uint64
	// Deadline is the time after which the answer is of no use; zero means no deadline.
	Deadline time.Duration
	// Exclusive marks requests of which at most one runs at a time. Requests without the mark may
	// run concurrently with it.
	Exclusive bool
}

// Verdict is the result of an admission decision.
type Verdict uint8

const (
	// Start means that the request holds a slot.
	Start Verdict = iota + 1
	// Wait means that the request is queued. A later call to Next returns its next decision.
	Wait
	// Drop means that the request is refused and has not run.
	Drop
)

// Decision is the verdict on one request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// Reason is set for Drop.
	Reason outcome.Reason
	// Waited is how long the request was queued.
	Waited time.Duration
}

type item struct {
	Work
	arrived time.Duration
	started time.Duration
	// expected is the work time estimated on arrival.
	expected time.Duration
	long     bool
}

// Queue admits work to the slots of one target.
type Queue struct {
	policy    Policy
	estimator estimator
	slots     int
	// readySince is when the target became ready.
	readySince time.Duration
	// pushbacks holds the times at which withheld slots become usable again.
	pushbacks []time.Duration

	running map[uint64]*item
	// runningLong, runningExclusive and keyRunning count the running items.
	runningLong      int
	runningExclusive int
	keyRunning       map[uint64]int

	// short and long hold the waiting items in order of arrival.
	short []*item
	long  []*item
	// keyWaiting counts the waiting items of each key.
	keyWaiting map[uint64]int

	detector overloadDetector
}

// NewQueue returns a queue without slots; call SetSlots before use. It returns ErrPolicy if
// the policy is invalid.
func NewQueue(policy Policy) (*Queue, error) {
	if err := policy.Check(); err != nil {
		return nil, err
	}
	return &Queue{
		policy:     policy,
		estimator:  newEstimator(),
		running:    map[uint64]*item{},
		keyRunning: map[uint64]int{},
		keyWaiting: map[uint64]int{},
	}, nil
}

// SetSlots sets the number of slots. They are ramped up over Policy.Warmup from readySince, the
// time at which the target became ready.
func (q *Queue) SetSlots(slots int, readySince time.Duration) {
	q.slots = slots
	q.readySince = readySince
}

// Pushback withholds one slot for Policy.Pushback because the target has shed a request. At
// least one slot is never withheld.
func (q *Queue) Pushback(now time.Duration) {
	if q.policy.Pushback > 0 && len(q.pushbacks) < q.slots-1 {
		q.pushbacks = append(q.pushbacks, now+q.policy.Pushback)
	}
}

// Running returns the number of requests that hold slots.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.short) + len(q.long) }

// Slots returns the number of slots usable now: all slots, less those held back during warm-up
// and by pushbacks.
func (q *Queue) Slots(now time.Duration) int {
	if q.policy.Discipline == FirstCome || q.slots == 0 {
		return q.slots
	}
	q.pushbacks = slices.DeleteFunc(q.pushbacks, func(end time.Duration) bool { return end <= now })
	rampShare := 1.0
	if age := now - q.readySince; age < q.policy.Warmup {
		progress := float64(max(age, 0)) / float64(q.policy.Warmup)
		rampShare = q.policy.WarmupShare + (1-q.policy.WarmupShare)*progress
	}
	ramped := int(math.Ceil(float64(q.slots) * rampShare))
	return max(1, ramped-len(q.pushbacks))
}

// Offer decides whether new work starts, waits or is dropped.
func (q *Queue) Offer(now time.Duration, work Work) Decision {
	q.checkOverruns(now)
	it := &item{Work: work, arrived: now, expected: q.expectedWork(work.Class), long: q.isLong(work.Class)}
	if work.Deadline != 0 && now >= work.Deadline {
		return Decision{ID: work.ID, Verdict: Drop, Reason: outcome.ReasonDeadline}
	}
	if q.mayStart(now, it) && !q.hasStartableAhead(it) {
		q.start(now, it)
		return Decision{ID: work.ID, Verdict: Start}
	}
	if reason := q.refusalReason(now, it); reason != "" {
		return Decision{ID: work.ID, Verdict: Drop, Reason: reason}
	}
	q.enqueue(it)
	return Decision{ID: work.ID, Verdict: Wait}
}

// hasStartableAhead reports whether an item that waits in the same list could start too. Items
// held back by their key's limit or by Work.Exclusive do not block later ones.
func (q *Queue) hasStartableAhead(it *item) bool {
	list := q.waitListOf(it)
	return slices.ContainsFunc(*list, func(other *item) bool { return q.withinKeyLimit(other, q.keySoftLimit()) })
}

// refusalReason returns the reason for which the item may not be queued, or "" if it may.
func (q *Queue) refusalReason(now time.Duration, it *item) outcome.Reason {
	list := q.waitListOf(it)
	if len(*list) >= q.policy.QueueLength {
		return outcome.ReasonShed
	}
	if q.policy.Discipline == FirstCome {
		return ""
	}
	half := q.policy.QueueLength / 2
	share := max(1, int(float64(q.policy.QueueLength)*q.policy.KeyShare))
	if q.Waiting() >= half && q.keyWaiting[it.Key] >= min(share, half) {
		return outcome.ReasonKeyShare
	}
	if it.Deadline != 0 && now+q.expectedWait(now, it)+it.expected > it.Deadline {
		return outcome.ReasonShed
	}
	return ""
}

// expectedWait estimates how long the item would be queued. If its key already holds its share
// of the slots, only the waiting work of the same key counts. Waiting work of such keys does
// not count for short work of other keys.
func (q *Queue) expectedWait(now time.Duration, it *item) time.Duration {
	keyLimit := q.keySoftLimit()
	ahead := len(*q.waitListOf(it))
	slots := q.Slots(now)
	if it.long {
		slots = q.longLimit(slots)
	}
	if q.keyRunning[it.Key] >= keyLimit {
		ahead = q.keyWaiting[it.Key]
		slots = min(slots, keyLimit)
	} else if !it.long {
		ahead = max(0, ahead-q.waitingAtKeyLimit(keyLimit))
	}
	return time.Duration(ahead) * it.expected / time.Duration(max(slots, 1))
}

// waitingAtKeyLimit counts the waiting requests of keys that already hold keyLimit or more slots.
func (q *Queue) waitingAtKeyLimit(keyLimit int) int {
	n := 0
	for key, running := range q.keyRunning {
		if running >= keyLimit {
			n += q.keyWaiting[key]
		}
	}
	return n
}

func (q *Queue) expectedWork(class Class) time.Duration {
	if estimate, known := q.estimator.estimate(class); known {
		return estimate
	}
	return q.estimator.typical()
}

// Finish releases the slot of a request that has ended and returns how long it held the slot.
// The time updates the estimates only if the request ran to completion. An unknown ID returns
// zero.
func (q *Queue) Finish(now time.Duration, id uint64, ran bool) time.Duration {
	it, known := q.running[id]
	if !known {
		return 0
	}
	delete(q.running, id)
	q.addRunning(it, -1)
	took := now - it.started
	if ran {
		q.estimator.observe(now, it.Class, took)
		q.estimator.observeTypical(took)
	}
	return took
}

// Abandon removes a waiting request whose caller has gone. It reports whether the request was
// waiting.
func (q *Queue) Abandon(id uint64) bool {
	for _, list := range []*[]*item{&q.short, &q.long} {
		i := slices.IndexFunc(*list, func(it *item) bool { return it.ID == id })
		if i >= 0 {
			q.remove(list, i)
			return true
		}
	}
	return false
}

func (q *Queue) waitListOf(it *item) *[]*item {
	if it.long && q.policy.Discipline == Protected {
		return &q.long
	}
	return &q.short
}

func (q *Queue) enqueue(it *item) {
	list := q.waitListOf(it)
	*list = append(*list, it)
	q.keyWaiting[it.Key]++
}

func (q *Queue) remove(list *[]*item, i int) *item {
	it := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	if q.keyWaiting[it.Key]--; q.keyWaiting[it.Key] == 0 {
		delete(q.keyWaiting, it.Key)
	}
	return it
}

func (q *Queue) start(now time.Duration, it *item) {
	it.started = now
	q.running[it.ID] = it
	q.addRunning(it, 1)
}

func (q *Queue) addRunning(it *item, n int) {
	if it.long {
		q.runningLong += n
	}
	if it.Exclusive {
		q.runningExclusive += n
	}
	if q.keyRunning[it.Key] += n; q.keyRunning[it.Key] == 0 {
		delete(q.keyRunning, it.Key)
	}
}
