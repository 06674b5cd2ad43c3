package owner

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

var onlySlice = bookings.SliceOf("any")

func TestRefusalsBeforeAnyWork(t *testing.T) {
	s := newFixture(t)
	noID := booking(ulid.ULID{}, 1)
	shared := booking(ulid.Make(), 1)
	shared.Range = manuals
	elsewhere := booking(ulid.Make(), 1)
	elsewhere.Slice.Index = 7
	late := booking(ulid.Make(), 1)
	late.Deadline = time.Now().Add(-time.Millisecond)
	ahead := ulid.MustNew(ulid.Timestamp(time.Now().Add(time.Minute)), ulid.DefaultEntropy())
	cases := map[outcome.Reason]*plane.Request{
		outcome.ReasonMissingID:     noID,
		outcome.ReasonSharedService: shared,
		outcome.ReasonNotOwner:      elsewhere,
		outcome.ReasonDeadline:      late,
		outcome.ReasonIDAhead:       booking(ahead, 1),
	}
	for reason, request := range cases {
		result, _ := s.serve(request)
		expectResult(t, result, outcome.NotRun, reason)
		if s.fake.executionsOf(request.ID) != 0 {
			t.Errorf("%s: ran", reason)
		}
	}
}

// TestDuplicateWaitsForTheFirst sends two concurrent attempts with one ID: the request runs
// once, and both attempts get the answer.
func TestDuplicateWaitsForTheFirst(t *testing.T) {
	s := newFixture(t)
	id := ulid.Make()
	release := make(chan struct{})
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		s.fake.recordExecution(r)
		<-release
		_, _ = io.WriteString(w, "once")
	})
	bodies := make(chan string, 2)
	send := func(attempt uint64) {
		result, sink := s.serve(booking(id, attempt))
		bodies <- result.Outcome.String() + " " + sink.body.String()
	}
	go send(1)
	eventually(t, "first runs", func() bool { return s.fake.executionsOf(id) == 1 })
	go send(2)
	close(release)
	for range 2 {
		if got := <-bodies; got != "answered once" {
			t.Errorf("got %q", got)
		}
	}
	if n := s.fake.executionsOf(id); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestPauseBeforeTheSend simulates a pause of the process between the check of the lease and
// the first byte to the target: the lease is checked again at the connection, and nothing is
// sent.
func TestPauseBeforeTheSend(t *testing.T) {
	s := newFixture(t)
	s.serve(lookup(manuals, "warm"))
	asked := 0
	request := booking(ulid.Make(), 1)
	call := target.Call{Request: request, ID: request.ID.String(), Remaining: func() time.Duration {
		if asked++; asked == 1 {
			return time.Second
		}
		return -time.Second
	}}
	result := s.link.Call(t.Context(), call, &answerSink{})
	if result.Outcome != outcome.NotRun || result.Reason != outcome.ReasonLeaseLapsed {
		t.Errorf("got %v %v", result.Outcome, result.Reason)
	}
	if n := s.fake.executionsOf(request.ID); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestDrainWaitsForWhatRuns checks that a slice is handed over only when none of its requests
// can be running.
func TestDrainWaitsForWhatRuns(t *testing.T) {
	s := newFixture(t)
	release := make(chan struct{})
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		s.fake.recordExecution(r)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	id := ulid.Make()
	results := make(chan plane.Result, 1)
	go func() {
		result, _ := s.serve(booking(id, 1))
		results <- result
	}()
	eventually(t, "work runs", func() bool { return s.fake.executionsOf(id) == 1 })
	drained := make(chan struct{})
	s.owner.Drain(onlySlice, func([]byte) { close(drained) })
	result, _ := s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonMoving)
	select {
	case <-drained:
		t.Error("drained while a request ran")
	default:
	}
	close(release)
	expectResult(t, <-results, outcome.Answered, "")
	<-drained
	result, _ = s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonNotOwner)
	eventually(t, "grant revoked", func() bool {
		s.fake.mu.Lock()
		defer s.fake.mu.Unlock()
		return len(s.fake.grants) == 0
	})
}

// TestUnresolvedCallHoldsTheSlice leaves an unresolved call on the target. Its slice is reported as
// unresolved and must not finish draining before the target reports the state of the call or
// its process is replaced.
func TestUnresolvedCallHoldsTheSlice(t *testing.T) {
	ways := map[string]func(s *fixture){
		"target says finished":  func(s *fixture) { s.fake.setCancelState("finished") },
		"target says cancelled": func(s *fixture) { s.fake.setCancelState("cancelled") },
		"target restarts":       func(s *fixture) { s.announce(2, false) },
	}
	for name, resolve := range ways {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.fake.setWork(func(w http.ResponseWriter, r *http.Request) { s.fake.recordExecution(r); closeConnection(w) })
			id := ulid.Make()
			result, _ := s.serve(booking(id, 1))
			expectResult(t, result, outcome.Unknown, outcome.ReasonTargetLost)
			if got := s.owner.UnresolvedSlices(); len(got) != 1 || got[0] != onlySlice {
				t.Errorf("unresolved %v", got)
			}
			drained := make(chan struct{})
			s.owner.Drain(onlySlice, func([]byte) { close(drained) })
			select {
			case <-drained:
				t.Error("drained with an unresolved call")
			case <-time.After(50 * time.Millisecond):
			}
			resolve(s)
			select {
			case <-drained:
			case <-time.After(pollLimit):
				t.Error("not drained after the call was resolved")
			}
			if got := s.owner.UnresolvedSlices(); len(got) != 0 {
				t.Errorf("unresolved %v", got)
			}
		})
	}
}

// TestLateProofFreesTheID lets the target report only later that an unresolved call never
// started: a resend may then run.
func TestLateProofFreesTheID(t *testing.T) {
	s := newFixture(t)
	normal := s.fake.work
	s.fake.setWork(func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	id := ulid.Make()
	result, _ := s.serve(booking(id, 1))
	expectResult(t, result, outcome.Unknown, outcome.ReasonTargetLost)
	s.fake.setWork(normal)
	s.fake.setCancelState("cancelled")
	eventually(t, "call resolved", func() bool { return len(s.owner.UnresolvedSlices()) == 0 })
	result, _ = s.serve(booking(id, 2))
	expectResult(t, result, outcome.Answered, "")
	if n := s.fake.executionsOf(id); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestRestartedTargetIsToldItsGrants checks that no request is sent to a new target process
// before it has received the grants.
func TestRestartedTargetIsToldItsGrants(t *testing.T) {
	s := newFixture(t)
	s.fake.mu.Lock()
	clear(s.fake.grants)
	s.fake.grantsDown = true
	s.fake.mu.Unlock()
	s.announce(2, true)
	s.waitReady(2)
	result, _ := s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonTargetUnreachable)
	s.fake.mu.Lock()
	s.fake.grantsDown = false
	s.fake.mu.Unlock()
	eventually(t, "answered again", func() bool {
		result, _ := s.serve(booking(ulid.Make(), 1))
		return result.Outcome == outcome.Answered
	})
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	if got := s.fake.grants[onlySlice.String()]; got != "1.1" {
		t.Errorf("target has fence %q", got)
	}
}

// TestReportsWork checks the slice loads and the target report for the controller.
func TestReportsWork(t *testing.T) {
	s := newFixture(t)
	s.fake.setWork(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	for i := range 20 {
		key := "hot"
		if i%4 == 0 {
			key = fmt.Sprint("cold", i)
		}
		s.serve(lookup(bookings, key))
	}
	loads := s.owner.SliceLoads()
	if len(loads) != 1 || loads[0].Slice != onlySlice || loads[0].Requests != 20 || loads[0].WorkMillis < 100 {
		t.Fatalf("loads %+v", loads)
	}
	if loads[0].HotKey != "hot" || loads[0].HotShare < 500 {
		t.Errorf("hot key %q with %d", loads[0].HotKey, loads[0].HotShare)
	}
	if report := s.owner.Report(); report.Utilization == 0 || report.Slots != 6 || !report.ChecksFences {
		t.Errorf("report %+v", report)
	}
	if again := s.owner.SliceLoads(); len(again) != 0 {
		t.Errorf("loads were not reset: %+v", again)
	}
	s.owner.EndLeases([]keyspace.SliceID{onlySlice}, "test")
}
