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

// suspect records a request that goes to the target, unless requests like it have crashed targets.
func (g *Guard) suspect(r *relay.Request) (quarantine.Fingerprint, outcome.Reason) {
	f := fingerprint(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if verdict, _ := g.tracker.Check(time.Now(), f); verdict == quarantine.Banned {
		return f, outcome.ReasonQuarantined
	}
	g.tracker.Begin(f)
	return f, outcome.ReasonNone
}

// ended records how a request ended at the target.
func (g *Guard) ended(f quarantine.Fingerprint, result relay.Result) {
	well := result.Outcome == outcome.Answered
	broken := result.Outcome == outcome.Unknown &&
		(result.Reason == outcome.ReasonTargetLost || result.Reason == outcome.ReasonTruncated)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Finish(time.Now(), f, well, broken)
}

// TargetEnded records that the target's process ended without a word: what was in flight is
// suspected.
func (g *Guard) TargetEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.tracker.Crash(time.Now()) {
		g.log.Warn("request suspected", "fingerprint", uint64(c.Fingerprint), "reason", "in flight as the target ended")
	}
}

// Suspects returns the requests that are suspected or banned, for other nodes.
func (g *Guard) Suspects() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.tracker.Entries(time.Now())
	return entries[:min(maxShared, len(entries))]
}

// Learn takes in what another node suspects.
func (g *Guard) Learn(entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Merge(entries)
}
