package guard

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// maxSharedEntries bounds the entries that a node shares with the others.
const maxSharedEntries = 16

// fingerprint identifies equivalent requests: those with the same service, method, path and
// query, caller, and buffered part of the body.
func fingerprint(r *relay.Request) quarantine.Fingerprint {
	callerAndBody := r.CallerService + "/" + strconv.FormatUint(xxhash.Sum64(r.Body.Buffered()), 16)
	return quarantine.FingerprintOf(r.Service, r.Method, callerAndBody, r.RequestURI)
}

// crashCounts holds the crash counts of requests that were in flight when a target crashed. Each
// node counts the crashes that it saw itself; a request is refused when the sum over all nodes
// reaches the policy's limit.
type crashCounts struct {
	policy  quarantine.Policy
	tracker *quarantine.Tracker
	// byNode holds the counts of the other nodes, by node name.
	byNode map[string][]quarantine.Entry
	// succeededAt holds the time at which a request suspected by other nodes last succeeded here.
	succeededAt map[quarantine.Fingerprint]time.Time
}

func newCrashCounts() crashCounts {
	policy := quarantine.DefaultPolicy()
	return crashCounts{
		policy: policy, tracker: quarantine.New(policy),
		byNode: make(map[string][]quarantine.Entry), succeededAt: make(map[quarantine.Fingerprint]time.Time),
	}
}

// isBanned reports whether requests with the fingerprint have crashed too many targets.
func (s *crashCounts) isBanned(now time.Time, f quarantine.Fingerprint) bool {
	if verdict, _ := s.tracker.Check(now, f); verdict == quarantine.Banned {
		return true
	}
	crashes := s.crashesOnOtherNodes(f)
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

// crashesOnOtherNodes sums the crashes counted by other nodes since the request last succeeded
// here.
func (s *crashCounts) crashesOnOtherNodes(f quarantine.Fingerprint) int {
	crashes := 0
	for _, entries := range s.byNode {
		for _, e := range entries {
			if e.Fingerprint == f && e.Last.After(s.succeededAt[f]) {
				crashes += e.Crashes
			}
		}
	}
	return crashes
}

// beginTracked records a request as in flight at the target, or refuses it if its fingerprint is
// banned.
func (g *Guard) beginTracked(r *relay.Request) (quarantine.Fingerprint, outcome.Reason) {
	f := fingerprint(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.isBanned(time.Now(), f) {
		return f, outcome.ReasonQuarantined
	}
	g.crashes.tracker.Begin(f)
	return f, outcome.ReasonNone
}

// endTracked records how a request ended at the target.
func (g *Guard) endTracked(f quarantine.Fingerprint, result relay.Result) {
	succeeded := result.Outcome == outcome.Answered
	connectionBroke := result.Outcome == outcome.Unknown &&
		(result.Reason == outcome.ReasonTargetLost || result.Reason == outcome.ReasonTruncated)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.tracker.Finish(now, f, succeeded, connectionBroke)
	if succeeded && g.crashes.crashesOnOtherNodes(f) > 0 {
		g.crashes.succeededAt[f] = now
	}
}

// TargetEnded records that the target's process ended without announcing it: the requests that
// were in flight become suspects.
func (g *Guard) TargetEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.crashes.tracker.Crash(time.Now()) {
		g.log.Warn("request suspected", "fingerprint", uint64(c.Fingerprint), "reason", "in flight when the target process ended")
	}
}

// Suspects returns this node's own crash counts, to be shared with the other nodes.
func (g *Guard) Suspects() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.crashes.tracker.Entries(time.Now())
	return entries[:min(maxSharedEntries, len(entries))]
}

// SetSuspects replaces the crash counts received from another node.
func (g *Guard) SetSuspects(node string, entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(entries) == 0 {
		delete(g.crashes.byNode, node)
		if len(g.crashes.byNode) == 0 {
			clear(g.crashes.succeededAt)
		}
		return
	}
	g.crashes.byNode[node] = entries
}
