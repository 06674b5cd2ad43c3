package holding

import "time"

// Ballot is one node's part in the leases of others. While the store does not answer, an owner
// extends its lease by the promises of more than half of the voters that its entry names. A node
// that has revoked the lease of a silent owner takes its keys away only with the consent of more
// than half of the same voters, or when no extension can last any longer. A voter does not consent
// while a promise of its own runs, and promises nothing once it has consented.
//
// A Ballot is pure; the user serialises the calls.
type Ballot struct {
	// length is how long a promise lasts, and started is when the process began: a former one may
	// have promised until then.
	length, started time.Duration
	votes           map[string]vote
}

type vote struct {
	// promised is the end of the latest promise.
	promised time.Duration
	// revoked is the latest version of the owner's entry that is known as a revocation.
	revoked int64
}

// NewBallot returns the ballot of a process that starts now and gives promises of the length.
func NewBallot(length, now time.Duration) *Ballot {
	return &Ballot{length: length, started: now, votes: make(map[string]vote)}
}

// Promise answers an owner that asks for an extension of the lease which the version of its entry
// renewed. The process must have read the store since it started: consents of a former one are
// known from the revocations that came before them.
func (b *Ballot) Promise(now time.Duration, owner string, version int64) bool {
	v := b.votes[owner]
	if v.revoked > version {
		return false
	}
	v.promised = max(v.promised, now+Stretch(b.length))
	b.votes[owner] = v
	return true
}

// Revoked takes in a revocation of an owner's lease: versions before it are promised nothing.
func (b *Ballot) Revoked(owner string, version int64) {
	v := b.votes[owner]
	v.revoked = max(v.revoked, version)
	b.votes[owner] = v
}

// Consent answers a node that has revoked an owner's lease by the version of its entry.
func (b *Ballot) Consent(now time.Duration, owner string, version int64) bool {
	b.Revoked(owner, version)
	return now >= b.started+Stretch(b.length) && now >= b.votes[owner].promised
}

// IsMajority reports whether more than half of the voters said yes.
func IsMajority(voters []string, yes map[string]bool) bool {
	n := 0
	for _, name := range voters {
		if yes[name] {
			n++
		}
	}
	return 2*n > len(voters)
}
