// Package quarantine detects requests that crash the targets that run them (poison requests).
//
// Requests in flight when a target crashes become suspects. A suspect runs concurrently with
// ordinary requests but never with another suspect, so a second crash identifies a single request,
// which is then banned for a time. A suspect that completes successfully is cleared. Crash counts
// are shared within a cell: a node applies its Changes to the cell's entries with ApplyChanges, and
// Merge imports the result into each node's Tracker.
//
// A Tracker reads no clock: times are passed in. It is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's service, method, key and path. Requests with the same
// fingerprint are treated as repetitions of each other.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service, method, key, path string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{service, method, key, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

// brokenRequest is a request whose connection to the target broke.
type brokenRequest struct {
	fingerprint Fingerprint
	at          time.Time
}

// Tracker records the requests in flight on one target and the suspects and bans of the cell.
type Tracker struct {
	policy   Policy
	inFlight map[Fingerprint]int
	// recentlyBroken lists requests whose connection broke recently, possibly because of a crash
	// that has not been reported yet.
	recentlyBroken []brokenRequest
	entries        map[Fingerprint]*Entry
}

// New returns a tracker without suspects.
func New(policy Policy) *Tracker {
	return &Tracker{policy: policy, inFlight: map[Fingerprint]int{}, entries: map[Fingerprint]*Entry{}}
}

// Check returns the verdict on a fingerprint and, for Banned, the remaining time of the ban.
func (t *Tracker) Check(now time.Time, f Fingerprint) (Verdict, time.Duration) {
	e, known := t.entries[f]
	if !known {
		return Allowed, 0
	}
	return t.policy.verdict(now, *e)
}

// Begin records that a request is sent to the target.
func (t *Tracker) Begin(f Fingerprint) { t.inFlight[f]++ }

// Finish records that a request has ended. succeeded tells that it completed successfully; a
// suspect is then cleared, and the change to publish is returned. connectionBroke tells that the
// connection broke; the request then still counts as in flight for BlameWindow.
func (t *Tracker) Finish(now time.Time, f Fingerprint, succeeded, connectionBroke bool) []Change {
	if t.inFlight[f]--; t.inFlight[f] <= 0 {
		delete(t.inFlight, f)
	}
	if connectionBroke {
		t.recentlyBroken = append(t.recentlyBroken, brokenRequest{fingerprint: f, at: now})
		t.dropExpiredBroken(now)
		return nil
	}
	e, known := t.entries[f]
	if !succeeded || !known || e.Crashes == 0 {
		return nil
	}
	return []Change{t.apply(Change{Fingerprint: f, Kind: Cleared, At: now.Truncate(timeResolution)})}
}

// Crash attributes the end of the target's process to the requests that were in flight, and
// returns the changes to publish. If suspects were in flight, only they are blamed: they were in
// flight at an earlier crash, and no two of them run concurrently.
func (t *Tracker) Crash(now time.Time) []Change {
	blamed := t.inFlightAtCrash(now)
	t.recentlyBroken = nil
	suspects := slices.DeleteFunc(slices.Clone(blamed), func(f Fingerprint) bool {
		verdict, _ := t.Check(now, f)
		return verdict == Allowed
	})
	if len(suspects) > 0 {
		blamed = suspects
	}
	changes := make([]Change, 0, len(blamed))
	for _, f := range blamed {
		changes = append(changes, t.apply(Change{Fingerprint: f, Kind: Crashed, At: now.Truncate(timeResolution)}))
	}
	t.evictOldest()
	return changes
}

func (t *Tracker) apply(c Change) Change {
	e, known := t.entries[c.Fingerprint]
	if !known {
		e = &Entry{Fingerprint: c.Fingerprint}
		t.entries[c.Fingerprint] = e
	}
	*e = t.policy.applyChange(*e, c)
	return c
}

// Merge imports the cell's entries; for each fingerprint the later change wins. At equal times the
// cell's entry wins, since it includes this node's own change and those of other nodes.
func (t *Tracker) Merge(entries []Entry) {
	for _, incoming := range entries {
		if e, known := t.entries[incoming.Fingerprint]; known && incoming.Last.Before(e.Last) {
			continue
		}
		t.entries[incoming.Fingerprint] = &incoming
	}
	t.evictOldest()
}

// Entries returns the entries of all current suspects and bans, ordered by fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry {
	var out []Entry
	for f, e := range t.entries {
		if verdict, _ := t.Check(now, f); verdict != Allowed {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

func (t *Tracker) inFlightAtCrash(now time.Time) []Fingerprint {
	t.dropExpiredBroken(now)
	set := map[Fingerprint]bool{}
	for f := range t.inFlight {
		set[f] = true
	}
	for _, b := range t.recentlyBroken {
		set[b.fingerprint] = true
	}
	list := make([]Fingerprint, 0, len(set))
	for f := range set {
		list = append(list, f)
	}
	slices.SortFunc(list, compareFingerprints)
	return list
}

func (t *Tracker) dropExpiredBroken(now time.Time) {
	t.recentlyBroken = slices.DeleteFunc(t.recentlyBroken, func(b brokenRequest) bool { return now.Sub(b.at) > t.policy.BlameWindow })
}

func (t *Tracker) evictOldest() {
	for len(t.entries) > t.policy.MaxEntries {
		var oldest *Entry
		for _, e := range t.entries {
			if oldest == nil || e.Last.Before(oldest.Last) {
				oldest = e
			}
		}
		delete(t.entries, oldest.Fingerprint)
	}
}

func compareFingerprints(a, b Fingerprint) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
