package holding

import "time"

// Voter is a node's state as a voter on the leases of other nodes. While the store is unreachable,
// an owner extends its lease by promises from a majority of the voters that its entry names. A node
// that has revoked the lease of an unresponsive owner takes its keys over only with the consent of
// a majority of the same voters, or once no extension can still be valid. A voter refuses consent
// while one of its own promises is valid, and makes no promise once it has consented.
//
// A Voter does no I/O and reads no clock. It is not safe for concurrent use.
type Voter struct {
	// promiseLength is how long a promise lasts. startedAt is when the process started: promises
	// that a former process of the node made before then may still be valid.
	promiseLength, startedAt time.Duration
	votes                    map[string]vote
}

type vote struct {
	// promisedUntil is the end of the latest promise.
	promisedUntil time.Duration
	// revokedVersion is the latest version of the owner's entry that is known to be a revocation.
	revokedVersion int64
}

// NewVoter returns the voter state of a process that starts now and whose promises last for
// promiseLength.
func NewVoter(promiseLength, now time.Duration) *Voter {
	return &Voter{promiseLength: promiseLength, startedAt: now, votes: make(map[string]vote)}
}

// Promise reports whether the voter promises an extension of the lease that the given version of
// the owner's entry renewed, and records the promise. The process must have read the store since it
// started: each consent of a former process was preceded by a revocation, which the store shows.
func (v *Voter) Promise(now time.Duration, owner string, version int64) bool {
	current := v.votes[owner]
	if current.revokedVersion > version {
		return false
	}
	current.promisedUntil = max(current.promisedUntil, now+AddDrift(v.promiseLength))
	v.votes[owner] = current
	return true
}

// Revoked records a revocation of an owner's lease; no promise is made for earlier versions.
func (v *Voter) Revoked(owner string, version int64) {
	current := v.votes[owner]
	current.revokedVersion = max(current.revokedVersion, version)
	v.votes[owner] = current
}

// Consent reports whether the voter consents to the takeover of an owner's keys by a node that
// revoked the lease with the given version of the owner's entry.
func (v *Voter) Consent(now time.Duration, owner string, version int64) bool {
	v.Revoked(owner, version)
	return now >= v.startedAt+AddDrift(v.promiseLength) && now >= v.votes[owner].promisedUntil
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
