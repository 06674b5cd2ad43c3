package holding

import "time"

// Ballot is a node's state as a voter on the leases of other nodes. While the store is unreachable,
// an owner extends its lease by promises from a majority of the voters that its entry names. A node
// that has revoked the lease of an unresponsive owner takes its keys over only with the consent of
// a majority of the same voters, or once no extension can still be valid. A voter refuses consent
// while one of its own promises is valid, and makes no promise once it has consented.
//
// A Ballot does no I/O and reads no clock. It is not safe for concurrent use.
type Ballot struct {
	// promiseLength is how long a promise lasts. startedAt is when the process started: promises
	// that its predecessor made before then may still be valid.
	promiseLength, startedAt time.Duration
	votes                    map[string]vote
}

type vote struct {
	// promisedUntil is the end of the latest promise.
	promisedUntil time.Duration
	// revokedVersion is the latest version of the owner's entry that is known to be a revocation.
	revokedVersion int64
}

// NewBallot returns the voter state of a process that starts now and whose promises last for
// promiseLength.
func NewBallot(promiseLength, now time.Duration) *Ballot {
	return &Ballot{promiseLength: promiseLength, startedAt: now, votes: make(map[string]vote)}
}

// Promise reports whether the voter promises an extension of the lease that the given version of
// the owner's entry renewed, and records the promise. The process must have read the store since it
// started: each consent of its predecessor was preceded by a revocation, which the store shows.
func (b *Ballot) Promise(now time.Duration, owner string, version int64) bool {
	v := b.votes[owner]
	if v.revokedVersion > version {
		return false
	}
	v.promisedUntil = max(v.promisedUntil, now+Stretch(b.promiseLength))
	b.votes[owner] = v
	return true
}

// Revoked records a revocation of an owner's lease; no promise is made for earlier versions.
func (b *Ballot) Revoked(owner string, version int64) {
	v := b.votes[owner]
	v.revokedVersion = max(v.revokedVersion, version)
	b.votes[owner] = v
}

// Consent reports whether the voter consents to the takeover of an owner's keys by a node that
// revoked the lease with the given version of the owner's entry.
func (b *Ballot) Consent(now time.Duration, owner string, version int64) bool {
	b.Revoked(owner, version)
	return now >= b.startedAt+Stretch(b.promiseLength) && now >= b.votes[owner].promisedUntil
}

// IsMajority reports whether more than half of the voters are marked in yes. Names in yes that are
// not voters don't count.
func IsMajority(voters []string, yes map[string]bool) bool {
	count := 0
	for _, name := range voters {
		if yes[name] {
			count++
		}
	}
	return 2*count > len(voters)
}
