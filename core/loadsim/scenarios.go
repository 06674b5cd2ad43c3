package loadsim

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const (
	shortClass admission.Class = 1
	longClass  admission.Class = 2
	shortMean                  = 10 * time.Millisecond
	longMean                   = 400 * time.Millisecond
	longAgo                    = -time.Hour
)

// profile describes one of the two example deployments: the slots per target and the deadline
// that callers set.
type profile struct {
	name     string
	slots    int
	deadline time.Duration
}

var profiles = []profile{
	{name: "horsebox", slots: 6, deadline: 250 * time.Millisecond},
	{name: "lending", slots: 12, deadline: 250 * time.Millisecond},
}

// capacity returns the number of short requests per second that the slots can process.
func (p profile) capacity() float64 { return float64(p.slots) / shortMean.Seconds() }

// crest returns the arrival rate of a load spike, the crest scenario: the rate rises from half
// of the capacity to three times the capacity within two seconds, stays there for four seconds
// and then drops back to half.
func (p profile) crest(now time.Duration) float64 {
	const rise, hold = 2 * time.Second, 4 * time.Second
	factor := 0.5
	switch since := now - crestStart; {
	case since < 0 || since >= rise+hold:
	case since < rise:
		factor += 2.5 * float64(since) / float64(rise)
	default:
		factor = 3
	}
	return factor * p.capacity()
}

const (
	crestStart  = 5 * time.Second
	crestEnd    = crestStart + 6*time.Second
	crestRunEnd = crestEnd + 5*time.Second
)

// crestResult holds the results of one crest scenario.
type crestResult struct {
	// goodput is the rate of requests answered in time while the load was above the capacity,
	// as a share of the capacity.
	goodput float64
	// p99 is the 99th percentile of the answer times of requests that arrived while the load was
	// above the capacity.
	p99 time.Duration
	// after is the share of requests answered in time from two seconds after the crest on.
	after float64
	// recovery is the time from the end of the crest to the first interval of 100 ms in which
	// all arriving requests were answered in time.
	recovery time.Duration
}

func runCrest(p profile, policy admission.Policy, seed uint64) crestResult {
	s := simulation{readySince: longAgo, policy: policy, slots: p.slots, seed: seed, duration: crestRunEnd, streams: []stream{
		{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: p.crest},
	}}
	results := s.run()
	overloadStart := crestStart + time.Second
	return crestResult{
		goodput:  goodput(results, overloadStart, crestEnd) / p.capacity(),
		p99:      quantile(results, shortClass, overloadStart, crestEnd, 0.99),
		after:    shareInTime(results, shortClass, crestEnd+2*time.Second, crestRunEnd),
		recovery: recovery(results),
	}
}

func recovery(results []requestResult) time.Duration {
	const step = 100 * time.Millisecond
	for at := crestEnd; at < crestRunEnd; at += step {
		if shareInTime(results, shortClass, at, at+step) == 1 {
			return at - crestEnd
		}
	}
	return crestRunEnd - crestEnd
}

// headOfLineResult holds the results of the head-of-line scenario: the p99 of short work alone
// and of short work mixed with long work, and the results of the long work.
type headOfLineResult struct {
	alone, mixed time.Duration
	long         time.Duration
	longInTime   float64
}

func (r headOfLineResult) ratio() float64 { return float64(r.mixed) / float64(r.alone) }

// runHeadOfLine runs the head-of-line scenario. It offers 70 % of the capacity, of which 30 % is
// long work, and for comparison the short part alone.
func runHeadOfLine(p profile, policy admission.Policy, seed uint64) headOfLineResult {
	const load, longPart, duration = 0.7, 0.3, 120 * time.Second
	slotSeconds := load * float64(p.slots)
	short := stream{class: shortClass, mean: shortMean, deadline: time.Second, keys: 5000,
		rate: constant(slotSeconds * (1 - longPart) / shortMean.Seconds())}
	long := stream{class: longClass, mean: longMean, deadline: 30 * time.Second, keys: 50,
		rate: constant(slotSeconds * longPart / longMean.Seconds())}
	s := simulation{readySince: longAgo, policy: policy, slots: p.slots, seed: seed, duration: duration, streams: []stream{short}}
	alone := s.run()
	s.streams = []stream{short, long}
	mixed := s.run()
	return headOfLineResult{
		alone:      quantile(alone, shortClass, 0, duration, 0.99),
		mixed:      quantile(mixed, shortClass, 0, duration, 0.99),
		long:       quantile(mixed, longClass, 0, duration, 0.99),
		longInTime: shareInTime(mixed, longClass, 0, duration),
	}
}

// runOneKey offers three times the capacity for one key in addition to ordinary work, and
// returns the share of the ordinary work that is answered in time.
func runOneKey(p profile, policy admission.Policy, seed uint64) float64 {
	const duration = 5 * time.Second
	others := stream{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: constant(0.4 * p.capacity())}
	hot := stream{class: 3, mean: shortMean, deadline: p.deadline, keys: 1, rate: constant(3 * p.capacity())}
	s := simulation{readySince: longAgo, policy: policy, slots: p.slots, seed: seed, duration: duration, streams: []stream{others, hot}}
	return shareInTime(s.run(), shortClass, time.Second, duration)
}

// runCold offers half of the capacity to a target that is six times slower when it starts and
// reaches its normal speed linearly within three seconds. It returns the share of requests
// answered in time.
func runCold(p profile, policy admission.Policy, seed uint64) float64 {
	const duration, coldTime = 6 * time.Second, 3 * time.Second
	s := simulation{policy: policy, slots: p.slots, seed: seed, duration: duration, streams: []stream{
		{class: shortClass, mean: shortMean, deadline: p.deadline / 2, keys: 5000, rate: constant(0.5 * p.capacity())},
	}}
	s.slow = func(now time.Duration) float64 {
		left := max(0, 1-float64(now)/float64(coldTime))
		return 1 + 5*left
	}
	return shareInTime(s.run(), shortClass, 0, duration)
}

// runFewerSlots offers the capacity of the announced slots to a target that has only two thirds
// of them. It returns the share of requests that were sent to the target and shed there.
func runFewerSlots(p profile, policy admission.Policy, seed uint64) float64 {
	const duration = 10 * time.Second
	s := simulation{readySince: longAgo, policy: policy, slots: p.slots, trueSlots: p.slots * 2 / 3, seed: seed, duration: duration,
		streams: []stream{{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: constant(p.capacity())}}}
	results := s.run()
	shedCount := 0
	for _, e := range results {
		if e.reason == outcome.ReasonTargetShed {
			shedCount++
		}
	}
	return float64(shedCount) / float64(len(results))
}
