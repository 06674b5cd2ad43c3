// Package quarantine detects requests that crash the targets that run them (poison requests).
//
// Requests in flight when a target crashes become suspects. A suspect runs concurrently with
// ordinary requests but never with another suspect, so a second crash identifies a single request,
// which is then banned for a time. A suspect that completes successfully is cleared. Crash counts
// are shared within a cell: a node applies its Changes to the cell's entries with Fold, and Merge
// imports the result into each node's Tracker.
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

// broken is a request whose connection to the target broke.
type broken struct {
	fingerprint Fingerprint
	at          time.Time
}

// Tracker records the requests in flight on one target and the suspects and bans of the cell.
type Tracker struct {
	policy   Policy
	inFlight map[Fingerprint]int
	// brokenOff lists requests whose connection broke recently, possibly because of a crash that
	// has not been reported yet.
	brokenOff []broken
	entries   map[Fingerprint]*Entry
}

// New returns a tracker without suspects.
func New(policy Policy) *Tracker {
	return &Tracker{policy: policy, inFlight: map[Fingerprint]int{}, entries: map[Fingerprint]*Entry{}}
}

// Check returns the verdict on a fingerprint and, for Banned, the remaining time of the ban.
func (t *Tracker) Check(now time.Time, f Fingerprint) (Verdict, time.Duration) {
	e, known := t.entries[f]
	if !known {
		return Free, 0
	}
	return t.policy.verdict(now, *e)
}

// Begin records that a request is sent to the target.
func (t *Tracker) Begin(f Fingerprint) { t.inFlight[f]++ }

// Finish records that a request has ended. well tells that it completed successfully; a suspect is
// then cleared, and the change to publish is returned. isBroken tells that the connection broke;
// the request then still counts as in flight for BlameTime.
func (t *Tracker) Finish(now time.Time, f Fingerprint, well, isBroken bool) []Change {
	if t.inFlight[f]--; t.inFlight[f] <= 0 {
		delete(t.inFlight, f)
	}
	if isBroken {
		t.brokenOff = append(t.brokenOff, broken{fingerprint: f, at: now})
		t.trimBroken(now)
		return nil
	}
	e, known := t.entries[f]
	if !well || !known || e.Crashes == 0 {
		return nil
	}
	return []Change{t.apply(Change{Fingerprint: f, Kind: Cleared, At: now.Truncate(resolution)})}
}

// Crash attributes the end of the target's process to the requests that were in flight, and
// returns the changes to publish. If suspects were in flight, only they are blamed: they were in
// flight at an earlier crash, and no two of them run concurrently.
func (t *Tracker) Crash(now time.Time) []Change {
	blamed := t.blamed(now)
	t.brokenOff = nil
	suspects := slices.DeleteFunc(slices.Clone(blamed), func(f Fingerprint) bool {
		verdict, _ := t.Check(now, f)
		return verdict == Free
	})
	if len(suspects) > 0 {
		blamed = suspects
	}
	changes := make([]Change, 0, len(blamed))
	for _, f := range blamed {
		changes = append(changes, t.apply(Change{Fingerprint: f, Kind: Crashed, At: now.Truncate(resolution)}))
	}
	t.forgetOldest()
	return changes
}

func (t *Tracker) apply(c Change) Change {
	e, known := t.entries[c.Fingerprint]
	if !known {
		e = &Entry{Fingerprint: c.Fingerprint}
		t.entries[c.Fingerprint] = e
	}
	*e = t.policy.changed(*e, c)
	return c
}

// Merge imports the cell's entries; for each fingerprint the later change wins. At equal times the
// cell's entry wins, since it includes this node's own change and those of other nodes.
func (t *Tracker) Merge(entries []Entry) {
	for _, in := range entries {
		if e, known := t.entries[in.Fingerprint]; known && in.Last.Before(e.Last) {
			continue
		}
		t.entries[in.Fingerprint] = &in
	}
	t.forgetOldest()
}

// Entries returns the entries of all current suspects and bans, ordered by fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry {
	var out []Entry
	for f, e := range t.entries {
		if verdict, _ := t.Check(now, f); verdict != Free {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (t *Tracker) blamed(now time.Time) []Fingerprint {
	t.trimBroken(now)
	set := map[Fingerprint]bool{}
	for f := range t.inFlight {
		set[f] = true
	}
	for _, b := range t.brokenOff {
		set[b.fingerprint] = true
	}
	list := make([]Fingerprint, 0, len(set))
	for f := range set {
		list = append(list, f)
	}
	slices.SortFunc(list, compare)
	return list
}

func (t *Tracker) trimBroken(now time.Time) {
	t.brokenOff = slices.DeleteFunc(t.brokenOff, func(b broken) bool { return now.Sub(b.at) > t.policy.BlameTime })
}

func (t *Tracker) forgetOldest() {
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

func compare(a, b Fingerprint) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
