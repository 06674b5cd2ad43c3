package ratelimit

import (
	"testing"
	"time"
)

// startsWithin returns the largest number of requests that start within a window when requests always
// wait, on a pacer that is set to the limits at the given times and is idle before busyFrom.
func startsWithin(window, busyFrom, end time.Duration, limits map[time.Duration]Limit) int {
	var p Pacer
	var starts []time.Duration
	for now := time.Duration(0); now < end; now += ms {
		if l, ok := limits[now]; ok {
			p.SetLimit(now, l)
		}
		for now >= busyFrom && p.Next(now) <= now {
			p.Take(now)
			starts = append(starts, now)
		}
	}
	most, first := 0, 0
	for i, at := range starts {
		for at-starts[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestPacerKeepsTheLimitInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, perSecond := range []float64{0, 0.1, 0.25, 0.5, 1, 3, 30, 200} {
		for _, busyFrom := range []time.Duration{0, 10 * time.Second} {
			got := startsWithin(window, busyFrom, 30*time.Second, map[time.Duration]Limit{0: {perSecond, true}})
			if allowed := 1.5*perSecond*window.Seconds() + 5; float64(got) > allowed {
				t.Errorf("limit %v, requests from %v on: %d within %v, allowed %v", perSecond, busyFrom, got, window, allowed)
			}
			if perSecond >= 1 && float64(got) < perSecond*window.Seconds() {
				t.Errorf("limit %v: only %d within %v", perSecond, got, window)
			}
		}
	}
}

func TestPacerAfterAChangeOfTheLimit(t *testing.T) {
	var p Pacer
	if p.Next(0) != 0 || p.Limited() || p.Interval() != 0 {
		t.Error("a pacer without a limit delays requests")
	}
	p.SetLimit(0, Limit{0.5, true})
	p.Take(0)
	if next := p.Next(0); next < time.Second {
		t.Errorf("the second request at 0.5 a second may start after %v", next)
	}
	p.SetLimit(10*ms, Limit{100, true})
	if next := p.Next(10 * ms); next > 20*ms {
		t.Errorf("a higher limit leaves the next request waiting until %v", next)
	}
	p.SetLimit(20*ms, Limit{})
	if next := p.Next(20 * ms); next != 20*ms {
		t.Errorf("the end of the limit leaves the next request waiting until %v", next)
	}
}
