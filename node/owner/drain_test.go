package owner

import (
	"net/http"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// TestRenewalDoesNotReopenADrainedSlice renews the lease of a slice after it was drained, as a
// heartbeat response that was in flight does. The next owner may already be serving the slice.
func TestRenewalDoesNotReopenADrainedSlice(t *testing.T) {
	s := newFixture(t)
	drained := make(chan struct{})
	s.owner.Drain(bookings.SliceOf("any"), func([]byte) { close(drained) })
	<-drained
	s.adoptLease(1, time.Now().Add(-time.Minute), nil)
	result, _ := s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonNotOwner)
	s.adoptLease(2, time.Now().Add(-time.Minute), nil)
	result, _ = s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.Answered, outcome.ReasonNone)
}

// TestRenewalDoesNotReopenADrainingSlice renews the lease of a draining slice while a request
// still runs: the request finishes, no new request is admitted, and the drain completes.
func TestRenewalDoesNotReopenADrainingSlice(t *testing.T) {
	s := newFixture(t)
	release := make(chan struct{})
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		s.fake.recordExecution(r)
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	first := make(chan outcome.Outcome, 1)
	go func() {
		first <- s.owner.Serve(t.Context(), booking(ulid.Make(), 1), &answerSink{}).Outcome
	}()
	eventually(t, "request at the target", func() bool { return s.fake.totalExecutions() == 1 })
	drained := make(chan struct{})
	s.owner.Drain(bookings.SliceOf("any"), func([]byte) { close(drained) })
	s.adoptLease(1, time.Now().Add(-time.Minute), nil)
	result, _ := s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonMoving)
	close(release)
	if got := <-first; got != outcome.Answered {
		t.Errorf("the running request ended %v", got)
	}
	select {
	case <-drained:
	case <-time.After(pollLimit):
		t.Error("the drain did not end")
	}
}

// TestDrainWaitsForAFormerLease lets a request outlive the lease under which it started. The
// slice is then drained, with and without being granted again first. The drain must not complete
// while the request may run: it is the only protection for a target that does not check fences.
func TestDrainWaitsForAFormerLease(t *testing.T) {
	for _, again := range []bool{true, false} {
		s := newFixture(t)
		release := make(chan struct{})
		s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
			s.fake.recordExecution(r)
			<-release
			w.WriteHeader(http.StatusNoContent)
		})
		first := make(chan struct{})
		go func() {
			s.owner.Serve(t.Context(), booking(ulid.Make(), 1), &answerSink{})
			close(first)
		}()
		eventually(t, "request at the target", func() bool { return s.fake.totalExecutions() == 1 })
		id := bookings.SliceOf("any")
		s.owner.EndLeases([]keyspace.SliceID{id}, "lapsed")
		if again {
			s.adoptLease(2, time.Now(), nil)
		}
		drained := make(chan struct{})
		s.owner.Drain(id, func([]byte) { close(drained) })
		select {
		case <-drained:
			t.Errorf("granted again %v: drained while a request of the former lease runs", again)
		case <-time.After(10 * pollStep):
		}
		close(release)
		<-first
		select {
		case <-drained:
		case <-time.After(pollLimit):
			t.Errorf("granted again %v: the drain did not end", again)
		}
	}
}
