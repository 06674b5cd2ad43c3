package balance

import "time"

// FastestHasFreeSlot reports whether the candidate with the lowest expected latency has a free slot, as far as the node
// knows: it counts its own requests only. Candidates that are not ready or under a penalty are left out; if none is left,
// it returns false.
func (p *Picker) FastestHasFreeSlot(now time.Duration, candidates []Candidate) bool {
	isFree, lowest, found := false, 0.0, false
	for _, c := range candidates {
		r := p.record(now, c)
		if !c.Ready || r.failedUntil > now {
			continue
		}
		if latency := p.expectedLatency(now, r); !found || latency < lowest {
			isFree, lowest, found = r.inFlight < max(c.Slots, 1), latency, true
		}
	}
	return isFree
}
