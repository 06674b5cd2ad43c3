package guard

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// maxShared bounds the suspects that a node tells others of.
const maxShared = 16

// fingerprint identifies requests that are alike: the same path, caller and body.
func fingerprint(r *relay.Request) quarantine.Fingerprint {
	sender := r.CallerService + "/" + strconv.FormatUint(xxhash.Sum64(r.Body.Memory()), 16)
	return quarantine.FingerprintOf(r.Service, r.Method, sender, r.Target)
}

// suspicion is what this node and the others know of requests that crash targets. Each node counts
// the crashes that it saw itself; a request is refused when the counts of all add up.
type suspicion struct {
	policy  quarantine.Policy
	tracker *quarantine.Tracker
	// others are the counts of the other nodes, by name.
	others map[string][]quarantine.Entry
	// well is when a request that others suspect last ended well here.
	well map[quarantine.Fingerprint]time.Time
}

func newSuspicion() suspicion {
	policy := quarantine.DefaultPolicy()
	return suspicion{
		policy: policy, tracker: quarantine.New(policy),
		others: make(map[string][]quarantine.Entry), well: make(map[quarantine.Fingerprint]time.Time),
	}
}

// isBanned reports whether requests like it have crashed too many targets.
func (s *suspicion) isBanned(now time.Time, f quarantine.Fingerprint) bool {
	if verdict, _ := s.tracker.Check(now, f); verdict == quarantine.Banned {
		return true
	}
	crashes := s.crashesElsewhere(f)
	if crashes == 0 {
		return false
	}
	for _, e := range s.tracker.Entries(now) {
		if e.Fingerprint == f {
			crashes += e.Crashes
		}
	}
	return crashes >= s.policy.BanAfter
}

// crashesElsewhere counts the crashes that other nodes saw after the request last ended well here.
func (s *suspicion) crashesElsewhere(f quarantine.Fingerprint) int {
	crashes := 0
	for _, entries := range s.others {
		for _, e := range entries {
			if e.Fingerprint == f && e.Last.After(s.well[f]) {
				crashes += e.Crashes
			}
		}
	}
	return crashes
}

// suspect records a request that goes to the target, unless requests like it have crashed targets.
func (g *Guard) suspect(r *relay.Request) (quarantine.Fingerprint, outcome.Reason) {
	f := fingerprint(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspicion.isBanned(time.Now(), f) {
		return f, outcome.ReasonQuarantined
	}
	g.suspicion.tracker.Begin(f)
	return f, outcome.ReasonNone
}

// ended records how a request ended at the target.
func (g *Guard) ended(f quarantine.Fingerprint, result relay.Result) {
	well := result.Outcome == outcome.Answered
	broken := result.Outcome == outcome.Unknown &&
		(result.Reason == outcome.ReasonTargetLost || result.Reason == outcome.ReasonTruncated)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspicion.tracker.Finish(now, f, well, broken)
	if well && g.suspicion.crashesElsewhere(f) > 0 {
		g.suspicion.well[f] = now
	}
}

// TargetEnded records that the target's process ended without a word: what was in flight is
// suspected.
func (g *Guard) TargetEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.suspicion.tracker.Crash(time.Now()) {
		g.log.Warn("request suspected", "fingerprint", uint64(c.Fingerprint), "reason", "in flight as the target ended")
	}
}

// Suspects returns the crashes that this node has counted, for the others.
func (g *Guard) Suspects() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.suspicion.tracker.Entries(time.Now())
	return entries[:min(maxShared, len(entries))]
}

// Learn takes in what another node has counted, in place of what it told before.
func (g *Guard) Learn(node string, entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(entries) == 0 {
		delete(g.suspicion.others, node)
		if len(g.suspicion.others) == 0 {
			clear(g.suspicion.well)
		}
		return
	}
	g.suspicion.others[node] = entries
}
