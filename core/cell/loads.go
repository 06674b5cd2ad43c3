package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// loadWindow is the period over which the measured work is averaged.
const loadWindow = 10 * time.Second

// sliceWork is the moving average of one slice's work.
type sliceWork struct {
	// perSecond is the slot time used per second, in milliseconds.
	perSecond float64
	at        time.Duration
	hotKey    string
	hotShare  uint32
}

// loads averages the work that nodes report per slice.
type loads struct {
	slices map[keyspace.SliceID]sliceWork
}

func (l *loads) init() { l.slices = make(map[keyspace.SliceID]sliceWork) }

func (l *loads) add(now time.Duration, reports []SliceLoad) {
	for _, r := range reports {
		w, known := l.slices[r.Slice]
		if !known {
			w.at = now - time.Second
		}
		elapsed := max(now-w.at, time.Millisecond)
		rate := float64(r.WorkMillis) / elapsed.Seconds()
		share := min(elapsed.Seconds()/loadWindow.Seconds(), 1)
		w.perSecond += (rate - w.perSecond) * share
		w.at = now
		w.hotKey, w.hotShare = r.HotKey, r.HotShare
		l.slices[r.Slice] = w
	}
}

// work returns the slice's average work in milliseconds of slot time per second. It decays to
// zero over loadWindow if no reports arrive.
func (l *loads) work(id keyspace.SliceID, now time.Duration) float64 {
	w, ok := l.slices[id]
	if !ok {
		return 0
	}
	idle := now - w.at
	if idle >= loadWindow {
		delete(l.slices, id)
		return 0
	}
	return w.perSecond * (1 - idle.Seconds()/loadWindow.Seconds())
}
