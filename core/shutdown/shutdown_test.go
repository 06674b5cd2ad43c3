package shutdown

import (
	"testing"
	"time"
)

// TestPeriod guards against requests that are taken although the end of the process may cut them, and against refusals of
// requests that end before it.
func TestPeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	p := Period{Began: began, End: began.Add(6 * time.Second)}
	for _, c := range []struct {
		name               string
		at, left           time.Duration
		maySend, mayAccept bool
	}{
		{"ends long before the process", 0, time.Second, true, true},
		{"ends just before the process", 4 * time.Second, 2 * time.Second, true, true},
		{"may be cut by its deadline, early", time.Second, 5100 * time.Millisecond, false, true},
		{"may be cut by its deadline, late", 4 * time.Second, 2100 * time.Millisecond, false, false},
		{"longer than the period, in its first half", 2900 * time.Millisecond, 10 * time.Second, true, true},
		{"longer than the period, in its second half", 3100 * time.Millisecond, 10 * time.Second, false, false},
		{"after the end", 7 * time.Second, time.Second, false, false},
	} {
		now := began.Add(c.at)
		if got := p.MaySend(now, now.Add(c.left)); got != c.maySend {
			t.Errorf("%s: MaySend is %v", c.name, got)
		}
		if got := p.MayAccept(now, now.Add(c.left)); got != c.mayAccept {
			t.Errorf("%s: MayAccept is %v", c.name, got)
		}
	}
	if none := (Period{}); !none.MaySend(began, began.Add(time.Hour)) || !none.MayAccept(began, began.Add(time.Hour)) {
		t.Error("a process that does not shut down refuses a request")
	}
}
