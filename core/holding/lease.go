package holding

import "time"

// driftPercent bounds by how many percent one clock may run slower than another: a target's clock
// may run 2 % slow (the platform's page on keys), and 1 % more covers the clocks of the nodes.
const driftPercent = 3

// AddDrift returns the time on the local clock after which at least d has passed on every clock
// within the drift bound.
func AddDrift(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// subtractDrift returns the longest time that, measured on any clock within the drift bound, is
// over before d has passed on the local clock.
func subtractDrift(d time.Duration) time.Duration { return d * 100 / (100 + driftPercent) }

// Lease is a node's right to grant keys to its target. Its time counts from before the node sent
// the write that renewed it. Renewals are conditional writes of the node's entry in the store: as
// long as each one replaces the node's own previous write, nobody has revoked the lease in between,
// and the node may resume it even after it lapsed.
//
// A lease is proved once the table of the target's service has been written since the lease was
// acquired. Only a proved lease allows grants.
type Lease struct {
	// Length is how long a renewal lasts.
	Length time.Duration
	// Promise is how long the promises of other nodes extend the lease, and Limit is the latest
	// time after the renewal up to which they can extend it.
	Promise, Limit       time.Duration
	renewedAt, expiresAt time.Duration
	// proved is set once a takeover decided before the lease was acquired can no longer change the
	// table.
	proved bool
}

// Renewed records a successful renewal that was sent at sent. continued reports whether it
// replaced an entry of this node that was not revoked.
func (l *Lease) Renewed(sent time.Duration, continued bool) {
	l.renewedAt, l.expiresAt = sent, sent+l.Length
	if !continued {
		l.proved = false
	}
}

// Extended records that a majority of the voters granted the extension requested at sent. Only a
// valid and proved lease can be extended.
func (l *Lease) Extended(sent time.Duration) {
	if l.proved && sent < l.expiresAt {
		l.expiresAt = max(l.expiresAt, min(sent+l.Promise, l.renewedAt+l.Limit))
	}
}

// IsOverdue reports whether the lease is proved and valid but its last renewal is older than maxAge.
func (l *Lease) IsOverdue(now, maxAge time.Duration) bool {
	return l.proved && l.Valid(now) && now-l.renewedAt > maxAge
}

// Lost records that the entry was revoked or replaced.
func (l *Lease) Lost() { l.expiresAt, l.proved = 0, false }

// Prove records that the table was written since the lease was acquired, by whichever node: the conditional
// write of a takeover that was decided earlier then fails.
func (l *Lease) Prove() { l.proved = true }

// Unprove records that the store may have lost the write that proved the lease.
func (l *Lease) Unprove() { l.proved = false }

// Proved reports whether Prove was called since the lease was last acquired.
func (l *Lease) Proved() bool { return l.proved }

// Valid reports whether the lease has not lapsed, proved or not.
func (l *Lease) Valid(now time.Duration) bool { return now < l.expiresAt }

// Remaining returns the remaining time of the lease, zero after its end.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(0, l.expiresAt-now) }

// GrantDuration returns how long the node's target may be granted keys from now on, at most limit;
// zero means that it may not be granted any.
func (l *Lease) GrantDuration(now, limit time.Duration) time.Duration {
	if !l.proved || now >= l.expiresAt {
		return 0
	}
	return min(limit, subtractDrift(l.expiresAt-now))
}

// LeaseWatch tracks the lease of another node by the versions of its entry in the store.
type LeaseWatch struct {
	Version int64
	// Seen is when this version was first read.
	Seen time.Duration
}

// Observe records the version of the entry as read at now.
func (w *LeaseWatch) Observe(version int64, now time.Duration) {
	if version > w.Version {
		w.Version, w.Seen = version, now
	}
}

// Lapsed reports whether a lease of the given length, renewed by the latest version read, has
// ended on the clocks of its holder and of the holder's target.
func (w *LeaseWatch) Lapsed(now, length time.Duration) bool { return now >= w.Seen+AddDrift(length) }
