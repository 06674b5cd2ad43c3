package feed

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fanout"
	"github.com/auburnrelay/auburnrelay/node/peercall"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Path is the HTTP path at which a node answers its followers.
const Path = "/auburnrelay/feed"

const (
	// maxHold is how long a node holds a request while there is nothing new to answer, and minHold the
	// shortest time that a follower allows.
	maxHold = 800 * time.Millisecond
	minHold = 50 * time.Millisecond
	// unknownHold is the hold while a follower knows no state yet.
	unknownHold = 250 * time.Millisecond
	// answerMargin is the time allowed for the answer after the hold. Nodes of a region are a few
	// milliseconds apart, but a node may be busy.
	answerMargin = 250 * time.Millisecond
	// maxAge bounds the ages in messages, so that they can be subtracted from a time. Sources are left long
	// before their state is as old.
	maxAge = time.Hour
	// receivePatience is added to a node's patience while its source receives a response: the node
	// would have to receive the same.
	receivePatience = time.Second
)

// request asks for the objects after a version, by prefix.
type request struct {
	After      map[string]objects.Version `json:"after"`
	HoldMillis int64                      `json:"hold_ms"`
}

// response holds the news by prefix. A prefix whose state the node does not know is missing.
type response struct {
	Prefixes map[string]news `json:"prefixes"`
	// Receiving is set while the node or its source receives a response that may hold news.
	Receiving bool `json:"receiving,omitempty"`
}

// news is the state after the requested version.
type news struct {
	Objects []packedObject  `json:"objects,omitempty"`
	Next    objects.Version `json:"next"`
	// Present holds the keys of all objects, if the node may lack tombstones after the requested version.
	Present []string `json:"present,omitempty"`
	// IsComplete is set if Present is given, possibly empty.
	IsComplete bool `json:"is_complete,omitempty"`
	// AgeMillis is how long ago the state was confirmed to be current.
	AgeMillis int64 `json:"age_ms"`
	// CurrentAgeMillis is how long ago the state is known to have been that of the store.
	CurrentAgeMillis int64 `json:"current_age_ms"`
}

// follow asks the source once for news and leaves the source if it fails or is not current.
func (f *Feed) follow(ctx context.Context, place fanout.Place, address string) {
	hold := f.holdTime(place)
	callCtx, cancel := context.WithTimeout(ctx, hold+answerMargin)
	defer cancel()
	callCtx, receipt := f.observeReceipt(callCtx)
	defer receipt.end()
	var answer response
	err := peercall.Do(callCtx, f.cfg.Pool, address, Path, request{After: f.known(), HoldMillis: hold.Milliseconds()}, &answer)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.avoid(place.Source, err.Error())
		return
	}
	f.setSourceReceives(answer.Receiving)
	now := f.cfg.Clock()
	for prefix, n := range answer.Prefixes {
		if f.replicas[prefix] != nil {
			f.apply(prefix, update{
				objects: n.Objects, present: n.presentSet(), next: n.Next,
				confirmedAt: now - ageOf(n.AgeMillis), currentAt: receipt.beganAt() - ageOf(n.CurrentAgeMillis),
			})
		}
	}
	if age, known := f.Age(); !known && f.isStarting(place) {
		return
	} else if !known {
		f.avoid(place.Source, "state not known there")
	} else if age > f.patience(place) {
		f.avoid(place.Source, "state not confirmed for "+age.String())
	}
}

// presentSet returns the keys of all objects as a set; nil if they are not given.
func (n news) presentSet() map[string]bool {
	if !n.IsComplete {
		return nil
	}
	present := make(map[string]bool, len(n.Present))
	for _, key := range n.Present {
		present[key] = true
	}
	return present
}

// ageOf returns the age that a node has named in milliseconds.
func ageOf(millis int64) time.Duration {
	return time.Duration(max(0, min(millis, maxAge.Milliseconds()))) * time.Millisecond
}

func (f *Feed) setSourceReceives(receives bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceReceives = receives
}

// patience returns how old the last confirmation may be before the node leaves its source.
func (f *Feed) patience(place fanout.Place) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sourceReceives {
		return place.Patience() + receivePatience
	}
	return place.Patience()
}

// holdTime returns how long the source may hold the next request, so that the node notices in time
// that its state is no longer confirmed.
func (f *Feed) holdTime(place fanout.Place) time.Duration {
	age, known := f.Age()
	if !known {
		return unknownHold
	}
	return min(maxHold, max(minHold, f.patience(place)-age))
}

// known returns the versions up to which the state is known, by prefix.
func (f *Feed) known() map[string]objects.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make(map[string]objects.Version, len(f.replicas))
	for prefix, r := range f.replicas {
		versions[prefix] = r.next
	}
	return versions
}

// ServeHTTP answers a follower as soon as there are newer objects or the state has been confirmed
// since the request arrived, and otherwise at the end of the hold.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.cfg.Clock()
	var q request
	if !peercall.Read(w, r, &q) {
		return
	}
	timer := time.NewTimer(min(maxHold, time.Duration(q.HoldMillis)*time.Millisecond))
	defer timer.Stop()
	for held := true; held; {
		answer, ready, changed := f.newsSince(q, arrived)
		if ready {
			peercall.Answer(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			held = false
		case <-r.Context().Done():
			return
		}
	}
	answer, _, _ := f.newsSince(q, arrived)
	peercall.Answer(w, answer)
}

// newsSince returns the answer to a request, whether it is worth sending before the hold ends, and a
// channel that is closed at the next change.
func (f *Feed) newsSince(q request, arrived time.Duration) (response, bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := response{Prefixes: make(map[string]news), Receiving: f.receiving > 0 || f.sourceReceives}
	hasNewer, isConfirmed := false, true
	now := f.cfg.Clock()
	for prefix, after := range q.After {
		r := f.replicas[prefix]
		if r == nil || !r.known {
			isConfirmed = false
			continue
		}
		n := news{Objects: r.objectsAfter(after), Next: r.next, AgeMillis: (now - r.confirmedAt).Milliseconds(), CurrentAgeMillis: (now - r.currentAt).Milliseconds()}
		if n.IsComplete = after < r.deletionsSince; n.IsComplete {
			n.Present = r.presentKeys()
		}
		hasNewer = hasNewer || len(n.Objects) > 0
		isConfirmed = isConfirmed && r.confirmedAt >= arrived
		answer.Prefixes[prefix] = n
	}
	return answer, hasNewer || isConfirmed, f.changed
}
