package cell

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

const storeName = "store"

// viaStore makes a call to the store after a delay; lost runs instead if the link is cut or the
// call is lost.
func (w *world) viaStore(n *simNode, delay time.Duration, call, lost func()) {
	if w.isCut(n.name, storeName) || w.rng.Float64() < w.faults.lose/4 {
		w.after(time.Second, lost)
		return
	}
	w.after(delay, call)
}

func (w *world) read(n *simNode, inc uint64) {
	failed := func() { w.step(n, inc, RecordRead{Status: ReadFailed}) }
	w.viaStore(n, w.latency(), func() {
		w.store.reads++
		if w.store.down {
			failed()
			return
		}
		o, ok := w.store.objects[n.cell]
		e := RecordRead{Status: ReadAbsent}
		if ok {
			e = RecordRead{Status: ReadFound, Version: o.version, WriteID: o.writeID, Record: o.rec.Clone()}
		}
		w.after(w.latency(), func() { w.step(n, inc, e) })
	}, failed)
}

// writeRecord simulates a conditional write. The writer of a slow one gives up waiting before it
// takes effect; the answer to a lost one never arrives.
func (w *world) writeRecord(n *simNode, inc uint64, e WriteRecord) {
	w.logf("%s writes epoch %d, controller %s, standby %s on version %d", n.name, e.Record.Epoch, e.Record.Controller.Name, e.Record.Standby.Name, e.Expected)
	unknown := func() { w.step(n, inc, RecordWritten{ID: e.ID, Status: WriteUnknown}) }
	delay := w.latency()
	slow := w.rng.Float64() < w.faults.slowWrite
	if slow {
		delay = time.Second + time.Duration(w.rng.IntN(5000))*time.Millisecond
	}
	if w.holdHook != nil && w.holdHook(n.name, storeName, "write") {
		w.held = append(w.held, heldMessage{what: n.name + " write store", run: func() { w.storeWrite(n, inc, e) }})
		w.after(time.Second, unknown)
		return
	}
	if w.rng.Float64() < w.faults.pauseAtWrite {
		n.pausedUntil = max(n.pausedUntil, w.now+time.Duration(w.rng.IntN(4000))*time.Millisecond)
	}
	if slow {
		w.after(time.Second, unknown)
	}
	w.viaStore(n, delay, func() {
		if w.store.down && !slow {
			w.step(n, inc, RecordWritten{ID: e.ID, Status: WriteUnavailable})
			return
		}
		result := w.storeWrite(n, inc, e)
		switch {
		case slow:
		case w.rng.Float64() < w.faults.loseWrite || (w.holdHook != nil && w.holdHook(storeName, n.name, "written")):
			w.after(time.Second, unknown)
		default:
			w.after(w.latency(), func() { w.step(n, inc, result) })
		}
	}, unknown)
}

// storeWrite executes a conditional write and checks the new record against the old one.
func (w *world) storeWrite(n *simNode, _ uint64, e WriteRecord) RecordWritten {
	w.store.writes++
	o := w.store.objects[n.cell]
	if o.version != e.Expected {
		return RecordWritten{ID: e.ID, Status: WriteConflict}
	}
	w.store.version++
	if o.rec != nil {
		w.checkRecord(o.rec, e.Record)
	}
	w.store.objects[n.cell] = simObject{version: w.store.version, writeID: e.ID, rec: e.Record.Clone()}
	w.logf("store accepts version %d from %s", w.store.version, n.name)
	return RecordWritten{ID: e.ID, Status: WriteDone, Version: w.store.version}
}

func (w *world) checkRecord(old, next *Record) {
	if next.Epoch < old.Epoch || next.SheetVersion < old.SheetVersion || next.FenceEpoch < old.FenceEpoch || next.RoleVersion < old.RoleVersion || next.Seq < old.Seq {
		w.violate("the record goes back: epoch %d to %d, sheet %d to %d", old.Epoch, next.Epoch, old.SheetVersion, next.SheetVersion)
	}
	next.forEachSlice(func(id keyspace.SliceID, _ *RangeRecord, a *Assignment) {
		was := old.assignment(id)
		if was != nil && was.Owner != a.Owner && a.Seq <= was.Seq {
			w.violate("slice %d: assignment %d to %s replaced by %d to %s", id.Index, was.Seq, was.Owner, a.Seq, a.Owner)
		}
	})
}

// watchLoop delivers the accepted sheet and the other cells' records to a controller.
func (w *world) watchLoop(n *simNode, inc uint64) {
	if n.machine == nil || n.incarnation != inc || !n.watching {
		return
	}
	if !w.store.down && !w.isCut(n.name, storeName) {
		w.deliverSheet(n, inc)
		w.deliverCells(n, inc)
	}
	w.after(100*time.Millisecond, func() { w.watchLoop(n, inc) })
}

func (w *world) deliverSheet(n *simNode, inc uint64) {
	if len(w.sheets) == 0 {
		return
	}
	sheet := w.sheets[len(w.sheets)-1]
	if w.rng.Float64() < w.faults.staleSheet {
		sheet = w.sheets[w.rng.IntN(len(w.sheets))]
	}
	w.after(w.latency(), func() { w.step(n, inc, SheetRead{Layout: sheet}) })
}

func (w *world) deliverCells(n *simNode, inc uint64) {
	if w.store.version == n.seenCells {
		return
	}
	n.seenCells = w.store.version
	e := CellsRead{Version: w.store.version}
	for _, name := range sortedNames(w.store.objects) {
		if name != n.cell {
			e.Cells = append(e.Cells, w.store.objects[name].rec.Summary())
		}
	}
	w.after(w.latency(), func() { w.step(n, inc, e) })
}

// acceptSheet publishes a sheet that assigns each named cell a range of the service.
func (w *world) acceptSheet(slices uint32, cells ...string) {
	l := &keyspace.Layout{Version: int64(len(w.sheets) + 1)}
	s := keyspace.Service{Name: "booking", Kind: keyspace.Keyed}
	bounds := []string{"", "m", ""}
	if len(cells) == 1 {
		bounds = []string{"", ""}
	}
	for i, c := range cells {
		s.Ranges = append(s.Ranges, keyspace.Range{
			Service: "booking", Kind: keyspace.Keyed, From: bounds[i], To: bounds[i+1], Region: c, Cell: c, Slices: slices,
		})
	}
	l.Services = []keyspace.Service{s}
	w.sheets = append(w.sheets, l)
	w.logf("sheet %d accepted for %v", l.Version, cells)
}
