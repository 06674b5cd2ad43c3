package bootclock

import (
	"testing"
	"time"
)

// TestNowGrows checks that the clock is positive and does not run backwards.
func TestNowGrows(t *testing.T) {
	first := Now()
	if second := Now(); first <= 0 || second < first {
		t.Errorf("readings %v, %v", first, second)
	}
}

// TestJumped checks that only unequal advances of the two clocks count as a jump.
func TestJumped(t *testing.T) {
	wall := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name       string
		boot, wall time.Duration
		want       bool
	}{
		{"both advance equally", time.Second, time.Second, false},
		{"small correction", time.Second, time.Second + 100*time.Millisecond, false},
		{"long pause seen by both", time.Hour, time.Hour, false},
		{"wall set forward", time.Second, time.Minute, true},
		{"wall set back", time.Second, -time.Minute, true},
		{"boot clock did not advance", 0, 10 * time.Second, true},
	}
	for _, tt := range tests {
		var d JumpDetector
		if d.Jumped(time.Hour, wall) {
			t.Errorf("%s: the first reading is a jump", tt.name)
		}
		if got := d.Jumped(time.Hour+tt.boot, wall.Add(tt.wall)); got != tt.want {
			t.Errorf("%s: jump %v", tt.name, got)
		}
	}
}
