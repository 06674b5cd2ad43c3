package outcome

import (
	"bytes"
	"encoding/gob"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// ErrMalformedWindow reports an encoded window that cannot be decoded.
var ErrMalformedWindow = errors.New("malformed window of request ids")

// idBytes is an upper bound on the encoded size of one id without its answer.
const idBytes = 48

// encodedWindow and encodedEntry are the gob form of a Window.
type encodedWindow struct {
	Floor   uint64
	Entries []encodedEntry
}

type encodedEntry struct {
	ID      []byte
	Outcome Outcome
	Reason  Reason
	Answer  *Answer
}

// Encode returns the encoded window for the slice's next owner. Requests that are still running
// are encoded with outcome Unknown. If the ids exceed MaxEncodedBytes, the oldest are omitted and
// the floor rises above them. Answers are included in the remaining space, newest first.
func (w *Window) Encode() ([]byte, error) {
	out := encodedWindow{Floor: w.floor}
	entries := w.oldestFirst()
	if excess := len(entries) - w.limits.MaxEncodedBytes/idBytes; excess > 0 {
		out.Floor = max(out.Floor, entries[excess-1].id.Time()+1)
		entries = entries[excess:]
	}
	remaining := w.limits.MaxEncodedBytes - len(entries)*idBytes
	for _, e := range slices.Backward(entries) {
		encoded := e.encode()
		if encoded.Answer != nil && encoded.Answer.size() > remaining {
			encoded.Answer = nil
		}
		if encoded.Answer != nil {
			remaining -= encoded.Answer.size()
		}
		out.Entries = append(out.Entries, encoded)
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(out); err != nil {
		return nil, errors.Wrap(err, "encode window of request ids")
	}
	return buf.Bytes(), nil
}

func (e *entry) encode() encodedEntry {
	if e.running {
		return encodedEntry{ID: e.id.Bytes(), Outcome: Unknown, Reason: ReasonDuplicate}
	}
	return encodedEntry{ID: e.id.Bytes(), Outcome: e.end.Outcome, Reason: e.end.Reason, Answer: e.answer}
}

// DecodeWindow decodes the window of the slice's previous owner. It fails with
// ErrMalformedWindow; the new owner must then start with an empty window.
func DecodeWindow(limits Limits, data []byte) (*Window, error) {
	var in encodedWindow
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&in); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode window of request ids"), ErrMalformedWindow)
	}
	w := NewWindow(limits, time.Time{})
	w.floor = in.Floor
	for _, encoded := range in.Entries {
		var id ulid.ULID
		if err := id.UnmarshalBinary(encoded.ID); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "decode request id"), ErrMalformedWindow)
		}
		w.restore(id, encoded)
	}
	return w, nil
}

func (w *Window) restore(id ulid.ULID, encoded encodedEntry) {
	w.entries[id] = &entry{id: id, running: true}
	w.Finish(id, End{Outcome: encoded.Outcome, Reason: encoded.Reason}, encoded.Answer)
}

// oldestFirst returns all entries, oldest first.
func (w *Window) oldestFirst() []*entry {
	entries := make([]*entry, 0, len(w.entries))
	for _, e := range w.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return a.id.Compare(b.id) })
	return entries
}

// entryHeap is a min-heap of ended entries, oldest id first.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].id.Compare(h[j].id) < 0 }

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
