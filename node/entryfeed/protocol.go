package entryfeed

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/roster"
	"github.com/auburnrelay/auburnrelay/node/peercall"
)

// Path is the HTTP path at which a node answers its followers.
const Path = "/auburnrelay/entries"

const (
	// maxHold is how long a node holds a request while it has nothing new, and minHold the shortest time that a
	// follower allows.
	maxHold = time.Second
	minHold = 50 * time.Millisecond
	// unknownHold is the hold while a follower knows nothing yet.
	unknownHold = 250 * time.Millisecond
	// answerMargin is the time allowed for the answer after the hold, as in package feed.
	answerMargin = 250 * time.Millisecond
	// maxAge bounds the ages in messages, so that they can be subtracted from a time.
	maxAge = time.Hour
)

// errBehind reports a source whose entries are older than those of its follower.
var errBehind = errors.New("entries of the source are older")

// request asks for what has changed since a snapshot. Ages and times are in microseconds.
type request struct {
	Base roster.ID `json:"base"`
	Hold int64     `json:"hold_us"`
	// WantsFresh asks for entries that were read from the store itself at most FreshAge before the request arrives.
	WantsFresh bool  `json:"wants_fresh,omitempty"`
	FreshAge   int64 `json:"fresh_age_us,omitempty"`
	// WantsMembers asks for the names and addresses of the region's live nodes only.
	WantsMembers bool `json:"wants_members,omitempty"`
}

// response holds the compressed difference from the named snapshot or, if IsWhole is set, from nothing.
type response struct {
	Known   bool      `json:"known"`
	ID      roster.ID `json:"id"`
	IsWhole bool      `json:"is_whole,omitempty"`
	Delta   []byte    `json:"delta,omitempty"`
	// Held is how long the request was held, and Age how long before the answer the snapshot was current.
	Held int64 `json:"held_us"`
	Age  int64 `json:"age_us"`
	// FreshAge is the same for the last reading from the store itself; negative if there is none.
	FreshAge  int64             `json:"fresh_age_us"`
	Receiving bool              `json:"receiving,omitempty"`
	Members   map[string]string `json:"members,omitempty"`
}

// ageOf returns a duration that another node has named in microseconds, at most maxAge.
func ageOf(micros int64) time.Duration {
	return time.Duration(max(0, min(micros, maxAge.Microseconds()))) * time.Microsecond
}

// microsUp returns a duration in microseconds, rounded up.
func microsUp(d time.Duration) int64 { return d.Microseconds() + 1 }

// Follow asks the source once for what has changed, and returns the state after it. It returns false if the node has no
// source and must list the entries from the store. freshSince is a time since which the store itself must have been
// read; negative if any state will do. The state has no snapshot if there is nothing new to tell.
func (f *Feed) Follow(ctx context.Context, freshSince time.Duration) (State, bool) {
	place, address := f.place()
	if place.Source == "" {
		return State{}, false
	}
	end := f.patienceEnd(place)
	answer, sent, err := f.call(ctx, address, end, freshSince)
	if ctx.Err() != nil || errors.Is(err, errInterrupted) {
		return State{}, true
	}
	var s State
	if err == nil {
		s, err = f.take(answer, sent)
	}
	now := f.cfg.Clock()
	switch end = f.patienceEnd(place); {
	case err != nil && (!errors.Is(err, errBehind) || now >= end):
		f.avoid(place.Source, err.Error())
	case now >= end:
		f.avoid(place.Source, "entries not confirmed in time")
	case freshSince >= 0 && !s.isFreshSince(freshSince) && now >= f.freshEnd(end, freshSince):
		f.avoid(place.Source, "entries not read afresh in time")
	}
	return s, true
}

// freshEnd returns until when the node waits for a fresh reading that it wants since a time, given the end of its
// patience with the age of the state.
func (f *Feed) freshEnd(end, since time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	patience := end - max(f.state.CurrentAt, f.sourceSince)
	return max(since, f.sourceSince) + patience
}

// errInterrupted ends a call so that the next one can ask for a fresh reading.
var errInterrupted = errors.New("call to the source interrupted")

// call makes one call to the source and returns when it was sent.
func (f *Feed) call(ctx context.Context, address string, end, freshSince time.Duration) (response, time.Duration, error) {
	sent := f.cfg.Clock()
	q := request{}
	f.mu.Lock()
	if f.freshWantedAt > f.state.FreshAt {
		freshSince = max(freshSince, f.freshWantedAt)
	}
	hold := min(maxHold, max(minHold, end-sent))
	if f.state.Snapshot == nil {
		hold = min(hold, unknownHold)
	}
	if graceLeft := f.sourceSince + sourceGrace - sent; graceLeft > 0 {
		// A source that hangs is tried again whenever it is no longer avoided. It must not hold up the entries for long.
		hold = min(hold, max(minHold, graceLeft))
	}
	callCtx, cancel := context.WithTimeout(ctx, hold+answerMargin)
	defer cancel()
	callCtx, interrupt := context.WithCancelCause(callCtx)
	defer interrupt(context.Canceled)
	if freshSince >= 0 {
		q.WantsFresh, q.FreshAge = true, (sent - freshSince).Microseconds()
	} else {
		f.interrupt = func() { interrupt(errInterrupted) }
	}
	q.Base, q.Hold = f.state.Snapshot.ID(), hold.Microseconds()
	f.mu.Unlock()
	callCtx, reading := f.BeginReading(callCtx)
	var answer response
	err := peercall.Do(callCtx, f.cfg.Pool, address, Path, q, &answer)
	reading.End()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt, f.sourceReceives = nil, answer.Receiving
	if err != nil && errors.Is(context.Cause(callCtx), errInterrupted) {
		err = errInterrupted
	}
	return answer, sent, err
}

// take applies an answer and returns the state after it. Without a snapshot there, it returns a state without one.
func (f *Feed) take(answer response, sent time.Duration) (State, error) {
	if !answer.Known {
		return State{}, nil
	}
	f.mu.Lock()
	known := f.state
	f.mu.Unlock()
	next := known.Snapshot
	switch {
	case answer.ID == next.ID() && next != nil:
	case answer.ID.Version < next.ID().Version:
		return State{}, errBehind
	default:
		base := known.Snapshot
		if answer.IsWhole {
			base = nil
		}
		delta, err := unpack(answer.Delta)
		if err != nil {
			return State{}, err
		}
		if next, err = roster.Apply(base, delta); err != nil {
			return State{}, err
		}
		if next.ID() != answer.ID {
			return State{}, errors.Wrap(roster.ErrInvalid, "another snapshot than named")
		}
		next = next.Reuse(known.Snapshot)
	}
	now := f.cfg.Clock()
	// The answer was sent at or after answered, since the way of the request took some time.
	answered := min(now, sent+ageOf(answer.Held))
	s := State{Snapshot: next, CurrentAt: answered - ageOf(answer.Age), FreshAt: never}
	if answer.FreshAge >= 0 {
		s.FreshAt = answered - ageOf(answer.FreshAge)
	}
	if next == known.Snapshot {
		s.CurrentAt = max(s.CurrentAt, known.CurrentAt)
	}
	s.FreshAt = max(s.FreshAt, known.FreshAt)
	f.setState(s)
	return s, nil
}

// AskMembers asks the node at an address for the names and addresses of its region's live nodes. It waits until the
// context ends or that node knows them.
func (f *Feed) AskMembers(ctx context.Context, address string) (map[string]string, error) {
	var answer response
	q := request{WantsMembers: true, Hold: maxHold.Microseconds()}
	if err := peercall.Do(ctx, f.cfg.Pool, address, Path, q, &answer); err != nil {
		return nil, err
	}
	return answer.Members, nil
}

// ServeHTTP answers a follower as soon as there is news for it, and otherwise at the end of the hold.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.cfg.Clock()
	var q request
	if !peercall.Read(w, r, &q) {
		return
	}
	hold := min(maxHold, ageOf(q.Hold))
	timer := time.NewTimer(hold)
	defer timer.Stop()
	if q.WantsMembers {
		f.serveMembers(w, r, timer)
		return
	}
	for {
		state, isReady, changed := f.stateFor(q, arrived)
		if !isReady {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		peercall.Answer(w, f.answer(q, state, arrived))
		return
	}
}

// membersInterval is the interval at which a node that is asked for the members checks whether it knows them.
const membersInterval = 20 * time.Millisecond

func (f *Feed) serveMembers(w http.ResponseWriter, r *http.Request, end *time.Timer) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		if members := f.cfg.Members(); len(members) > 0 {
			peercall.Answer(w, response{Members: members})
			return
		}
		select {
		case <-ticker.C:
		case <-end.C:
			peercall.Answer(w, response{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// stateFor returns the state, whether it is news for a request that arrived at a time, and a channel that is closed at
// the next change.
func (f *Feed) stateFor(q request, arrived time.Duration) (State, bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	// A follower with later entries waits: an immediate answer would only make it ask again.
	isReady := s.Snapshot != nil && s.Snapshot.ID().Version >= q.Base.Version && (s.Snapshot.ID() != q.Base || s.CurrentAt >= arrived)
	if q.WantsFresh {
		since := arrived - ageOf(q.FreshAge)
		f.wantFresh(since)
		isReady = isReady && s.isFreshSince(since)
	}
	return s, isReady, f.changed
}

// answer returns the answer to a request for a state.
func (f *Feed) answer(q request, s State, arrived time.Duration) response {
	f.mu.Lock()
	a := response{Known: s.Snapshot != nil, ID: s.Snapshot.ID(), FreshAge: -1, Receiving: f.receiving > 0 || f.sourceReceives}
	var base *roster.Snapshot
	if i := slices.IndexFunc(f.kept, func(k *roster.Snapshot) bool { return k.ID() == q.Base }); i >= 0 {
		base = f.kept[i]
	}
	isPresent := f.state.Snapshot == s.Snapshot
	packed := f.packed[base.ID()]
	f.mu.Unlock()
	if a.Known && a.ID != q.Base {
		if packed == nil || !isPresent {
			packed = pack(roster.Diff(base, s.Snapshot))
			f.keepPacked(base, s.Snapshot, packed)
		}
		a.Delta, a.IsWhole = packed, base == nil
	}
	now := f.cfg.Clock()
	a.Held, a.Age = (now - arrived).Microseconds(), microsUp(now-s.CurrentAt)
	if s.FreshAt >= 0 {
		a.FreshAge = microsUp(now - s.FreshAt)
	}
	return a
}

// keepPacked keeps a compressed difference for the other followers, if it is one to the latest snapshot.
func (f *Feed) keepPacked(base, next *roster.Snapshot, packed []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Snapshot == next {
		f.packed[base.ID()] = packed
	}
}

// writers holds idle gzip writers, which allocate 800 KB each.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func pack(data []byte) []byte {
	var compressed bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return compressed.Bytes()
}

// unpack returns the uncompressed difference, of at most roster.MaxBytes.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "read the compressed entries")
	}
	data, err := io.ReadAll(io.LimitReader(r, roster.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the entries")
	}
	if len(data) > roster.MaxBytes {
		return nil, errors.Wrapf(roster.ErrInvalid, "more than %d bytes", roster.MaxBytes)
	}
	return data, nil
}
