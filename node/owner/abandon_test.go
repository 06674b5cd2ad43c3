package owner

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// grantEnd returns the latest end of a grant that the target was sent.
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

// TestAbandonWaitsForGrants takes the target's answers away. Its slices are given up only when
// every grant that it was sent has lapsed.
func TestAbandonWaitsForGrants(t *testing.T) {
	s := newStand(t)
	slices := []keyspace.SliceID{onlySlice}
	s.fake.setDown(true, true)
	eventually(t, "target suspect", func() bool { return s.link.Info().State == plane.TargetSuspect })
	if s.owner.Abandon(slices, "test") || s.held() != 1 {
		t.Fatal("given up while the target may hold a grant")
	}
	s.jump(grantHorizon)
	if !s.owner.Abandon(slices, "test") || s.held() != 0 {
		t.Fatal("not given up although every grant has lapsed")
	}
	s.adopt(1, time.Now(), nil)
	if s.held() != 0 {
		t.Error("a late renewal brought the slice back")
	}
}

// TestAbandonNeedsFences keeps the slices of a target that lets lapsed work take effect.
func TestAbandonNeedsFences(t *testing.T) {
	s := newStand(t)
	s.announce(2, false)
	s.waitReady(2)
	s.jump(time.Minute)
	if s.owner.Abandon([]keyspace.SliceID{onlySlice}, "test") {
		t.Error("given up although the target does not check fences")
	}
}

// TestUnansweredGrantsAreNotProlonged lets exchanges of grants fail while probes are answered:
// the target may have got them, and none that follows may outlast them.
func TestUnansweredGrantsAreNotProlonged(t *testing.T) {
	s := newStand(t)
	s.fake.setDown(true, false)
	s.owner.requestPush()
	eventually(t, "an exchange failed", func() bool { _, unanswered := s.grantEnd(); return unanswered })
	first, _ := s.grantEnd()
	tries := s.fake.grantExchanges()
	eventually(t, "more exchanges", func() bool { return s.fake.grantExchanges() >= tries+3 })
	if now, _ := s.grantEnd(); now != first && s.clock() < first {
		t.Errorf("grants prolonged from %v to %v", first, now)
	}
	s.fake.setDown(false, false)
	eventually(t, "answered again", func() bool { _, unanswered := s.grantEnd(); return !unanswered })
}

// TestSuspectTargetGetsNoGrant checks that nothing prolongs the grants of a suspect target.
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
