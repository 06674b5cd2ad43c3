package holding

import (
	"testing"
	"time"
)

// TestVoter checks the sequence of promises and consents of one voter.
func TestVoter(t *testing.T) {
	const s = time.Second
	v := NewVoter(2*s, 10*s)
	if v.Consent(11*s, "a", 7) {
		t.Error("consents while promises of the previous process may still be valid")
	}
	if v.Promise(11*s, "a", 6) || !v.Promise(11*s, "a", 8) {
		t.Error("promises must be refused before the latest revocation and made after it")
	}
	if v.Consent(13*s, "a", 9) || !v.Consent(11*s+AddDrift(2*s), "a", 9) {
		t.Error("consent must be refused until the promise has expired and given after it")
	}
	if v.Promise(20*s, "a", 8) || !v.Promise(20*s, "a", 10) {
		t.Error("after a consent, promises must be refused until the lease is acquired again")
	}
	if !v.Consent(20*s, "b", 1) {
		t.Error("consent refused for an owner without promises")
	}
	v.Revoked("c", 5)
	if v.Promise(20*s, "c", 4) {
		t.Error("makes a promise for a lease that is known to be revoked")
	}
}

func TestIsMajority(t *testing.T) {
	for _, c := range []struct {
		voters string
		yes    string
		want   bool
	}{{"", "", false}, {"a", "", false}, {"a", "a", true}, {"ab", "a", false}, {"abc", "ab", true}, {"abcd", "ab", false}, {"abc", "xyz", false}} {
		yes := make(map[string]bool)
		for _, name := range c.yes {
			yes[string(name)] = true
		}
		var voters []string
		for _, name := range c.voters {
			voters = append(voters, string(name))
		}
		if got := IsMajority(voters, yes); got != c.want {
			t.Errorf("yes from %q of voters %q: got %v", c.yes, c.voters, got)
		}
	}
}

// TestExtension checks that a lease is extended up to its limit, and only while it is valid and
// proved.
func TestExtension(t *testing.T) {
	const s = time.Second
	l := Lease{Length: 4 * s, Promise: 2 * s, Limit: 10 * s}
	l.Renewed(10*s, false)
	l.Extended(13 * s)
	if l.Valid(14 * s) {
		t.Error("an unproved lease is extended")
	}
	l.Renewed(20*s, true)
	l.Prove()
	for _, step := range []struct{ sent, until time.Duration }{{21 * s, 24 * s}, {23 * s, 25 * s}, {24 * s, 26 * s}, {25 * s, 27 * s}, {26 * s, 28 * s}, {27 * s, 29 * s}, {28500 * time.Millisecond, 30 * s}} {
		l.Extended(step.sent)
		if !l.Valid(step.until-1) || l.Valid(step.until) {
			t.Errorf("extension requested at %v: the lease does not end at %v", step.sent, step.until)
		}
	}
	l.Extended(31 * s)
	if l.Valid(31 * s) {
		t.Error("a lapsed lease is extended")
	}
	l.Renewed(40*s, true)
	l.Lost()
	l.Extended(41 * s)
	if l.Valid(41 * s) {
		t.Error("a lost lease is extended")
	}
}
