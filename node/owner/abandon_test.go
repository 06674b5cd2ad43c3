package owner

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// grantEnd returns the latest expiry of any grant sent to the target.
func (s *stand) grantEnd() (until time.Duration, unanswered bool) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.owner.grantedUntil, s.owner.unanswered
}

func (s *stand) held() int {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return len(s.owner.slices)
}

// TestAbandonWaitsForGrants makes the target unreachable. Its slices must be given up only after
// every grant sent to it has expired, and a late renewal must not reopen them.
func TestAbandonWaitsForGrants(t *testing.T) {
	s := newStand(t)
	slices := []keyspace.SliceID{onlySlice}
	s.fake.setDown(true, true)
	eventually(t, "target suspect", func() bool { return s.link.Info().State == plane.TargetSuspect })
	if s.owner.Abandon(slices, "test") || s.held() != 1 {
		t.Fatal("given up while the target may hold an unexpired grant")
	}
	s.jump(grantHorizon)
	if !s.owner.Abandon(slices, "test") || s.held() != 0 {
		t.Fatal("not given up although every grant has expired")
	}
	s.adopt(1, time.Now(), nil)
	if s.held() != 0 {
		t.Error("a late renewal reopened the slice")
	}
}

// TestAbandonNeedsFences checks that slices are not given up while their target does not check
// fences: requests may take effect there after their grant has expired.
func TestAbandonNeedsFences(t *testing.T) {
	s := newStand(t)
	s.announce(2, false)
	s.waitReady(2)
	s.jump(time.Minute)
	if s.owner.Abandon([]keyspace.SliceID{onlySlice}, "test") {
		t.Error("given up although the target does not check fences")
	}
}

// TestUnansweredGrantsAreNotProlonged lets exchanges of grants fail while probes succeed. The
// target may have received the grants, so later ones must not outlast them.
func TestUnansweredGrantsAreNotProlonged(t *testing.T) {
	s := newStand(t)
	s.fake.setDown(true, false)
	s.owner.requestPush()
	eventually(t, "an exchange failed", func() bool { _, unanswered := s.grantEnd(); return unanswered })
	first, _ := s.grantEnd()
	tries := s.fake.grantExchanges()
	eventually(t, "more exchanges", func() bool { return s.fake.grantExchanges() >= tries+3 })
	if now, _ := s.grantEnd(); now != first && s.clock() < first {
		t.Errorf("grants extended from %v to %v", first, now)
	}
	s.fake.setDown(false, false)
	eventually(t, "answered again", func() bool { _, unanswered := s.grantEnd(); return !unanswered })
}

// TestSuspectTargetGetsNoGrant checks that the grants of a suspect target are not extended.
func TestSuspectTargetGetsNoGrant(t *testing.T) {
	s := newStand(t)
	s.fake.setDown(false, true)
	eventually(t, "target suspect", func() bool { return s.link.Info().State == plane.TargetSuspect })
	s.jump(grantHorizon)
	s.adopt(1, time.Now(), nil)
	tries := s.fake.grantExchanges()
	s.owner.sendOnce(t.Context())
	if until, _ := s.grantEnd(); until > s.clock() || s.fake.grantExchanges() > tries {
		t.Errorf("granted until %v, now %v", until, s.clock())
	}
}
