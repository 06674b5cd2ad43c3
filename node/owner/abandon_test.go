package owner

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// latestGrantExpiry returns the latest expiry of any grant sent to the target.
func (s *fixture) latestGrantExpiry() (until time.Duration, unanswered bool) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.owner.grantedUntil, s.owner.grantsUnanswered
}

func (s *fixture) heldSlices() int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return len(s.owner.slices)
}

// TestAbandonWaitsForGrants makes the target unreachable. Its slices must be given up only after
// every grant sent to it has expired, and a late renewal must not reopen them.
func TestAbandonWaitsForGrants(t *testing.T) {
	s := newFixture(t)
	slices := []keyspace.SliceID{onlySlice}
	s.fake.setDown(true, true)
	eventually(t, "target suspect", func() bool { return s.link.Info().State == plane.TargetSuspect })
	if s.owner.Abandon(slices, "test") || s.heldSlices() != 1 {
		t.Fatal("given up while the target may hold an unexpired grant")
	}
	s.advanceClock(grantValidity)
	if !s.owner.Abandon(slices, "test") || s.heldSlices() != 0 {
		t.Fatal("not given up although every grant has expired")
	}
	s.adoptLease(1, time.Now(), nil)
	if s.heldSlices() != 0 {
		t.Error("a late renewal reopened the slice")
	}
}

// TestAbandonNeedsFences checks that slices are not given up while their target does not check
// fences: requests may take effect there after their grant has expired.
func TestAbandonNeedsFences(t *testing.T) {
	s := newFixture(t)
	s.announce(2, false)
	s.waitReady(2)
	s.advanceClock(time.Minute)
	if s.owner.Abandon([]keyspace.SliceID{onlySlice}, "test") {
		t.Error("given up although the target does not check fences")
	}
}

// TestUnansweredGrantsAreNotProlonged lets exchanges of grants fail while probes succeed. The
// target may have received the grants, so later ones must not outlast them.
func TestUnansweredGrantsAreNotProlonged(t *testing.T) {
	s := newFixture(t)
	s.fake.setDown(true, false)
	s.owner.requestSendGrants()
	eventually(t, "an exchange failed", func() bool { _, unanswered := s.latestGrantExpiry(); return unanswered })
	first, _ := s.latestGrantExpiry()
	tries := s.fake.grantExchanges()
	eventually(t, "more exchanges", func() bool { return s.fake.grantExchanges() >= tries+3 })
	if now, _ := s.latestGrantExpiry(); now != first && s.clock() < first {
		t.Errorf("grants extended from %v to %v", first, now)
	}
	s.fake.setDown(false, false)
	eventually(t, "answered again", func() bool { _, unanswered := s.latestGrantExpiry(); return !unanswered })
}

// TestSuspectTargetGetsNoGrant checks that the grants of a suspect target are not extended.
func TestSuspectTargetGetsNoGrant(t *testing.T) {
	s := newFixture(t)
	s.fake.setDown(false, true)
	eventually(t, "target suspect", func() bool { return s.link.Info().State == plane.TargetSuspect })
	s.advanceClock(grantValidity)
	s.adoptLease(1, time.Now(), nil)
	tries := s.fake.grantExchanges()
	s.owner.sendGrantsOnce(t.Context())
	if until, _ := s.latestGrantExpiry(); until > s.clock() || s.fake.grantExchanges() > tries {
		t.Errorf("granted until %v, now %v", until, s.clock())
	}
}
