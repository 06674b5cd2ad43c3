package outcome

import (
	"container/heap"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
)

// Limits bounds the memory of a Window.
type Limits struct {
	// MaxAge is how long an id is remembered, counted from the timestamp in it.
	MaxAge time.Duration
	// MaxEntries is the largest number of finished ids.
	MaxEntries int
	// TotalAnswerBytes bounds the stored answers of all ids together.
	TotalAnswerBytes int
	// MaxAnswerBytes is the size of the largest answer that is stored.
	MaxAnswerBytes int
	// MaxAhead is how far the timestamp of an id may be ahead of the node's clock.
	MaxAhead time.Duration
	// MaxEncodedBytes bounds the encoded form that is handed to the next owner.
	MaxEncodedBytes int
}

// DefaultLimits returns the limits of one slice, which keep its window below about 400 KB of
// memory.
func DefaultLimits() Limits {
	return Limits{
		MaxAge:           2 * time.Minute,
		MaxEntries:       2048,
		TotalAnswerBytes: 128 << 10,
		MaxAnswerBytes:   8 << 10,
		MaxAhead:         500 * time.Millisecond,
		MaxEncodedBytes:  96 << 10,
	}
}

// Answer is a small answer stored for attempts that repeat the same id.
type Answer struct {
	Status  int
	Headers []Field
	Body    []byte
	Target  string
	Fence   string
}

// Field is one header field of a stored answer.
type Field struct {
	Name  string
	Value string
}

func (a *Answer) size() int {
	n := len(a.Body) + len(a.Target) + len(a.Fence)
	for _, f := range a.Headers {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Verdict is how a window decides on a request id.
type Verdict uint8

const (
	// Run means that the id is new: the request may run, and Finish must record its end.
	Run Verdict = iota + 1
	// Replay means that the id has ended before; the recorded end is returned.
	Replay
	// InFlight means that an earlier attempt with the id has not ended.
	InFlight
	// RefuseUnknown means that the id is older than the window and may already have run.
	RefuseUnknown
	// Hold means that the timestamp of the id is slightly ahead of this node's clock and that
	// Begin may be called again after the returned wait. Because no id runs before its timestamp,
	// every id that a previous owner ran is older than the start of its successor's lease.
	Hold
	// RefuseAhead means that the timestamp of the id is too far ahead; it did not run.
	RefuseAhead
)

// Decision is a verdict with its details.
type Decision struct {
	Verdict Verdict
	// End is the recorded end; set for Replay only.
	End End
	// Answer is the stored answer, for Replay only; nil if it is not stored.
	Answer *Answer
	// Wait is how long to hold the request; set for Hold only.
	Wait time.Duration
}

type entry struct {
	id      ulid.ULID
	running bool
	end     End
	answer  *Answer
}

// Window is the deduplication window of one slice: it records the request ids that run or ran. It
// drops the oldest ids first and refuses unrecorded ids whose timestamp is before the floor,
// since they may be among those dropped.
type Window struct {
	limits Limits
	// floor is the low-water mark: unrecorded ids with an earlier timestamp, in Unix milliseconds,
	// do not run.
	floor   uint64
	entries map[ulid.ULID]*entry
	// finished orders the ended entries by id and thereby by timestamp.
	finished    entryHeap
	answerBytes int
}

// NewWindow returns the empty window of an owner whose first lease of the slice began at
// firstLeaseAt. Ids with a timestamp before firstLeaseAt are refused with RefuseUnknown.
func NewWindow(limits Limits, firstLeaseAt time.Time) *Window {
	return &Window{limits: limits, floor: unixMillis(firstLeaseAt), entries: map[ulid.ULID]*entry{}}
}

// Begin decides on an id at wall time now. The request may be sent to the target only if the
// verdict is Run.
func (w *Window) Begin(id ulid.ULID, now time.Time) Decision {
	return w.begin(id, now, false)
}

// BeginFirst is like Begin for an id that its caller sends for the first time. Such an id cannot
// have run before, however old it is, so the floor does not apply to it.
func (w *Window) BeginFirst(id ulid.ULID, now time.Time) Decision {
	return w.begin(id, now, true)
}

func (w *Window) begin(id ulid.ULID, now time.Time, first bool) Decision {
	w.expire(now)
	if e, known := w.entries[id]; known {
		return e.decision()
	}
	if id.Time() < w.floor && !first {
		return Decision{Verdict: RefuseUnknown}
	}
	ahead := time.Duration(int64(id.Time())-now.UnixMilli()) * time.Millisecond
	if ahead > w.limits.MaxAhead {
		return Decision{Verdict: RefuseAhead}
	}
	if ahead > 0 {
		return Decision{Verdict: Hold, Wait: ahead}
	}
	w.entries[id] = &entry{id: id, running: true}
	return Decision{Verdict: Run}
}

func (e *entry) decision() Decision {
	if e.running {
		return Decision{Verdict: InFlight}
	}
	return Decision{Verdict: Replay, End: e.end, Answer: e.answer}
}

// Finish records how a running id ended. An id that did not run may run again. The answer may be
// nil; one that is too large is not stored.
func (w *Window) Finish(id ulid.ULID, end End, answer *Answer) {
	e, known := w.entries[id]
	if !known || !e.running {
		return
	}
	if !end.Final() {
		delete(w.entries, id)
		return
	}
	e.running = false
	e.end = end
	w.storeAnswer(e, answer)
	heap.Push(&w.finished, e)
	for len(w.finished) > w.limits.MaxEntries {
		w.evictOldest()
	}
}

// Amend corrects the recorded end of an id when it turns out that the request did not run, so
// that the id may run again. An answered id is not changed.
func (w *Window) Amend(id ulid.ULID, end End) {
	e, known := w.entries[id]
	if !known || e.running || e.end.Outcome == Answered || end.Final() {
		return
	}
	w.releaseAnswer(e)
	i := slices.Index(w.finished, e)
	heap.Remove(&w.finished, i)
	delete(w.entries, id)
}

// Len returns the number of recorded ids, including running ones.
func (w *Window) Len() int { return len(w.entries) }

// Floor returns the timestamp before which unrecorded ids are refused with RefuseUnknown.
func (w *Window) Floor() time.Time { return time.UnixMilli(int64(w.floor)) }

func (w *Window) storeAnswer(e *entry, answer *Answer) {
	if answer == nil || answer.size() > w.limits.MaxAnswerBytes {
		return
	}
	if w.answerBytes+answer.size() > w.limits.TotalAnswerBytes {
		w.evictAnswers(answer.size())
	}
	if w.answerBytes+answer.size() > w.limits.TotalAnswerBytes {
		return
	}
	e.answer = answer
	w.answerBytes += answer.size()
}

// evictAnswers drops the answers of the oldest ids until needed bytes are free, or a quarter of
// TotalAnswerBytes if that is more, so that it does not run again for each new answer.
func (w *Window) evictAnswers(needed int) {
	goal := w.limits.TotalAnswerBytes - max(needed, w.limits.TotalAnswerBytes/4)
	for _, e := range w.oldestFirst() {
		if w.answerBytes <= goal {
			return
		}
		w.releaseAnswer(e)
	}
}

func (w *Window) releaseAnswer(e *entry) {
	if e.answer != nil {
		w.answerBytes -= e.answer.size()
		e.answer = nil
	}
}

func (w *Window) expire(now time.Time) {
	oldest := unixMillis(now.Add(-w.limits.MaxAge))
	for len(w.finished) > 0 && w.finished[0].id.Time() < oldest {
		w.evictOldest()
	}
	w.floor = max(w.floor, oldest)
}

// evictOldest drops the oldest ended id and raises the floor above its timestamp.
func (w *Window) evictOldest() {
	e := heap.Pop(&w.finished).(*entry)
	w.releaseAnswer(e)
	delete(w.entries, e.id)
	w.floor = max(w.floor, e.id.Time()+1)
}

func unixMillis(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) }
