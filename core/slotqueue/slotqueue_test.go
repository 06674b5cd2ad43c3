package slotqueue

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestQueueOrder(t *testing.T) {
	q := New(1, 3)
	offer := func(now time.Duration, id uint64, priority int, timeLimit time.Duration, want Verdict, wantDisplaced uint64) {
		t.Helper()
		got, displaced, isDisplaced := q.Offer(now, Item{ID: id, Priority: priority, Deadline: now + timeLimit})
		if got != want || isDisplaced != (wantDisplaced != 0) || displaced != wantDisplaced {
			t.Fatalf("item %d: verdict %d, displaced %d", id, got, displaced)
		}
	}
	next := func(now time.Duration, want ...Decision) {
		t.Helper()
		got := q.Next(now)
		if len(got) != len(want) {
			t.Fatalf("at %v: got %v, want %v", now, got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("at %v: got %v, want %v", now, got, want)
			}
		}
	}
	offer(0, 1, 2, 100*ms, Start, 0)
	offer(0, 2, 2, 100*ms, Wait, 0)
	offer(0, 3, 1, 100*ms, Wait, 0)
	offer(0, 4, 2, 10*ms, Wait, 0)
	offer(0, 5, 2, 100*ms, Drop, 0)
	offer(0, 6, 1, 100*ms, Wait, 4)
	offer(0, 7, 1, 0, Drop, 0)
	if at, ok := q.NextDeadline(); !ok || at != 100*ms {
		t.Errorf("next deadline %v, want 100ms", at)
	}
	q.Finish()
	next(50*ms, Decision{3, Start})
	q.Finish()
	next(60*ms, Decision{6, Start})
	next(100*ms, Decision{2, Drop})
	if q.Running() != 1 || q.Waiting() != 0 {
		t.Errorf("%d running, %d waiting, want 1 and 0", q.Running(), q.Waiting())
	}
}

func TestAbandon(t *testing.T) {
	q := New(1, 3)
	q.Offer(0, Item{ID: 1, Deadline: ms})
	q.Offer(0, Item{ID: 2, Deadline: ms})
	if q.Abandon(1) || !q.Abandon(2) || q.Abandon(2) {
		t.Error("only waiting items can be abandoned")
	}
}

func TestSlotsShrink(t *testing.T) {
	q := New(2, 4)
	for id := range uint64(3) {
		q.Offer(0, Item{ID: id, Deadline: time.Hour})
	}
	q.Resize(1, 4)
	q.Finish()
	if got := q.Next(0); len(got) != 0 {
		t.Errorf("started %v without a free slot", got)
	}
	q.Finish()
	if got := q.Next(0); len(got) != 1 {
		t.Errorf("started %v, want one item", got)
	}
}
