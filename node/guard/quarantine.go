package guard

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// maxShared bounds the entries that a node shares with the others.
const maxShared = 16

// fingerprint identifies equivalent requests: those with the same service, method, path, caller
// and body.
func fingerprint(r *relay.Request) quarantine.Fingerprint {
	sender := r.CallerService + "/" + strconv.FormatUint(xxhash.Sum64(r.Body.Memory()), 16)
	return quarantine.FingerprintOf(r.Service, r.Method, sender, r.Target)
}

// suspicion holds the crash counts of requests that were in flight when a target crashed. Each
// node counts the crashes that it saw itself; a request is refused when the sum over all nodes
// reaches the policy's limit.
type suspicion struct {
	policy  quarantine.Policy
	tracker *quarantine.Tracker
	// others holds the counts of the other nodes, by node name.
	others map[string][]quarantine.Entry
	// well holds the time at which a request suspected by other nodes last succeeded here.
	well map[quarantine.Fingerprint]time.Time
}

func newSuspicion() suspicion {
	policy := quarantine.DefaultPolicy()
	return suspicion{
		policy: policy, tracker: quarantine.New(policy),
		others: make(map[string][]quarantine.Entry), well: make(map[quarantine.Fingerprint]time.Time),
	}
}

// isBanned reports whether requests with the fingerprint have crashed too many targets.
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

// crashesElsewhere sums the crashes counted by other nodes since the request last succeeded here.
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

// suspect records a request as in flight at the target, or refuses it if its fingerprint is
// banned.
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

// TargetEnded records that the target's process ended without announcing it: the requests that
// were in flight become suspects.
func (g *Guard) TargetEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.suspicion.tracker.Crash(time.Now()) {
		g.log.Warn("request suspected", "fingerprint", uint64(c.Fingerprint), "reason", "in flight when the target process ended")
	}
}

// Suspects returns this node's own crash counts, to be shared with the other nodes.
func (g *Guard) Suspects() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.suspicion.tracker.Entries(time.Now())
	return entries[:min(maxShared, len(entries))]
}

// Learn replaces the crash counts received from another node.
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
