package admission

import (
	"fmt"
	"testing"
	"time"
)

const (
	shortClass Class = 1
	longClass  Class = 2
	shortMean        = 10 * time.Millisecond
	longMean         = 400 * time.Millisecond
	seeds            = 3
	longAgo          = -time.Hour
)

// profile is one deployment of the brief: its slots per target and the callers' patience.
type profile struct {
	name     string
	slots    int
	deadline time.Duration
}

var profiles = []profile{
	{name: "horsebox", slots: 6, deadline: 250 * time.Millisecond},
	{name: "lending", slots: 12, deadline: 250 * time.Millisecond},
}

// capacity returns the short works per second that the slots can do.
func (p profile) capacity() float64 { return float64(p.slots) / shortMean.Seconds() }

// crest returns a swing from half of the capacity to three times it within two seconds, held
// for four, and back.
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
	crestStart = 5 * time.Second
	crestEnd   = crestStart + 6*time.Second
	crestStop  = crestEnd + 5*time.Second
)

// crestRow is what one swing gave.
type crestRow struct {
	// goodput is what was answered in time while the load was above the capacity, as a share of
	// the capacity.
	goodput float64
	// p99 is that of the answers while the load was above the capacity.
	p99 time.Duration
	// after is the share answered in time from two seconds after the swing.
	after float64
	// recovery is the time after the swing until a whole 100 ms had all its work answered in time.
	recovery time.Duration
}

func runCrest(p profile, policy Policy, seed uint64) crestRow {
	s := simulation{warmSince: longAgo, policy: policy, slots: p.slots, seed: seed, length: crestStop, streams: []stream{
		{class: shortClass, mean: shortMean, deadline: p.deadline, keys: 5000, rate: p.crest},
	}}
	ends := s.run()
	full := crestStart + time.Second
	return crestRow{
		goodput:  goodput(ends, full, crestEnd) / p.capacity(),
		p99:      quantile(ends, shortClass, full, crestEnd, 0.99),
		after:    shareInTime(ends, shortClass, crestEnd+2*time.Second, crestStop),
		recovery: recovery(ends),
	}
}

func recovery(ends []ended) time.Duration {
	const step = 100 * time.Millisecond
	for at := crestEnd; at < crestStop; at += step {
		if shareInTime(ends, shortClass, at, at+step) == 1 {
			return at - crestEnd
		}
	}
	return crestStop - crestEnd
}

// lineRow compares short work beside long work with short work alone.
type lineRow struct {
	alone, beside time.Duration
	long          time.Duration
	longInTime    float64
}

func (r lineRow) ratio() float64 { return float64(r.beside) / float64(r.alone) }

// runLine offers 70 % of the capacity, 30 % of it as long work, and the short part alone.
func runLine(p profile, policy Policy, seed uint64) lineRow {
	const load, longPart, length = 0.7, 0.3, 120 * time.Second
	slotSeconds := load * float64(p.slots)
	short := stream{class: shortClass, mean: shortMean, deadline: time.Second, keys: 5000,
		rate: constant(slotSeconds * (1 - longPart) / shortMean.Seconds())}
	long := stream{class: longClass, mean: longMean, deadline: 30 * time.Second, keys: 50,
		rate: constant(slotSeconds * longPart / longMean.Seconds())}
	s := simulation{warmSince: longAgo, policy: policy, slots: p.slots, seed: seed, length: length, streams: []stream{short}}
	alone := s.run()
	s.streams = []stream{short, long}
	beside := s.run()
	return lineRow{
		alone:      quantile(alone, shortClass, 0, length, 0.99),
		beside:     quantile(beside, shortClass, 0, length, 0.99),
		long:       quantile(beside, longClass, 0, length, 0.99),
		longInTime: shareInTime(beside, longClass, 0, length),
	}
}

// TestCrest holds the target of the crest: 90 % of the capacity answered in time, and normal
// service within two seconds after the swing.
func TestCrest(t *testing.T) {
	for _, p := range profiles {
		for seed := range uint64(seeds) {
			row := runCrest(p, DefaultPolicy(), seed)
			base := runCrest(p, BaselinePolicy(), seed)
			t.Logf("%s seed %d: goodput %.3f baseline %.3f, p99 %s baseline %s, recovery %v baseline %v, after %.4f",
				p.name, seed, row.goodput, base.goodput, milliseconds(row.p99), milliseconds(base.p99),
				row.recovery, base.recovery, row.after)
			if row.goodput < 0.9 {
				t.Errorf("%s seed %d: goodput %.3f of the capacity, want 0.9", p.name, seed, row.goodput)
			}
			if row.recovery > 2*time.Second || row.after < 0.99 {
				t.Errorf("%s seed %d: recovery %v, then %.4f in time", p.name, seed, row.recovery, row.after)
			}
		}
	}
}

// TestHeadOfLine holds the target of short work beside long work: a p99 at most 1.5 times that
// of short work alone.
func TestHeadOfLine(t *testing.T) {
	for _, p := range profiles {
		for seed := range uint64(seeds) {
			row := runLine(p, DefaultPolicy(), seed)
			base := runLine(p, BaselinePolicy(), seed)
			t.Logf("%s seed %d: p99 alone %s beside %s ratio %.2f, baseline ratio %.2f; long p99 %s in time %.3f",
				p.name, seed, milliseconds(row.alone), milliseconds(row.beside), row.ratio(), base.ratio(),
				milliseconds(row.long), row.longInTime)
			if row.ratio() > 1.5 {
				t.Errorf("%s seed %d: ratio %.2f, want at most 1.5", p.name, seed, row.ratio())
			}
			if row.longInTime < 0.99 {
				t.Errorf("%s seed %d: %.3f of the long work in time", p.name, seed, row.longInTime)
			}
		}
	}
}

// TestLearning offers a class whose work turns from short to long and back: short work of
// another class must not suffer for long.
func TestLearning(t *testing.T) {
	const turn, back, length = 20 * time.Second, 40 * time.Second, 60 * time.Second
	p := profiles[0]
	phase := func(now time.Duration) bool { return now >= turn && now < back }
	const changing Class = 3
	asShort := stream{class: changing, mean: shortMean, deadline: time.Second, keys: 50,
		rate: func(now time.Duration) float64 {
			if phase(now) {
				return 0
			}
			return 60
		}}
	asLong := stream{class: changing, mean: longMean, deadline: 10 * time.Second, keys: 50,
		rate: func(now time.Duration) float64 {
			if phase(now) {
				return 3
			}
			return 0
		}}
	short := stream{class: shortClass, mean: shortMean, deadline: time.Second, keys: 5000, rate: constant(250)}
	s := simulation{warmSince: longAgo, policy: DefaultPolicy(), slots: p.slots, seed: 1, length: length, streams: []stream{short, asShort, asLong}}
	ends := s.run()
	usual := quantile(ends, shortClass, 5*time.Second, turn, 0.99)
	for _, at := range []time.Duration{turn, back} {
		after := quantile(ends, shortClass, at+time.Second, at+10*time.Second, 0.99)
		t.Logf("turn at %v: p99 %s usual %s, the class itself %s", at, milliseconds(after), milliseconds(usual),
			milliseconds(quantile(ends, changing, at+2*time.Second, at+10*time.Second, 0.5)))
		if after > usual*3/2 {
			t.Errorf("turn at %v: p99 %s one second later, usual %s", at, milliseconds(after), milliseconds(usual))
		}
	}
	if got := quantile(ends, changing, back+2*time.Second, length, 0.99); got > 5*usual {
		t.Errorf("class that is short again: p99 %s two seconds later, usual %s", milliseconds(got), milliseconds(usual))
	}
}

// TestOneKey holds that one key with three times the capacity does not starve others.
func TestOneKey(t *testing.T) {
	for _, p := range profiles {
		share := runOneKey(p, DefaultPolicy(), 3)
		t.Logf("%s: others in time %.3f baseline %.3f", p.name, share, runOneKey(p, BaselinePolicy(), 3))
		if share < 0.95 {
			t.Errorf("%s: %.3f of the others' work in time", p.name, share)
		}
	}
}

// TestWarmup checks the ramp of a new target.
func TestWarmup(t *testing.T) {
	policy := DefaultPolicy()
	policy.Warmup = 3 * time.Second
	q, err := NewQueue(policy)
	if err != nil {
		t.Fatal(err)
	}
	q.SetSlots(12, time.Second)
	got := ""
	for _, at := range []time.Duration{1000, 1750, 2500, 3250, 4000} {
		got += fmt.Sprint(q.Slots(at*time.Millisecond), " ")
	}
	if want := "4 6 8 10 12 "; got != want {
		t.Errorf("slots %q, want %q", got, want)
	}
}
