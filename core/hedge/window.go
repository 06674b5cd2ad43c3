package hedge

import "time"

// windowParts is the number of parts of a window. Requests in the oldest part, which has begun before the window, do not
// count: the budget is up to one part in a hundred smaller than the share allows.
const windowParts = 100

// window counts the requests and the second sends of a service within a sliding window.
type window struct {
	part time.Duration
	// sends and hedges hold the counts of the part that is named by newest and of those before it.
	sends, hedges [windowParts + 1]int
	newest        int64
	usedAt        time.Duration
}

func newWindow(length time.Duration) *window { return &window{part: max(1, length/windowParts)} }

// advance drops the counts that have left the window. A time before the newest one counts as the newest.
func (w *window) advance(now time.Duration) {
	current := int64(now / w.part)
	for range min(current-w.newest, int64(len(w.sends))) {
		w.newest++
		w.sends[w.slot(w.newest)], w.hedges[w.slot(w.newest)] = 0, 0
	}
	if current > w.newest {
		// Every count has left the window; the slots are empty already.
		w.newest = current
	}
}

func (w *window) slot(part int64) int { return int(part % int64(len(w.sends))) }

func (w *window) sent(now time.Duration) {
	w.advance(now)
	w.sends[w.slot(w.newest)]++
}

func (w *window) hedged(now time.Duration) {
	w.advance(now)
	w.hedges[w.slot(w.newest)]++
}

// allows reports whether one more second send stays within the share of the requests.
func (w *window) allows(now time.Duration, share float64) bool {
	w.advance(now)
	sends, hedges := 0, 0
	for i := range w.sends {
		sends += w.sends[i]
		hedges += w.hedges[i]
	}
	sends -= w.sends[w.slot(w.newest+1)]
	return float64(hedges+1) <= share*float64(sends)
}
