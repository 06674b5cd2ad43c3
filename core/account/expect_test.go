package account

import (
	"testing"
	"time"
)

// TestAProcessLostBeforeItWasListedIsAGap lets a process that the cell's record names be lost
// together with the collector that had its reports.
func TestAProcessLostBeforeItWasListedIsAGap(t *testing.T) {
	now := time.Date(2026, time.November, 4, 6, 0, 0, 0, time.UTC)
	writer := Process{Node: "vm-2", Incarnation: 1}
	lost := Process{Node: "vm-1", Incarnation: 1}
	c := NewCollector(Config{Cell: "alfold", Writer: writer, Interval: time.Minute, Silence: 3 * time.Second}, nil, now)
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
		t.Errorf("gaps %+v, want one of the lost process", gaps)
	}
}
