package feed

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	walkNodes    = 9
	walkDuration = 8 * time.Second
	// walkSettle is how long a node must have been without a fault before a change, for the change to
	// reach it within applyLimit.
	walkSettle = 3 * time.Second
)

// walk is a run of random faults and writes over a region.
type walk struct {
	*region
	random *rand.Rand
	began  time.Time
	checks sync.WaitGroup

	mu sync.Mutex
	// faultyUntil is, by node, when its last fault ends.
	faultyUntil []time.Time
	// older is a copy of the store, which last returned from one at restoredAt.
	older      memstore.Copy
	restoredAt time.Time
}

// walkSetting returns an integer from the environment, or fallback.
func walkSetting(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestWalk hangs nodes, cuts them off from the store, slows their transfers and returns the store to older
// copies at random while changes are written. A change that is not lost must reach each node without a fault of its own within applyLimit. FEED_SEEDS and
// FEED_FIRST choose the seeds.
func TestWalk(t *testing.T) {
	first := walkSetting(t, "FEED_FIRST", 1)
	for seed := first; seed < first+walkSetting(t, "FEED_SEEDS", 4); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := &walk{
				region: newRegion(t, walkNodes), random: rand.New(rand.NewPCG(uint64(seed), 0)),
				began: time.Now(), faultyUntil: make([]time.Time, walkNodes),
			}
			w.older = w.memory.Copy()
			w.run()
		})
	}
}

func (w *walk) run() {
	for time.Since(w.began) < walkDuration {
		time.Sleep(time.Duration(100+w.random.IntN(400)) * time.Millisecond)
		switch w.random.IntN(20) {
		case 0:
			w.restore()
			w.checkChange()
		case 1, 2, 3, 4, 5, 6, 7, 8, 9:
			w.injectFault()
		default:
			w.checkChange()
		}
	}
	w.checks.Wait()
}

// restore returns the store to an older copy.
func (w *walk) restore() {
	w.memory.Restore(w.older)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restoredAt = time.Now()
}

// isLost reports whether the store has returned from a copy since a change was written.
func (w *walk) isLost(written time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.restoredAt.Before(written)
}

// injectFault gives a random node a fault for a random time.
func (w *walk) injectFault() {
	i := w.random.IntN(walkNodes)
	n := w.nodes[i]
	now := time.Now()
	if w.isFaultySince(i, now) {
		return
	}
	lasts := time.Duration(300+w.random.IntN(2200)) * time.Millisecond
	w.mu.Lock()
	w.faultyUntil[i] = now.Add(lasts)
	w.mu.Unlock()
	switch w.random.IntN(3) {
	case 0:
		n.hung.Store(true)
		time.AfterFunc(lasts, func() { n.hung.Store(false) })
	case 1:
		n.store.cut.Store(true)
		time.AfterFunc(lasts, func() { n.store.cut.Store(false) })
	case 2:
		n.store.transfer.Store(int64(300 * time.Millisecond))
		time.AfterFunc(lasts, func() { n.store.transfer.Store(0) })
	}
}

// checkChange writes a change and checks it on the nodes that have had no fault for walkSettle.
func (w *walk) checkChange() {
	if w.random.IntN(4) == 0 {
		w.older = w.memory.Copy()
	}
	version, written := w.write(), time.Now()
	var sound []int
	for i := range w.nodes {
		if !w.isFaultySince(i, written.Add(-walkSettle)) {
			sound = append(sound, i)
		}
	}
	w.checks.Go(func() {
		time.Sleep(applyLimit)
		if w.isLost(written) {
			return
		}
		for _, i := range sound {
			if n := w.nodes[i]; n.version.Load() < version && !w.isFaultySince(i, written) {
				w.t.Errorf("%s has version %d %v after version %d was written, at %v of the walk",
					n.name, n.version.Load(), applyLimit, version, written.Sub(w.began))
			}
		}
	})
}

// isFaultySince reports whether the node has had a fault at or after a time.
func (w *walk) isFaultySince(i int, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faultyUntil[i].After(since)
}
