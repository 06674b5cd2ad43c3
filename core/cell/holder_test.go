package cell

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// singleNode runs a single machine; the test acts as its controller and as the store.
type singleNode struct {
	machine    *Machine
	now        time.Duration
	heartbeats []Heartbeat
	held       map[keyspace.SliceID]AdoptedLease
	drains     int
	// abandon lists the slices that the machine last asked to give up.
	abandon   []keyspace.SliceID
	lastWrite *WriteRecord
}

var testSlice = keyspace.SliceID{Range: 7, Index: 1}

func newSingleNode(disable func(*guards), readRecord bool) *singleNode {
	l := &singleNode{now: time.Hour, held: make(map[keyspace.SliceID]AdoptedLease)}
	self := Member{Node: Node{"b", 1}, Target: Target{State: TargetReady, Incarnation: 1, ChecksFences: true}}
	l.machine = New(Config{Cell: "alfold", Self: self, Timing: DefaultTiming()})
	disable(&l.machine.guards)
	if readRecord {
		r := &Record{Cell: "alfold", Epoch: 1, Controller: Node{"a", 1}, Nodes: []Member{{Node: Node{"a", 1}}}}
		l.step(RecordRead{Status: ReadFound, Version: 1, Record: r})
		l.step(Tick{})
	}
	return l
}

func (l *singleNode) step(e Event) {
	l.now += 10 * time.Millisecond
	for _, effect := range l.machine.Step(l.now, e) {
		switch f := effect.(type) {
		case SendHeartbeat:
			l.heartbeats = append(l.heartbeats, f.Heartbeat)
		case AdoptLeases:
			for _, a := range f.Leases {
				l.held[a.Slice] = a
			}
		case EndLeases:
			for _, id := range f.Slices {
				delete(l.held, id)
			}
		case WriteRecord:
			l.lastWrite = &f
		case DrainSlice:
			l.drains++
		case AbandonSlices:
			l.abandon = f.Slices
		}
	}
}

// answerWithGrant answers the last heartbeat with a full set of one grant, modified by change.
func (l *singleNode) answerWithGrant(f fence.Fence, change func(*HeartbeatResponse)) {
	a := HeartbeatResponse{
		Number: l.heartbeats[len(l.heartbeats)-1].Number, Accepted: true, Epoch: 1, LeaseDuration: 2 * time.Second,
		Set: f.Seq, Full: true, Grants: []Grant{{Slice: testSlice, Fence: f}},
	}
	change(&a)
	l.step(HeartbeatAnswered{Answer: a})
}

func (l *singleNode) awaitHeartbeat() {
	count := len(l.heartbeats)
	for range 100 {
		if l.step(Tick{}); len(l.heartbeats) > count {
			return
		}
	}
}

// holderCases holds, by guard, events after which the node must not hold the slice. Without the
// guard it does.
var holderCases = map[string]func(l *singleNode){
	"release fence": func(l *singleNode) {
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(a *HeartbeatResponse) { a.Drain = []keyspace.SliceID{testSlice} })
		delete(l.held, testSlice)
		l.step(SliceDrained{Slice: testSlice, Number: 1})
		l.awaitHeartbeat()
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
	},
	"table before grant": func(l *singleNode) {
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(a *HeartbeatResponse) { a.MinTableVersion = TableVersion{Epoch: 1, Number: 9} })
	},
	"refuse previous epochs": func(l *singleNode) {
		l.step(Poked{Poke: Poke{Epoch: 2, Controller: Member{Node: Node{"c", 1}}}})
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
	},
	"no lower fence": func(l *singleNode) {
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
		l.awaitHeartbeat()
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 4}, func(*HeartbeatResponse) {})
		if l.held[testSlice].Fence.Seq == 5 {
			delete(l.held, testSlice)
		}
	},
}

func TestHolderRefuses(t *testing.T) {
	for name, run := range holderCases {
		with := newSingleNode(func(*guards) {}, true)
		run(with)
		if len(with.held) > 0 {
			t.Errorf("%s: holds %v although the guard is on", name, with.held)
		}
		without := newSingleNode(guardSwitches[name], true)
		run(without)
		if len(without.held) == 0 {
			t.Errorf("%s: refused without the guard too, so the case proves nothing", name)
		}
	}
}

// TestStartWithoutRecord checks that a node sends no heartbeat before it has read the record.
func TestStartWithoutRecord(t *testing.T) {
	run := func(disable func(*guards)) int {
		l := newSingleNode(disable, false)
		l.step(Tick{})
		l.step(RecordRead{Status: ReadFailed})
		l.step(Poked{Poke: Poke{Epoch: 1, Controller: Member{Node: Node{"a", 1}}}})
		l.step(Tick{})
		return len(l.heartbeats)
	}
	if n := run(func(*guards) {}); n != 0 {
		t.Errorf("%d heartbeats before the record was read", n)
	}
	if run(guardSwitches["record read first"]) == 0 {
		t.Error("no heartbeat without the guard either, so the case proves nothing")
	}
}

// TestDrainAcrossEpochs checks that a grant of the next epoch does not make a draining slice
// accept requests again: it extends the lease under the fence with which the drain began.
func TestDrainAcrossEpochs(t *testing.T) {
	l := newSingleNode(func(*guards) {}, true)
	first := fence.Fence{Epoch: 1, Seq: 5}
	l.answerWithGrant(first, func(a *HeartbeatResponse) { a.Drain = []keyspace.SliceID{testSlice} })
	until := l.held[testSlice].Until
	l.step(Poked{Poke: Poke{Epoch: 2, Controller: Member{Node: Node{"c", 1}}}})
	l.answerWithGrant(fence.Fence{Epoch: 2, Seq: 5}, func(a *HeartbeatResponse) { a.Epoch = 2 })
	if got := l.held[testSlice]; got.Fence != first || got.Until <= until {
		t.Errorf("adopted %v until %v, want %v extended beyond %v", got.Fence, got.Until, first, until)
	}
	l.step(SliceDrained{Slice: testSlice, Number: 1})
	if last := l.heartbeats[len(l.heartbeats)-1]; len(last.Released) != 1 || last.Released[0].Fence.Epoch != 2 {
		t.Errorf("released %v, want the fence of the next epoch", last.Released)
	}
}

// TestTakeoverBoundsOwnLeases checks that the leases that a new controller holds from the
// previous one end with its own authority, and that they do not without the guard.
func TestTakeoverBoundsOwnLeases(t *testing.T) {
	for _, name := range []string{"", "own lease within authority"} {
		disable := guardSwitches[name]
		if disable == nil {
			disable = func(*guards) {}
		}
		l := newSingleNode(disable, true)
		r := l.machine.record.Clone()
		r.Standby, r.RoleVersion = Node{"b", 1}, 2
		l.step(RecordRead{Status: ReadFound, Version: 2, Record: r})
		l.now += 3 * time.Second
		l.awaitHeartbeat()
		l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
		sent := l.now
		for l.lastWrite == nil {
			l.step(Tick{})
		}
		l.step(RecordWritten{ID: l.lastWrite.ID, Status: WriteDone, Version: 3})
		bound := l.held[testSlice].Until <= l.now+DefaultTiming().Promise
		if want := name == ""; bound != want {
			t.Errorf("disabled guard %q: lease until %v, taken over at %v, granted at %v", name, l.held[testSlice].Until, l.now, sent)
		}
	}
}

// TestDatesFromSending checks that a lease counts from before its heartbeat was sent.
func TestDatesFromSending(t *testing.T) {
	l := newSingleNode(func(*guards) {}, true)
	sent := l.now
	l.now += 700 * time.Millisecond
	l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
	if got, want := l.held[testSlice].Until, sent+DefaultTiming().Lease; got != want {
		t.Errorf("lease until %v, want %v", got, want)
	}
}

// TestEveryGuardIsProved checks that each guard has a script or a case that fails without it.
func TestEveryGuardIsProved(t *testing.T) {
	proved := map[string]bool{"record read first": true}
	for name := range holderCases {
		proved[name] = true
	}
	for _, path := range guardScripts(t) {
		_, guard := scriptCommands(t, path)
		proved[guard] = true
	}
	for _, name := range sortedNames(guardSwitches) {
		if !proved[name] {
			t.Errorf("no test fails without the guard %q", name)
		}
	}
}

// TestAbandonForSuspectTarget checks that a node asks to give up its slices if its target is
// suspect and checks fences, and only then; that it releases the slices that were given up; and
// that it does not adopt them again under the released fence.
func TestAbandonForSuspectTarget(t *testing.T) {
	for _, checks := range []bool{true, false} {
		l := newSingleNode(func(*guards) {}, true)
		l.step(TargetReported{Target: Target{State: TargetReady, Incarnation: 1, ChecksFences: checks}})
		l.awaitHeartbeat()
		granted := fence.Fence{Epoch: 1, Seq: 5}
		l.answerWithGrant(granted, func(*HeartbeatResponse) {})
		l.step(TargetReported{Target: Target{State: TargetSuspect, Incarnation: 1, ChecksFences: checks}})
		l.step(Tick{})
		if asked := len(l.abandon) == 1; asked != checks {
			t.Errorf("target checks fences: %v, asked to give up: %v", checks, asked)
		}
		if !checks {
			continue
		}
		delete(l.held, testSlice)
		l.step(SlicesAbandoned{Slices: l.abandon})
		released := l.heartbeats[len(l.heartbeats)-1].Released
		if len(released) != 1 || released[0].Fence != granted || released[0].Window != nil {
			t.Errorf("released %v", released)
		}
		l.answerWithGrant(granted, func(*HeartbeatResponse) {})
		if len(l.held) != 0 {
			t.Error("adopted again under the released fence")
		}
	}
}

// TestCandidateReadsFirst checks that a node does not take over on the basis of a record that it
// read before the controller became silent.
func TestCandidateReadsFirst(t *testing.T) {
	l := newSingleNode(func(*guards) {}, true)
	l.now += 5 * time.Second
	l.awaitHeartbeat()
	l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, func(*HeartbeatResponse) {})
	for range 500 {
		l.step(Tick{})
	}
	if l.lastWrite != nil {
		t.Errorf("took over with a write on version %d without a read", l.lastWrite.Expected)
	}
	l.step(RecordRead{Status: ReadFound, Version: 1, Record: l.machine.record})
	l.step(Tick{})
	if l.lastWrite == nil {
		t.Error("no takeover after a read that shows the same version")
	}
}

// TestEndOfFormerDrain checks that the completion of a drain whose lease has lapsed does not
// complete a later drain of the same slice.
func TestEndOfFormerDrain(t *testing.T) {
	l := newSingleNode(func(*guards) {}, true)
	draining := func(a *HeartbeatResponse) { a.Drain = []keyspace.SliceID{testSlice} }
	l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, draining)
	l.now += 3 * time.Second
	l.step(Tick{})
	l.awaitHeartbeat()
	l.answerWithGrant(fence.Fence{Epoch: 1, Seq: 5}, draining)
	if l.drains != 2 {
		t.Fatalf("%d drains, want one under each lease", l.drains)
	}
	l.step(SliceDrained{Slice: testSlice, Number: 1})
	if l.awaitHeartbeat(); len(l.heartbeats[len(l.heartbeats)-1].Released) != 0 {
		t.Error("released at the end of the previous drain")
	}
	l.step(SliceDrained{Slice: testSlice, Number: 2})
	if len(l.heartbeats[len(l.heartbeats)-1].Released) != 1 {
		t.Error("not released at the end of its own drain")
	}
}
