package cell

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// walkSlices is the number of slices of each range in a walk.
const walkSlices = 5

// newWalkWorld builds a world of one or two cells with faults drawn from the seed.
func newWalkWorld(seed uint64) *world {
	w := newWorld(seed)
	w.abandons = true
	w.faults = faultRates{
		lose: 0.02, late: 0.03, duplicate: 0.02, slowWrite: 0.08, loseWrite: 0.05, staleSheet: 0.1, pauseAtWrite: 0.03,
		runFor: time.Second + time.Duration(w.rng.IntN(5000))*time.Millisecond,
	}
	cells := []string{"alfold"}
	if seed%3 == 0 {
		cells = append(cells, "dunantul")
	}
	if w.rng.IntN(2) == 0 {
		w.faults.load = 0.05
	}
	w.acceptSheet(walkSlices, cells...)
	count := 2 + w.rng.IntN(4)
	for i := range count {
		rate := 1 + (w.rng.Float64()-0.5)/100
		checks := w.rng.IntN(3) > 0
		w.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%2), cells[i%len(cells)], rate, checks)
	}
	w.after(3*time.Second, w.faultLoop)
	return w
}

func (w *world) faultLoop() {
	if w.now > walkFaultsEnd {
		return
	}
	w.after(time.Duration(200+w.rng.IntN(4000))*time.Millisecond, w.faultLoop)
	w.injectFault()
	if w.rng.IntN(3) == 0 {
		w.injectFault()
	}
}

// injectFault injects one random fault; most end by themselves.
func (w *world) injectFault() {
	n := w.nodes[w.names[w.rng.IntN(len(w.names))]]
	span := time.Duration(100+w.rng.IntN(6000)) * time.Millisecond
	switch w.rng.IntN(13) {
	case 0, 1:
		w.logf("%s pauses for %v", n.name, span)
		n.pausedUntil = max(n.pausedUntil, w.now+span)
	case 2, 3, 4:
		w.crash(n, span, w.rng.IntN(2) == 0)
	case 5, 6:
		w.partition(span)
	case 7:
		w.logf("store down for %v", 2*span)
		w.store.down = true
		w.after(2*span, func() { w.store.down = false })
	case 8:
		w.killTarget(n)
		w.after(span, func() { w.startTarget(n) })
	case 9:
		w.freezeTarget(n, span)
	case 10:
		w.nextSheet()
	case 11:
		w.leave(n)
	case 12:
		w.step(n, n.incarnation, ClockJumped{})
	}
}

func (w *world) crash(n *simNode, span time.Duration, withTarget bool) {
	if n.machine == nil {
		return
	}
	w.kill(n, withTarget)
	if w.rng.IntN(2) == 0 {
		span /= 20
	}
	w.after(span, func() {
		w.startTarget(n)
		w.start(n)
	})
}

func (w *world) freezeTarget(n *simNode, span time.Duration) {
	if !n.targetAlive {
		return
	}
	n.target.State = TargetSuspect
	inc := n.target.Incarnation
	w.after(span, func() {
		if n.targetAlive && n.target.Incarnation == inc {
			n.target.State = TargetReady
		}
	})
}

func (w *world) partition(span time.Duration) {
	parties := append(slices.Clone(w.names), storeName)
	side := make(map[string]bool)
	for _, p := range parties {
		side[p] = w.rng.IntN(2) == 0
	}
	w.logf("partition %v for %v", side, span)
	var cuts [][2]string
	for i, a := range parties {
		for _, b := range parties[i+1:] {
			if side[a] != side[b] {
				cuts = append(cuts, [2]string{a, b})
				w.cut[[2]string{a, b}] = true
			}
		}
	}
	w.after(span, func() {
		for _, c := range cuts {
			delete(w.cut, c)
		}
	})
}

func (w *world) nextSheet() {
	first := w.sheets[0].Services[0].Ranges
	cells := []string{first[0].Cell}
	if len(first) > 1 {
		cells = []string{"alfold", "dunantul"}
		if len(w.sheets)%2 == 1 {
			cells = []string{"dunantul", "alfold"}
		}
	}
	w.acceptSheet(walkSlices, cells...)
}

// leave starts a planned departure; a new process replaces the node's after eight seconds.
func (w *world) leave(n *simNode) {
	if n.machine == nil || w.now < n.pausedUntil {
		return
	}
	inc := n.incarnation
	w.logf("%s starts its planned departure", n.name)
	w.step(n, inc, LeaveRequested{})
	w.after(8*time.Second, func() {
		if n.incarnation == inc && n.machine != nil {
			w.kill(n, false)
			w.start(n)
		}
	})
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

const (
	// walkLength is the simulated time of one seed. At its end every slice must be served.
	walkLength = 90 * time.Second
	// walkFaultsEnd is the time after which no fault is injected.
	walkFaultsEnd = 65 * time.Second
	// handoverTime is the time allowed to finish a planned move that is in progress at the end.
	handoverTime = 500 * time.Millisecond
)

// endFaults ends all faults, so that the cells must recover.
func (w *world) endFaults() {
	w.faults = faultRates{}
	w.cut = make(map[[2]string]bool)
	w.store.down = false
	for _, name := range w.names {
		n := w.nodes[name]
		w.startTarget(n)
		n.target.State = TargetReady
		if n.machine == nil || n.left || n.machine.leaving {
			w.kill(n, false)
			w.start(n)
		}
	}
}

// walk runs one seed.
func walk(seed uint64) *world {
	w := newWalkWorld(seed)
	w.after(walkFaultsEnd+8*time.Second, w.endFaults)
	w.run(walkLength)
	want := 0
	for _, o := range w.store.objects {
		for _, rr := range o.rec.Ranges {
			want += len(rr.Slices)
		}
	}
	if least := walkSlices * len(w.sheets[0].Services[0].Ranges); want < least {
		w.violate("the records hold %d slices, the sheet has %d", want, least)
	}
	for end := w.now + handoverTime; w.served() != want && w.now < end; {
		w.run(w.now + 10*time.Millisecond)
	}
	if got := w.served(); len(w.violations) == 0 && got != want {
		w.violate("%d of %d slices are served after the faults ended", got, want)
	}
	return w
}

// TestWalk runs the random walk with fixed seeds. WALK_SEEDS sets their number, WALK_FIRST the
// first one.
func TestWalk(t *testing.T) {
	seeds, first := envInt("WALK_SEEDS", 300), envInt("WALK_FIRST", 1)
	for seed := first; seed < first+seeds; seed++ {
		w := walk(uint64(seed))
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %s\nrepeat: WALK_FIRST=%d WALK_SEEDS=1 go test ./cell -run TestWalk", seed, w.report(), seed)
		}
	}
}
