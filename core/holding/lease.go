package holding

import "time"

// driftPercent is how much slower than another a clock may run, in percent: a target's clock may
// run 2 % slow (the platform's page on keys), and one more covers the nodes' own.
const driftPercent = 3

// Stretch returns the time after which d has passed on any clock.
func Stretch(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// shrink returns the time that surely ends before d on any clock.
func shrink(d time.Duration) time.Duration { return d * 100 / (100 + driftPercent) }

// Lease is a node's right to grant keys to its target. It lasts from before the node sent the
// write that renewed it. It is renewed by conditional writes of the node's entry: as long as each
// write replaces the node's own former one, nobody has revoked the lease in between, and it may
// be taken up again even after it lapsed.
type Lease struct {
	Length time.Duration
	// Promise is how long a promise of other nodes extends the lease, and Limit how long after the
	// renewal extensions may last.
	Promise, Limit time.Duration
	renewed, until time.Duration
	// proved tells that the tables name no former grants that somebody may be taking away.
	proved bool
}

// Renewed records a write that succeeded; sent is when it was sent. continued tells that it
// replaced an entry of this node that was not revoked.
func (l *Lease) Renewed(sent time.Duration, continued bool) {
	l.renewed, l.until = sent, sent+l.Length
	if !continued {
		l.proved = false
	}
}

// Extended records that enough voters have promised what they were asked for at sent. Only a lease
// that runs and is proved can be extended.
func (l *Lease) Extended(sent time.Duration) {
	if l.proved && sent < l.until {
		l.until = max(l.until, min(sent+l.Promise, l.renewed+l.Limit))
	}
}

// IsOverdue reports whether the lease runs and was not renewed within the time.
func (l *Lease) IsOverdue(now, within time.Duration) bool {
	return l.proved && l.Valid(now) && now-l.renewed > within
}

// Lost records that the entry was revoked or replaced.
func (l *Lease) Lost() { l.until, l.proved = 0, false }

// Prove records that the tables were written since the lease was taken: no takeover that was
// decided before can take effect any more.
func (l *Lease) Prove() { l.proved = true }

// Proved reports whether Prove was called since the lease was last taken.
func (l *Lease) Proved() bool { return l.proved }

// Valid reports whether the lease runs, proved or not.
func (l *Lease) Valid(now time.Duration) bool { return now < l.until }

// Left returns how long the lease still runs.
func (l *Lease) Left(now time.Duration) time.Duration { return max(0, l.until-now) }

// Hold returns for how long the node's target may be granted keys from now on; zero means not
// at all.
func (l *Lease) Hold(now, limit time.Duration) time.Duration {
	if !l.proved || now >= l.until {
		return 0
	}
	return min(limit, shrink(l.until-now))
}

// Watch follows the lease of another node by the versions of its entry.
type Watch struct {
	Version int64
	// Seen is when this version was seen first.
	Seen time.Duration
}

// Observe records the version of the entry as read at now.
func (w *Watch) Observe(version int64, now time.Duration) {
	if version > w.Version {
		w.Version, w.Seen = version, now
	}
}

// Lapsed reports whether a lease of the length, renewed by the version last seen, is over on the
// holder's clock and on those of its target.
func (w *Watch) Lapsed(now, length time.Duration) bool { return now >= w.Seen+Stretch(length) }
