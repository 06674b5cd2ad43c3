package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const (
	shortClass Class = 1
	shortMean        = 10 * time.Millisecond
	longAgo          = -time.Hour
)

// newTrainedQueue returns a queue with slots whose estimate for the short class is ten milliseconds.
func newTrainedQueue(t *testing.T, policy Policy, slots int) *Queue {
	t.Helper()
	q, err := NewQueue(policy)
	if err != nil {
		t.Fatal(err)
	}
	q.SetSlots(slots, longAgo)
	for id := range uint64(10) {
		q.Offer(0, Work{ID: 1000 + id, Class: shortClass})
		q.Finish(shortMean, 1000+id, true)
	}
	return q
}

func wantVerdict(t *testing.T, d Decision, verdict Verdict, reason outcome.Reason) {
	t.Helper()
	if d.Verdict != verdict || d.Reason != reason {
		t.Errorf("work %d: got %d %q, want %d %q", d.ID, d.Verdict, d.Reason, verdict, reason)
	}
}

func TestSuspectsRunApart(t *testing.T) {
	q := newTrainedQueue(t, DefaultPolicy(), 6)
	now := time.Second
	wantVerdict(t, q.Offer(now, Work{ID: 1, Class: shortClass, Key: 1, Exclusive: true}), Start, "")
	wantVerdict(t, q.Offer(now, Work{ID: 2, Class: shortClass, Key: 2, Exclusive: true}), Wait, "")
	wantVerdict(t, q.Offer(now, Work{ID: 3, Class: shortClass, Key: 3}), Start, "")
	if got := q.Next(now); len(got) != 0 {
		t.Errorf("started %v while another suspect runs", got)
	}
	q.Finish(now+shortMean, 1, true)
	if got := q.Next(now + shortMean); len(got) != 1 || got[0].ID != 2 || got[0].Verdict != Start {
		t.Errorf("got %v, want the second suspect", got)
	}
}

func TestDeadlines(t *testing.T) {
	q := newTrainedQueue(t, DefaultPolicy(), 1)
	now := time.Second
	wantVerdict(t, q.Offer(now, Work{ID: 1, Class: shortClass, Deadline: now}), Drop, outcome.ReasonDeadline)
	wantVerdict(t, q.Offer(now, Work{ID: 2, Class: shortClass, Key: 2}), Start, "")
	wantVerdict(t, q.Offer(now, Work{ID: 3, Class: shortClass, Key: 3, Deadline: now + shortMean/2}), Drop, outcome.ReasonShed)
	wantVerdict(t, q.Offer(now, Work{ID: 4, Class: shortClass, Key: 4, Deadline: now + 4*shortMean}), Wait, "")
	wantVerdict(t, q.Offer(now, Work{ID: 5, Class: shortClass, Key: 5, Deadline: now + 15*time.Millisecond}), Drop, outcome.ReasonShed)
	later := q.Next(now + 4*shortMean)
	if len(later) != 1 {
		t.Fatalf("got %v, want one decision", later)
	}
	wantVerdict(t, later[0], Drop, outcome.ReasonDeadline)
}

func TestQueueIsBounded(t *testing.T) {
	policy := DefaultPolicy()
	policy.QueueLength = 8
	q := newTrainedQueue(t, policy, 2)
	now := time.Second
	id := uint64(0)
	offer := func(key uint64) Decision {
		id++
		return q.Offer(now, Work{ID: id, Class: shortClass, Key: key})
	}
	wantVerdict(t, offer(1), Start, "")
	wantVerdict(t, offer(2), Start, "")
	for range 4 {
		wantVerdict(t, offer(1), Wait, "")
	}
	wantVerdict(t, offer(1), Drop, outcome.ReasonKeyShare)
	for key := range uint64(4) {
		wantVerdict(t, offer(10+key), Wait, "")
	}
	wantVerdict(t, offer(99), Drop, outcome.ReasonShed)
	if q.Waiting() != 8 || q.Running() != 2 {
		t.Errorf("%d requests wait and %d run, want 8 and 2", q.Waiting(), q.Running())
	}
	if !q.Abandon(3) || q.Abandon(3) || q.Waiting() != 7 {
		t.Error("Abandon did not remove the waiting request exactly once")
	}
}

func TestPolicyIsChecked(t *testing.T) {
	changes := map[string]func(*Policy){
		"long share":       func(p *Policy) { p.LongShare = 0 },
		"long start delay": func(p *Policy) { p.LongStartDelay = -1 },
		"long factor":      func(p *Policy) { p.LongFactor = 1 },
		"queue length":     func(p *Policy) { p.QueueLength = 0 },
		"key share":        func(p *Policy) { p.KeyShare = 1.5 },
		"delay target":     func(p *Policy) { p.DelayTarget = 0 },
		"delay interval":   func(p *Policy) { p.DelayInterval = 1 },
		"warm-up share":    func(p *Policy) { p.WarmupShare = 0 },
		"pushback":         func(p *Policy) { p.Pushback = -1 },
	}
	for name, change := range changes {
		policy := DefaultPolicy()
		change(&policy)
		if err := policy.Check(); !errors.Is(err, ErrPolicy) {
			t.Errorf("%s: got %v, want ErrPolicy", name, err)
		}
	}
	if err := BaselinePolicy().Check(); err != nil {
		t.Errorf("baseline: %v", err)
	}
}

func TestClassesAreBounded(t *testing.T) {
	l := newEstimator()
	for i := range 5 * maxClasses {
		l.observe(time.Duration(i), Class(i), time.Millisecond)
	}
	if len(l.classes) > maxClasses {
		t.Errorf("%d classes are tracked, want at most %d", len(l.classes), maxClasses)
	}
}

// TestOverrunTurnsAClassLong checks that a class counts as long once running requests of it
// exceed the threshold, before any of them has ended.
func TestOverrunTurnsAClassLong(t *testing.T) {
	q := newTrainedQueue(t, DefaultPolicy(), 6)
	now := time.Second
	for id := range uint64(4) {
		wantVerdict(t, q.Offer(now, Work{ID: id, Class: shortClass, Key: id}), Start, "")
	}
	now += 40 * shortMean
	wantVerdict(t, q.Offer(now, Work{ID: 9, Class: shortClass, Key: 9}), Wait, "")
}

// TestShortWorkIsShedByItsDelay checks that short work without a deadline is shed once it has
// waited longer than the allowed delay.
func TestShortWorkIsShedByItsDelay(t *testing.T) {
	q := newTrainedQueue(t, DefaultPolicy(), 1)
	now := time.Second
	wantVerdict(t, q.Offer(now, Work{ID: 1, Class: shortClass, Key: 1}), Start, "")
	wantVerdict(t, q.Offer(now, Work{ID: 2, Class: shortClass, Key: 2}), Wait, "")
	allowed := time.Duration(DefaultPolicy().DelayInterval * float64(shortMean))
	if got := q.Next(now + allowed*9/10); len(got) != 0 {
		t.Errorf("got %v before the allowed delay", got)
	}
	got := q.Next(now + allowed*11/10)
	if len(got) != 1 {
		t.Fatalf("got %v after the allowed delay", got)
	}
	wantVerdict(t, got[0], Drop, outcome.ReasonShed)
}

// TestHotKeyDoesNotLengthenTheQueue checks that the queued work of a hot key does not count in
// the expected wait of other keys, which would refuse work with a tight deadline.
func TestHotKeyDoesNotLengthenTheQueue(t *testing.T) {
	q := newTrainedQueue(t, DefaultPolicy(), 4)
	now := time.Second
	for id := range uint64(40) {
		q.Offer(now, Work{ID: id, Class: shortClass, Key: 1})
	}
	wantVerdict(t, q.Offer(now, Work{ID: 100, Class: shortClass, Key: 2}), Start, "")
	wantVerdict(t, q.Offer(now, Work{ID: 101, Class: shortClass, Key: 3, Deadline: now + 3*shortMean}), Wait, "")
}

// TestWarmup checks the number of usable slots while a new target warms up.
func TestWarmup(t *testing.T) {
	policy := DefaultPolicy()
	policy.Warmup = 3 * time.Second
	q, err := NewQueue(policy)
	if err != nil {
		t.Fatal(err)
	}
	q.SetSlots(12, time.Second)
	got := ""
	for _, at := range []time.Duration{1000, 1750, 2500, 3250, 4000} {
		got += fmt.Sprint(q.Slots(at*time.Millisecond), " ")
	}
	if want := "4 6 8 10 12 "; got != want {
		t.Errorf("slots %q, want %q", got, want)
	}
}
