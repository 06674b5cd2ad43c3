package quarantine

import (
	"slices"
	"time"
)

// Policy holds the settings of a Tracker.
type Policy struct {
	// BanAfter is the number of crashes after which a fingerprint is refused.
	BanAfter int
	// BanTime is how long it is refused. After it one more crash bans it again.
	BanTime time.Duration
	// SuspectTime is how long a suspicion lasts without a new crash.
	SuspectTime time.Duration
	// BlameTime is how long before the news of a crash a call may have broken off to be
	// counted as in flight at the crash.
	BlameTime time.Duration
	// MaxEntries bounds the suspects and bans; the oldest are forgotten first.
	MaxEntries int
}

// DefaultPolicy returns the settings for targets with up to about 100 calls in flight.
func DefaultPolicy() Policy {
	return Policy{
		BanAfter:    2,
		BanTime:     10 * time.Minute,
		SuspectTime: 10 * time.Minute,
		BlameTime:   5 * time.Second,
		MaxEntries:  512,
	}
}

// Entry is what is known of one fingerprint. It is the form that nodes of a cell share.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes is the number of crashes counted; zero clears the fingerprint.
	Crashes int `json:"crashes"`
	// Last is the wall time of the last change.
	Last time.Time `json:"last"`
	// BannedUntil is the wall time at which the ban ends; zero without a ban.
	BannedUntil time.Time `json:"banned_until"`
}

// Verdict is what may be done with a request.
type Verdict uint8

const (
	// Free means that nothing speaks against the request.
	Free Verdict = iota + 1
	// Suspect means that the request may run, but not beside another suspect.
	Suspect
	// Banned means that the request is refused.
	Banned
)

// ChangeKind is what happened to a fingerprint.
type ChangeKind uint8

const (
	// Crashed means that the fingerprint was in flight at a crash.
	Crashed ChangeKind = iota + 1
	// Cleared means that a suspect ended well.
	Cleared
)

// resolution is that of the times of changes, so that a change is equal to itself wherever it was
// sent.
const resolution = time.Millisecond

// Change is one event that the nodes of a cell share.
type Change struct {
	Fingerprint Fingerprint
	Kind        ChangeKind
	// At is the wall time of the event.
	At time.Time
}

// Fold applies changes to the cell's entries and drops those that no longer count. The result
// is written back on the version that entries were read from.
func (p Policy) Fold(now time.Time, entries []Entry, changes []Change) []Entry {
	byPrint := map[Fingerprint]Entry{}
	for _, e := range entries {
		byPrint[e.Fingerprint] = e
	}
	for _, c := range changes {
		e, known := byPrint[c.Fingerprint]
		if !known {
			e = Entry{Fingerprint: c.Fingerprint}
		}
		byPrint[c.Fingerprint] = p.changed(e, c)
	}
	out := make([]Entry, 0, len(byPrint))
	for _, e := range byPrint {
		if now.Sub(e.Last) <= p.SuspectTime+p.BanTime {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// changed returns the entry after one change.
func (p Policy) changed(e Entry, c Change) Entry {
	verdict, _ := p.verdict(c.At, e)
	if c.Kind == Cleared || verdict == Free {
		e = Entry{Fingerprint: e.Fingerprint}
	}
	e.Last = c.At
	if c.Kind == Cleared {
		return e
	}
	e.Crashes++
	if e.Crashes >= p.BanAfter {
		e.BannedUntil = c.At.Add(p.BanTime)
	}
	return e
}

// verdict returns what an entry means now and, for Banned, the time left.
func (p Policy) verdict(now time.Time, e Entry) (Verdict, time.Duration) {
	if e.Crashes == 0 {
		return Free, 0
	}
	if left := e.BannedUntil.Sub(now); left > 0 {
		return Banned, left
	}
	since := e.Last
	if !e.BannedUntil.IsZero() {
		since = e.BannedUntil
	}
	if now.Sub(since) > p.SuspectTime {
		return Free, 0
	}
	return Suspect, 0
}
