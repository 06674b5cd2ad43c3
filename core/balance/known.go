package balance

import "time"

// Known is what a picker knows of a candidate from the requests that its node sent there.
type Known struct {
	InFlight int
	// Latency is the moving average of the answer times; zero if none is known. It was measured MeasuredAgo ago.
	Latency, MeasuredAgo time.Duration
	// AvoidedFor is how long the candidate is still avoided because it could not be reached or has refused a request.
	AvoidedFor time.Duration
}

// Known returns what is known of a candidate, without recording that it was seen.
func (p *Picker) Known(now time.Duration, c Candidate) Known {
	r, known := p.records[c.Name]
	if !known || r.incarnation != c.Incarnation {
		return Known{}
	}
	k := Known{InFlight: r.inFlight, AvoidedFor: max(0, r.failedUntil-now)}
	if r.latency > 0 {
		k.Latency, k.MeasuredAgo = time.Duration(r.latency*float64(time.Second)), now-r.measuredAt
	}
	return k
}

// Clone returns a copy on which choices can be tried without effect on p.
func (p *Picker) Clone() *Picker {
	c := *p
	c.records = make(map[string]*record, len(p.records))
	for name, r := range p.records {
		copied := *r
		c.records[name] = &copied
	}
	return &c
}
