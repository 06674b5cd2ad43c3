package owner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

var errCallerGone = errors.New("caller gone")

// fault describes one fault that is injected while a booking is served.
type fault struct {
	// before runs before the first send.
	before func(s *fixture)
	// work replaces the target's handler for the first send; nil keeps it.
	work func(s *fixture) http.HandlerFunc
	// send replaces the default first send; nil keeps it.
	send func(s *fixture, request *plane.Request) plane.Result
	// between runs before the resend; it returns the fixture that receives the resend.
	between func(s *fixture) *fixture
	// bodyBytes is the length of the request's body; zero keeps the default body.
	bodyBytes int
	// deadline replaces the deadline of the first send; zero keeps the default.
	deadline time.Duration
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	conn.Close()
}

// respondRaw writes the given bytes as the answer and closes the connection.
func respondRaw(w http.ResponseWriter, answer string) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_, _ = io.WriteString(conn, answer)
	conn.Close()
}

func refuseWith(reason string, status int) func(*fixture) http.HandlerFunc {
	return func(*fixture) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderNotRun, reason)
			w.WriteHeader(status)
		}
	}
}

// executeThen records an execution of the request and then calls then in place of answering.
func executeThen(then func(w http.ResponseWriter, r *http.Request)) func(*fixture) http.HandlerFunc {
	return func(s *fixture) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			s.fake.recordExecution(r)
			then(w, r)
		}
	}
}

func blockUntilCancelled(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func answerCancelsWith(state string) func(*fixture) {
	return func(s *fixture) { s.fake.setCancelState(state) }
}

// sendAndCancel sends the request and cancels it once the target has started the work.
func sendAndCancel(s *fixture, request *plane.Request) plane.Result {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	go func() {
		eventually(s.t, "work started", func() bool { return s.fake.executionsOf(request.ID) > 0 })
		cancel()
	}()
	return s.owner.Serve(ctx, request, &answerSink{})
}

// fillSlots occupies every slot that is available to a booking until release is called.
func fillSlots(s *fixture) (release func()) {
	stop := make(chan struct{})
	done := make(chan struct{})
	normal := s.fake.work
	s.fake.setWork(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			normal(w, r)
			return
		}
		<-stop
		_, _ = io.WriteString(w, "late")
	})
	const fillers = 6
	go func() {
		defer close(done)
		ended := make(chan struct{})
		for i := range fillers {
			go func() {
				s.owner.Serve(context.Background(), lookup(manuals, fmt.Sprint("filler", i)), &answerSink{})
				ended <- struct{}{}
			}()
		}
		for range fillers {
			<-ended
		}
	}()
	eventually(s.t, "slots full", func() bool { return s.link.Report().InFlight >= 2 })
	return func() { close(stop); <-done }
}

// whileQueued sends the request while no slot is free and calls then once it is queued.
func whileQueued(then func(s *fixture, leave context.CancelFunc)) func(*fixture, *plane.Request) plane.Result {
	return func(s *fixture, request *plane.Request) plane.Result {
		release := fillSlots(s)
		defer release()
		ctx, cancel := context.WithCancel(s.t.Context())
		defer cancel()
		results := make(chan plane.Result, 1)
		go func() { results <- s.owner.Serve(ctx, request, &answerSink{}) }()
		eventually(s.t, "request queued", func() bool {
			s.owner.mu.Lock()
			defer s.owner.mu.Unlock()
			return s.owner.isQueued(request.ID)
		})
		then(s, cancel)
		return <-results
	}
}

func (o *Owner) isQueued(id ulid.ULID) bool {
	for _, r := range o.queued {
		if r.request.ID == id {
			return true
		}
	}
	return false
}

// handOverToNewOwner drains the slice and hands its window to a second owner, which has its own
// target.
func handOverToNewOwner(s *fixture) *fixture {
	windows := make(chan []byte, 1)
	s.owner.Drain(bookings.SliceOf("bay/7"), func(window []byte) { windows <- window })
	next := newFixture(s.t)
	next.adoptLease(9, time.Now(), <-windows)
	return next
}

// loseToNewOwner ends the slice's lease and grants it to a second owner without handing over
// the window.
func loseToNewOwner(s *fixture) *fixture {
	s.owner.EndLeases([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
	next := newFixture(s.t)
	next.owner.EndLeases([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
	next.adoptLease(9, time.Now().Add(time.Millisecond), nil)
	return next
}

func faultTable() map[string]fault {
	const half = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of the answer"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	const unframed = "HTTP/1.0 200 OK\r\n\r\nit may or may not be whole"
	const crossed = "HTTP/1.1 200 OK\r\nAuburnrelay-Attempt: 7\r\nContent-Length: 5\r\n\r\nother"
	neverRuns := func(*fixture) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }
	}
	return map[string]fault{
		"none": {},
		"pooled-connection-closed-before-send": {before: func(s *fixture) {
			s.serve(lookup(manuals, "first"))
			s.fake.server.CloseClientConnections()
			eventually(s.t, "connections closed", func() bool { return s.link.OpenConns() == 0 })
		}},
		"refused-shed":     {work: refuseWith("shed", 503)},
		"refused-fence":    {work: refuseWith("fence", 412)},
		"refused-lapsed":   {work: refuseWith("lapsed", 412)},
		"refused-draining": {work: refuseWith("draining", 503)},
		"refused-starting": {work: refuseWith("starting", 503)},
		"refused-deadline": {work: refuseWith("deadline", 503)},
		"half-sent":        {work: neverRuns, bodyBytes: 8 << 20},
		"half-sent-target-says-cancelled": {
			work: neverRuns, bodyBytes: 8 << 20, before: answerCancelsWith("cancelled"),
		},
		"sent-not-answered":                 {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })},
		"sent-not-answered-target-finished": {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }), before: answerCancelsWith("finished")},
		"sent-not-answered-cancel-lost":     {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }), before: answerCancelsWith("")},
		"half-answered":                     {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { respondRaw(w, half) })},
		"half-answered-chunked":             {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { respondRaw(w, chunked) })},
		"half-answered-target-lies": {
			work: executeThen(func(w http.ResponseWriter, _ *http.Request) { respondRaw(w, half) }), before: answerCancelsWith("cancelled"),
		},
		"answer-without-end": {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { respondRaw(w, unframed) })},
		"crossed-answer":     {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { respondRaw(w, crossed) })},
		"answered-and-lost":  {between: func(s *fixture) *fixture { return s }},
		"caller-breaks-off-the-answer": {send: func(s *fixture, q *plane.Request) plane.Result {
			return s.owner.Serve(s.t.Context(), q, &answerSink{broken: errCallerGone})
		}},
		"caller-gone-while-running": {work: executeThen(blockUntilCancelled), send: sendAndCancel},
		"caller-gone-while-running-target-confirms": {
			work: executeThen(blockUntilCancelled), send: sendAndCancel, before: answerCancelsWith("finished"),
		},
		"caller-gone-while-queued": {send: whileQueued(func(_ *fixture, leave context.CancelFunc) { leave() })},
		"deadline-while-running":   {work: executeThen(blockUntilCancelled), deadline: 100 * time.Millisecond},
		"deadline-while-queued": {
			send: whileQueued(func(*fixture, context.CancelFunc) {}), deadline: 300 * time.Millisecond,
		},
		"slice-ended-while-queued": {send: whileQueued(func(s *fixture, _ context.CancelFunc) {
			s.owner.EndLeases([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
		}), between: handOverToNewOwner},
		"slice-drained-while-queued": {send: whileQueued(func(s *fixture, _ context.CancelFunc) {
			s.owner.Drain(bookings.SliceOf("bay/7"), func([]byte) {})
		}), between: handOverToNewOwner},
		"lease-lapsed-before-the-request": {before: func(s *fixture) { s.advanceClock(11 * time.Second) }},
		"lease-lapsed-while-running": {work: func(s *fixture) http.HandlerFunc {
			return executeThen(func(w http.ResponseWriter, _ *http.Request) {
				s.advanceClock(11 * time.Second)
				_, _ = io.WriteString(w, "ran under a valid fence")
			})(s)
		}, between: func(s *fixture) *fixture { s.adoptLease(1, time.Now(), nil); return s }},
		"moved-between":       {between: handOverToNewOwner},
		"owner-lost-between":  {between: loseToNewOwner},
		"owner-lost-half-way": {work: executeThen(func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }), between: loseToNewOwner},
	}
}

// TestFaults injects one fault into each booking, resends the booking with the same ID, and
// prints both outcomes and the number of executions. docs/design/outcomes.md shows the same
// table as testdata/faults.
func TestFaults(t *testing.T) {
	table := faultTable()
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "fault" {
			t.Fatalf("unknown command %q", d.Cmd)
		}
		name := d.CmdArgs[0].Key
		f, known := table[name]
		if !known {
			t.Fatalf("unknown fault %q", name)
		}
		delete(table, name)
		return f.inject(t)
	})
	for name := range table {
		t.Errorf("fault %q is not in testdata/faults", name)
	}
}

func (f fault) inject(t *testing.T) string {
	s := newFixture(t)
	if f.before != nil {
		f.before(s)
	}
	normal := s.fake.work
	if f.work != nil {
		s.fake.setWork(f.work(s))
	}
	id := ulid.Make()
	first := f.firstSend(s, f.request(id, 1))
	ran := s.fake.executionsOf(id)
	s.fake.setWork(normal)
	next := s
	if f.between != nil {
		next = f.between(s)
	}
	again, _ := next.serve(f.request(id, 2))
	total := s.fake.executionsOf(id)
	if next != s {
		total += next.fake.executionsOf(id)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "first:  %-8v %-18s executions=%d\n", first.Outcome, first.Reason, ran)
	fmt.Fprintf(&out, "resend: %-8v %-18s executions=%d\n", again.Outcome, again.Reason, total)
	checkInvariants(t, first, ran, again, total)
	return out.String()
}

// checkInvariants checks the invariants that hold for every fault, whatever testdata/faults
// expects.
func checkInvariants(t *testing.T, first plane.Result, ran int, again plane.Result, total int) {
	t.Helper()
	if first.Outcome == outcome.NotRun && ran > 0 {
		t.Errorf("reported as not run, but ran %d times", ran)
	}
	if first.Outcome == outcome.Answered && ran != 1 {
		t.Errorf("answered after %d executions", ran)
	}
	if total > 1 {
		t.Errorf("ran %d times", total)
	}
	if again.Outcome == outcome.NotRun && total > ran {
		t.Errorf("resend reported as not run, but ran")
	}
}

func (f fault) request(id ulid.ULID, attempt uint64) *plane.Request {
	q := booking(id, attempt)
	if f.bodyBytes > 0 {
		q.Body = make([]byte, f.bodyBytes)
	}
	if f.deadline > 0 && attempt == 1 {
		q.Deadline = time.Now().Add(f.deadline)
	}
	return q
}

func (f fault) firstSend(s *fixture, q *plane.Request) plane.Result {
	if f.send != nil {
		return f.send(s, q)
	}
	return s.owner.Serve(s.t.Context(), q, &answerSink{})
}

// TestUnreachableTargetIsNotRun sends a booking to a target that has stopped listening.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	s := newFixture(t)
	s.fake.server.Listener.Close()
	s.fake.server.CloseClientConnections()
	eventually(t, "connections closed", func() bool { return s.link.OpenConns() == 0 })
	began := time.Now()
	result, _ := s.serve(booking(ulid.Make(), 1))
	if took := time.Since(began); result.Outcome != outcome.NotRun || took > 2*time.Second {
		t.Errorf("got %v %v after %v", result.Outcome, result.Reason, took)
	}
	eventually(t, "target absent", func() bool { return s.owner.Report().State == plane.TargetAbsent })
	result, _ = s.serve(booking(ulid.Make(), 1))
	expectResult(t, result, outcome.NotRun, outcome.ReasonTargetAbsent)
}
