// Package quarantine finds the request that crashes each target that runs it.
//
// What is in flight when a target crashes is suspected. A suspect runs beside ordinary work
// but never beside another suspect, so a second crash accuses one request only; it is then
// refused for a time. A suspect that ends well is cleared. Counts are shared across a cell: a
// node folds its Changes into the cell's entries, and Merge takes in the result.
//
// A Tracker is pure: times are passed in, and the user serialises the calls.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are alike: the same service, method, key and path.
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

type broken struct {
	fingerprint Fingerprint
	at          time.Time
}

// Tracker follows what is in flight on one target and what is suspected in the cell.
type Tracker struct {
	policy   Policy
	inFlight map[Fingerprint]int
	// brokenOff holds calls whose connection broke lately; a crash may be the cause.
	brokenOff []broken
	entries   map[Fingerprint]*Entry
}

// New returns a tracker that suspects nothing.
func New(policy Policy) *Tracker {
	return &Tracker{policy: policy, inFlight: map[Fingerprint]int{}, entries: map[Fingerprint]*Entry{}}
}

// Check returns the verdict on a fingerprint and, for Banned, the time left of the ban.
func (t *Tracker) Check(now time.Time, f Fingerprint) (Verdict, time.Duration) {
	e, known := t.entries[f]
	if !known {
		return Free, 0
	}
	return t.policy.verdict(now, *e)
}

// Begin records that a request goes to the target.
func (t *Tracker) Begin(f Fingerprint) { t.inFlight[f]++ }

// Finish records that a request has ended. A broken one stays under suspicion for a while;
// one that ended well is cleared, and the change is returned to be published.
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

// Crash blames what was in flight when the target's process ended, and returns the changes to
// be published. When suspects were in flight they alone are blamed: they were in flight at a
// crash before, and no two of them run at a time.
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

// Merge takes in the cell's entries; the later change wins. At equal times the cell's entry wins:
// it holds this node's own change and those of others.
func (t *Tracker) Merge(entries []Entry) {
	for _, in := range entries {
		if e, known := t.entries[in.Fingerprint]; known && in.Last.Before(e.Last) {
			continue
		}
		t.entries[in.Fingerprint] = &in
	}
	t.forgetOldest()
}

// Entries returns all suspects and bans that still count, in order of fingerprint.
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
