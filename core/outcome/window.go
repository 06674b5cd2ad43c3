package outcome

import (
	"container/heap"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
)

// Limits bound what a window remembers.
type Limits struct {
	// Age is how long after its minting an id is remembered.
	Age time.Duration
	// Entries is the largest number of finished ids.
	Entries int
	// AnswerBytes bounds the kept answers of all ids together.
	AnswerBytes int
	// OneAnswerBytes is the largest answer that is kept.
	OneAnswerBytes int
	// MaxAhead is how far an id may be minted ahead of the node's clock.
	MaxAhead time.Duration
	// EncodedBytes bounds the form that is handed over.
	EncodedBytes int
}

// DefaultLimits returns the limits of one slice: at most about 400 KB of memory.
func DefaultLimits() Limits {
	return Limits{
		Age:            2 * time.Minute,
		Entries:        2048,
		AnswerBytes:    128 << 10,
		OneAnswerBytes: 8 << 10,
		MaxAhead:       500 * time.Millisecond,
		EncodedBytes:   96 << 10,
	}
}

// Answer is a small answer kept for a resend of the same id.
type Answer struct {
	Status  int
	Headers []Field
	Body    []byte
	Target  string
	Fence   string
}

// Field is one header field of a kept answer.
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

// Verdict is what a window says about an id that arrives.
type Verdict uint8

const (
	// Run means that the id is new: the caller must report its end by Finish.
	Run Verdict = iota + 1
	// Replay means that the id ended before; the recorded end is returned with it.
	Replay
	// InFlight means that an earlier attempt with the id has not ended.
	InFlight
	// RefuseUnknown means that the id may have run before this window's memory begins.
	RefuseUnknown
	// Hold means that the id is minted slightly ahead of this node's clock and may be asked
	// again after the returned wait. An id never runs before its own time, so every id that a
	// former owner ran is older than its successor's grant.
	Hold
	// RefuseAhead means that the id is minted too far ahead; it did not run.
	RefuseAhead
)

// Decision is a verdict with what belongs to it.
type Decision struct {
	Verdict Verdict
	// End is the recorded end, for Replay.
	End End
	// Answer is the kept answer, for Replay; nil when it is not kept.
	Answer *Answer
	// Wait is the time to hold the request, for Hold.
	Wait time.Duration
}

type entry struct {
	id      ulid.ULID
	running bool
	end     End
	answer  *Answer
}

// Window remembers the ids of one slice. It forgets the oldest ids first, and what it has
// forgotten it refuses: no id minted before floor runs.
type Window struct {
	limits Limits
	// floor is the mint time, in Unix milliseconds, below which ids are not run.
	floor   uint64
	entries map[ulid.ULID]*entry
	// finished orders the ended entries by id, which is by mint time.
	finished    entryHeap
	answerBytes int
}

// NewWindow returns the empty window of an owner whose first grant began at firstAt. Ids
// minted before firstAt are refused as unknown.
func NewWindow(limits Limits, firstAt time.Time) *Window {
	return &Window{limits: limits, floor: unixMillis(firstAt), entries: map[ulid.ULID]*entry{}}
}

// Begin decides on an id at wall time now. Only after Run may the request be sent on.
func (w *Window) Begin(id ulid.ULID, now time.Time) Decision {
	return w.begin(id, now, false)
}

// BeginFirst decides like Begin on an id that its caller sends for the first time. Such an id
// cannot have run before, however old it is, so the window's floor does not hold for it.
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

// Finish records how a running id ended. An id that did not run is free to run again. The
// answer may be nil; one that is too large is not kept.
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
	w.keepAnswer(e, answer)
	heap.Push(&w.finished, e)
	for len(w.finished) > w.limits.Entries {
		w.forgetOldest()
	}
}

// Amend corrects the end of an id once more is known: what is now proved not to have run is
// free to run again. An answered id stays as it is.
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

// Len returns the number of remembered ids, running ones included.
func (w *Window) Len() int { return len(w.entries) }

// Floor returns the time before which unremembered ids are refused as unknown.
func (w *Window) Floor() time.Time { return time.UnixMilli(int64(w.floor)) }

func (w *Window) keepAnswer(e *entry, answer *Answer) {
	if answer == nil || answer.size() > w.limits.OneAnswerBytes {
		return
	}
	if w.answerBytes+answer.size() > w.limits.AnswerBytes {
		w.dropAnswers(answer.size())
	}
	if w.answerBytes+answer.size() > w.limits.AnswerBytes {
		return
	}
	e.answer = answer
	w.answerBytes += answer.size()
}

// dropAnswers frees room for need bytes, and a quarter of the whole room so that it is not
// called for each answer; oldest ids lose their answers first.
func (w *Window) dropAnswers(need int) {
	goal := w.limits.AnswerBytes - max(need, w.limits.AnswerBytes/4)
	for _, e := range w.byAge() {
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
	oldest := unixMillis(now.Add(-w.limits.Age))
	for len(w.finished) > 0 && w.finished[0].id.Time() < oldest {
		w.forgetOldest()
	}
	w.floor = max(w.floor, oldest)
}

// forgetOldest drops the oldest ended id and raises the floor above it.
func (w *Window) forgetOldest() {
	e := heap.Pop(&w.finished).(*entry)
	w.releaseAnswer(e)
	delete(w.entries, e.id)
	w.floor = max(w.floor, e.id.Time()+1)
}

func unixMillis(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) }
