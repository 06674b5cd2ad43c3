package quarantine

import (
	"slices"
	"time"
)

// Policy holds the settings of a Tracker.
type Policy struct {
	// BanAfter is the number of crashes after which a fingerprint is refused.
	BanAfter int
	// BanDuration is how long it is refused. Afterwards it is a suspect again, and one more crash
	// bans it again.
	BanDuration time.Duration
	// SuspectDuration is how long a fingerprint stays a suspect without a new crash.
	SuspectDuration time.Duration
	// BlameWindow is how long before the report of a crash a request's connection may have broken
	// for the request to count as in flight at the crash.
	BlameWindow time.Duration
	// MaxEntries bounds the number of entries; the oldest are dropped first.
	MaxEntries int
}

// DefaultPolicy returns the settings for targets with up to about 100 requests in flight.
func DefaultPolicy() Policy {
	return Policy{
		BanAfter:        2,
		BanDuration:     10 * time.Minute,
		SuspectDuration: 10 * time.Minute,
		BlameWindow:     5 * time.Second,
		MaxEntries:      512,
	}
}

// Entry is the crash record of one fingerprint, as the nodes of a cell share it.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes is the number of counted crashes; zero means that the fingerprint is cleared.
	Crashes int `json:"crashes"`
	// Last is the wall time of the last change.
	Last time.Time `json:"last"`
	// BannedUntil is the wall time at which the latest ban ends; zero if there was none.
	BannedUntil time.Time `json:"banned_until"`
}

// Verdict tells how a request may run.
type Verdict uint8

const (
	// Allowed means that the request may run without restriction.
	Allowed Verdict = iota + 1
	// Suspect means that the request may run, but not concurrently with another suspect.
	Suspect
	// Banned means that the request is refused.
	Banned
)

// ChangeKind is the kind of a Change.
type ChangeKind uint8

const (
	// Crashed means that the fingerprint was in flight at a crash.
	Crashed ChangeKind = iota + 1
	// Cleared means that a suspect completed successfully.
	Cleared
)

// timeResolution is the precision of the times of changes, so that a change compares equal after it
// was sent to another node.
const timeResolution = time.Millisecond

// Change is an event concerning one fingerprint that the nodes of a cell share.
type Change struct {
	Fingerprint Fingerprint
	Kind        ChangeKind
	// At is the wall time of the event.
	At time.Time
}

// ApplyChanges applies changes to the cell's entries and drops expired ones. The caller must write
// the result conditionally on the version that entries were read from.
func (p Policy) ApplyChanges(now time.Time, entries []Entry, changes []Change) []Entry {
	byFingerprint := map[Fingerprint]Entry{}
	for _, e := range entries {
		byFingerprint[e.Fingerprint] = e
	}
	for _, c := range changes {
		e, known := byFingerprint[c.Fingerprint]
		if !known {
			e = Entry{Fingerprint: c.Fingerprint}
		}
		byFingerprint[c.Fingerprint] = p.applyChange(e, c)
	}
	out := make([]Entry, 0, len(byFingerprint))
	for _, e := range byFingerprint {
		if now.Sub(e.Last) <= p.SuspectDuration+p.BanDuration {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

// applyChange returns the entry updated by a change.
func (p Policy) applyChange(e Entry, c Change) Entry {
	verdict, _ := p.verdict(c.At, e)
	if c.Kind == Cleared || verdict == Allowed {
		e = Entry{Fingerprint: e.Fingerprint}
	}
	e.Last = c.At
	if c.Kind == Cleared {
		return e
	}
	e.Crashes++
	if e.Crashes >= p.BanAfter {
		e.BannedUntil = c.At.Add(p.BanDuration)
	}
	return e
}

// verdict returns the verdict that follows from an entry at now and, for Banned, the remaining
// time.
func (p Policy) verdict(now time.Time, e Entry) (Verdict, time.Duration) {
	if e.Crashes == 0 {
		return Allowed, 0
	}
	if left := e.BannedUntil.Sub(now); left > 0 {
		return Banned, left
	}
	since := e.Last
	if !e.BannedUntil.IsZero() {
		since = e.BannedUntil
	}
	if now.Sub(since) > p.SuspectDuration {
		return Allowed, 0
	}
	return Suspect, 0
}
