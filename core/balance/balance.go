// Package balance selects a target for a request of a shared service, which any of several
// targets may serve.
//
// Picker uses only what the node itself measured, requests in flight and latency, and
// no load reports from targets. Reports chooses by the reports of the nodes beside the targets, which are asked before a
// request is sent. With Picker, targets in the node's own region are preferred. Among them two
// are drawn at random and the one with the lower expected wait is chosen ("power of two
// choices").
//
// A Picker reads no clock and draws no random numbers of its own: both are passed in. The
// caller must serialize the calls.
package balance

import (
	"math"
	"time"
)

// Policy holds the settings of a Picker.
type Policy struct {
	// Smoothing is the weight of one answer in the moving average of a target's latency.
	Smoothing float64
	// LatencyWeight is the exponent of the latency in a target's cost. At 0 only requests in
	// flight count, and a slow target still gets its full load. At 1 a slow target gets little
	// work, and the others carry its load.
	LatencyWeight float64
	// LatencyDecay is the time over which a measured latency without new samples decays to the
	// average of all targets, so that a target that was slow is tried again.
	LatencyDecay time.Duration
	// Penalty is how long a target that could not be reached is avoided, and the longest time for which
	// one that refused a request is. It doubles with each failure to reach the target in a row, up to
	// MaxPenalty: the node of a lost VM may stay listed for several seconds.
	Penalty, MaxPenalty time.Duration
	// Warmup is how long a target that appeared after this node's start gets less work.
	Warmup time.Duration
	// SpillInFlight is the number of requests in flight per slot, at the chosen target of the
	// node's own region, from which targets in other regions are considered.
	SpillInFlight float64
	// Choices is the number of targets that are drawn and compared.
	Choices int
	// Random selects a target at random and ignores all measurements. It is the baseline for
	// measurements.
	Random bool
}

// DefaultPolicy returns the settings that docs/design/load.md justifies.
func DefaultPolicy() Policy {
	return Policy{
		Smoothing:     0.1,
		LatencyWeight: 0.5,
		LatencyDecay:  5 * time.Second,
		Penalty:       time.Second,
		MaxPenalty:    4 * time.Second,
		Warmup:        3 * time.Second,
		SpillInFlight: 3,
		Choices:       2,
	}
}

// Candidate is a node whose target may serve the request.
type Candidate struct {
	// Name is the name of the node's VM.
	Name string
	// Incarnation identifies the run of the node. A new incarnation starts without measurements.
	Incarnation uint64
	// SameRegion is set if the node is in the same region as the picking node.
	SameRegion bool
	// Slots is the number of slots of the target; zero counts as one.
	Slots int
	// Ready is set if the target accepts work, as far as is known.
	Ready bool
}

// record holds the measurements of one target.
type record struct {
	incarnation uint64
	// firstSeen is when a new target was first seen; zero for a target that was seen within
	// Policy.Warmup after the first one and is therefore not taken as new.
	firstSeen time.Duration
	inFlight  int
	// latency is the moving average of the answer times, in seconds; zero if none is known.
	latency     float64
	measuredAt  time.Duration
	failedUntil time.Duration
	// penalty is that of the last failure to reach the target; zero once it was reached.
	penalty  time.Duration
	lastUsed time.Duration
}

// Picker selects targets by the measurements of one node.
type Picker struct {
	policy  Policy
	records map[string]*record
	// firstTargetAt is when the first target was seen; zero before that.
	firstTargetAt time.Duration
}

// maxRecords is the maximum number of targets with a record.
const maxRecords = 4096

// New returns a picker without measurements.
func New(policy Policy) *Picker { return &Picker{policy: policy, records: map[string]*record{}} }

// Pick returns the index of the chosen candidate, and false if none is ready. intn returns a
// random number in [0, n).
func (p *Picker) Pick(now time.Duration, candidates []Candidate, intn func(n int) int) (int, bool) {
	near, far := p.splitByRegion(now, candidates)
	preferred, fallback := near, far
	if len(preferred) == 0 {
		preferred, fallback = far, nil
	}
	if len(preferred) == 0 {
		return 0, false
	}
	chosen := p.pickCheapest(now, candidates, preferred, intn)
	if len(fallback) > 0 && p.saturated(candidates[chosen]) {
		other := p.pickCheapest(now, candidates, fallback, intn)
		if !p.saturated(candidates[other]) {
			return other, true
		}
	}
	return chosen, true
}

// splitByRegion returns the indexes of the ready candidates in the node's own region and in others.
// Candidates under a penalty are left out unless no others are ready.
func (p *Picker) splitByRegion(now time.Duration, candidates []Candidate) (near, far []int) {
	for _, avoidFailed := range []bool{true, false} {
		for i, c := range candidates {
			if !c.Ready || avoidFailed && p.record(now, c).failedUntil > now {
				continue
			}
			if c.SameRegion {
				near = append(near, i)
			} else {
				far = append(far, i)
			}
		}
		if len(near)+len(far) > 0 {
			return near, far
		}
	}
	return near, far
}

// pickCheapest draws some of the indexes at random and returns the one whose candidate has the
// lowest cost. It reorders indexes.
func (p *Picker) pickCheapest(now time.Duration, candidates []Candidate, indexes []int, intn func(n int) int) int {
	best, lowest := -1, 0.0
	for drawn := range min(p.choices(), len(indexes)) {
		i := drawn + intn(len(indexes)-drawn)
		indexes[drawn], indexes[i] = indexes[i], indexes[drawn]
		cost := p.cost(now, candidates[indexes[drawn]])
		if best < 0 || cost < lowest {
			best, lowest = indexes[drawn], cost
		}
	}
	return best
}

func (p *Picker) choices() int {
	if p.policy.Random {
		return 1
	}
	return p.policy.Choices
}

// cost returns a measure of the expected wait for an answer. It has no unit and is only
// compared with other costs.
func (p *Picker) cost(now time.Duration, c Candidate) float64 {
	r := p.record(now, c)
	load := float64(r.inFlight+1) / float64(max(c.Slots, 1))
	latency := p.expectedLatency(now, r)
	return math.Pow(latency, p.policy.LatencyWeight) * load / p.warmupFactor(now, r)
}

// expectedLatency returns the measured latency, which decays linearly to the average as it
// ages. It is unchanged in the first tenth of Policy.LatencyDecay.
func (p *Picker) expectedLatency(now time.Duration, r *record) float64 {
	if r.latency == 0 {
		return p.averageLatency(now)
	}
	ageFraction := p.ageFraction(now, r)
	if ageFraction < 0.1 {
		return r.latency
	}
	return r.latency + ageFraction*(p.averageLatency(now)-r.latency)
}

// ageFraction returns the age of the last measurement as a fraction of Policy.LatencyDecay, at most
// 1.
func (p *Picker) ageFraction(now time.Duration, r *record) float64 {
	return min(1, float64(now-r.measuredAt)/float64(p.policy.LatencyDecay))
}

// warmupFactor returns the fraction of the usual load that a target gets. It grows from 0.25 to 1
// during Policy.Warmup after a new target was first seen.
func (p *Picker) warmupFactor(now time.Duration, r *record) float64 {
	age := now - r.firstSeen
	if r.firstSeen == 0 || age >= p.policy.Warmup {
		return 1
	}
	return 0.25 + 0.75*float64(age)/float64(p.policy.Warmup)
}

func (p *Picker) averageLatency(now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, r := range p.records {
		if r.latency > 0 && now-r.measuredAt <= p.policy.LatencyDecay {
			sum += r.latency
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

func (p *Picker) saturated(c Candidate) bool {
	r, known := p.records[c.Name]
	return known && float64(r.inFlight) >= p.policy.SpillInFlight*float64(max(c.Slots, 1))
}

// Started records that a request is sent to the candidate.
func (p *Picker) Started(now time.Duration, c Candidate) {
	r := p.record(now, c)
	r.inFlight++
	r.lastUsed = now
}

// Finished records that a request to the candidate has ended after took. reached tells whether
// the target could be reached at all. Refused and failed requests, for which answered is false,
// do not update the latency: otherwise a target that refuses quickly would look fast.
func (p *Picker) Finished(now time.Duration, c Candidate, took time.Duration, answered, reached bool) {
	r := p.record(now, c)
	r.inFlight = max(r.inFlight-1, 0)
	switch {
	case reached:
		r.penalty = 0
	case now >= r.failedUntil || r.penalty == 0:
		// Requests that were sent before the first of them failed do not count as further failures.
		r.penalty = max(p.policy.Penalty, min(2*r.penalty, p.policy.MaxPenalty))
		r.failedUntil = now + r.penalty
	}
	if !answered {
		return
	}
	sample := took.Seconds()
	if r.latency == 0 {
		r.latency = sample
	}
	r.latency += max(p.policy.Smoothing, p.ageFraction(now, r)) * (sample - r.latency)
	r.measuredAt = now
}

// Avoid makes the picker prefer other candidates for a time, Policy.Penalty at most. It is meant for a
// target that has told when it can take requests again.
func (p *Picker) Avoid(now time.Duration, c Candidate, d time.Duration) {
	r := p.record(now, c)
	r.failedUntil = max(r.failedUntil, now+min(d, p.policy.Penalty))
}

// Avoids reports whether the named target is avoided at the moment.
func (p *Picker) Avoids(now time.Duration, name string) bool {
	r := p.records[name]
	return r != nil && r.failedUntil > now
}

// record returns the candidate's record and creates it if there is none or the node restarted.
func (p *Picker) record(now time.Duration, c Candidate) *record {
	r, known := p.records[c.Name]
	if known && r.incarnation == c.Incarnation {
		return r
	}
	if len(p.records) >= maxRecords {
		p.evictOldest()
	}
	r = &record{incarnation: c.Incarnation, lastUsed: now}
	if len(p.records) == 0 {
		p.firstTargetAt = now
	}
	// Targets that exist when this node starts are not new and need no warm-up.
	if now-p.firstTargetAt >= p.policy.Warmup {
		r.firstSeen = now
	}
	p.records[c.Name] = r
	return r
}

// evictOldest evicts the least recently used record.
func (p *Picker) evictOldest() {
	oldest := ""
	for name, r := range p.records {
		if oldest == "" || r.lastUsed < p.records[oldest].lastUsed {
			oldest = name
		}
	}
	delete(p.records, oldest)
}
