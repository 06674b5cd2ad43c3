package account

import (
	"testing"
	"time"
)

// TestAProcessLostBeforeItWasListedIsAGap checks that a gap is recorded for a process that was
// lost together with the collector that had its reports, before any segment listed it.
func TestAProcessLostBeforeItWasListedIsAGap(t *testing.T) {
	now := time.Date(2026, time.November, 4, 6, 0, 0, 0, time.UTC)
	writer := Process{Node: "vm-2", Incarnation: 1}
	lost := Process{Node: "vm-1", Incarnation: 1}
	c := NewCollector(Config{Cell: "alfold", Writer: writer, Interval: time.Minute, SilenceTimeout: 3 * time.Second}, nil, now)
	var gaps []Gap
	for range 20 {
		c.Expect(lost, now)
		c.Offer(Batch{Process: writer, Oldest: 1}, now)
		sealed, due, err := c.Next(now)
		if err != nil {
			t.Fatal(err)
		}
		if due {
			gaps = append(gaps, sealed.Gaps...)
			if err := c.Written(now); err != nil {
				t.Fatal(err)
			}
		}
		now = now.Add(10 * time.Second)
	}
	if len(gaps) != 1 || gaps[0].Process != lost || gaps[0].Reason != GapSilent {
		t.Errorf("got gaps %+v, want one for the lost process", gaps)
	}
}

// TestExpectedProcessEndsTheFormer checks that the first message of an expected process records
// a gap for the node's previous process and none for itself.
func TestExpectedProcessEndsTheFormer(t *testing.T) {
	now := time.Date(2026, 11, 3, 6, 0, 0, 0, time.UTC)
	c := NewCollector(Config{Cell: "c", Interval: time.Minute, SilenceTimeout: 5 * time.Minute}, nil, now)
	previous, next := Process{"vm-1", 1}, Process{"vm-1", 2}
	c.Offer(Batch{Process: previous, Oldest: 1}, now)
	c.Expect(next, now)
	c.Offer(Batch{Process: next, Oldest: 1}, now)
	sealed, due, err := c.Next(now.Add(time.Minute))
	if err != nil || !due {
		t.Fatal(due, err)
	}
	if len(sealed.Gaps) != 1 || sealed.Gaps[0].Process != previous || sealed.Gaps[0].Reason != GapRestarted {
		t.Errorf("got gaps %+v, want one for the previous process", sealed.Gaps)
	}
}
