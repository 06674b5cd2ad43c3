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
	before func(s *stand)
	// work replaces the target's handler for the first send; nil keeps it.
	work func(s *stand) http.HandlerFunc
	// send replaces the default first send; nil keeps it.
	send func(s *stand, request *plane.Request) plane.Result
	// between runs before the resend; it returns the stand that receives the resend.
	between func(s *stand) *stand
	// bodyBytes is the length of the request's body; zero keeps the default body.
	bodyBytes int
	// deadline replaces the deadline of the first send; zero keeps the default.
	deadline time.Duration
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	conn.Close()
}

// raw writes the given bytes as the answer and closes the connection.
func raw(w http.ResponseWriter, answer string) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_, _ = io.WriteString(conn, answer)
	conn.Close()
}

func refuses(reason string, status int) func(*stand) http.HandlerFunc {
	return func(*stand) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderNotRun, reason)
			w.WriteHeader(status)
		}
	}
}

// runsThen records an execution of the request and then calls then in place of answering.
func runsThen(then func(w http.ResponseWriter, r *http.Request)) func(*stand) http.HandlerFunc {
	return func(s *stand) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			s.fake.ran(r)
			then(w, r)
		}
	}
}

func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func cancelsAs(state string) func(*stand) { return func(s *stand) { s.fake.setCancels(state) } }

// sendAndLeave sends the request and cancels it once the target has started the work.
func sendAndLeave(s *stand, request *plane.Request) plane.Result {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	go func() {
		eventually(s.t, "work started", func() bool { return s.fake.executed(request.ID) > 0 })
		cancel()
	}()
	return s.owner.Serve(ctx, request, &answerSink{})
}

// fillSlots occupies every slot that is available to a booking until release is called.
func fillSlots(s *stand) (release func()) {
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
func whileQueued(then func(s *stand, leave context.CancelFunc)) func(*stand, *plane.Request) plane.Result {
	return func(s *stand, request *plane.Request) plane.Result {
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
	for _, r := range o.waiting {
		if r.request.ID == id {
			return true
		}
	}
	return false
}

// moved drains the slice and hands its window to a second owner, which has its own target.
func moved(s *stand) *stand {
	windows := make(chan []byte, 1)
	s.owner.Drain(bookings.SliceOf("bay/7"), func(window []byte) { windows <- window })
	next := newStand(s.t)
	next.adopt(9, time.Now(), <-windows)
	return next
}

// lost ends the slice's lease and grants it to a second owner without handing over the window.
func lost(s *stand) *stand {
	s.owner.End([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
	next := newStand(s.t)
	next.owner.End([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
	next.adopt(9, time.Now().Add(time.Millisecond), nil)
	return next
}

func faults() map[string]fault {
	const half = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of the answer"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	const unframed = "HTTP/1.0 200 OK\r\n\r\nit may or may not be whole"
	const crossed = "HTTP/1.1 200 OK\r\nAuburnrelay-Attempt: 7\r\nContent-Length: 5\r\n\r\nother"
	neverRuns := func(*stand) http.HandlerFunc { return func(w http.ResponseWriter, _ *http.Request) { hangUp(w) } }
	return map[string]fault{
		"none": {},
		"pooled-connection-closed-before-send": {before: func(s *stand) {
			s.serve(lookup(manuals, "first"))
			s.fake.server.CloseClientConnections()
			eventually(s.t, "connections closed", func() bool { return s.link.OpenConns() == 0 })
		}},
		"refused-shed":     {work: refuses("shed", 503)},
		"refused-fence":    {work: refuses("fence", 412)},
		"refused-lapsed":   {work: refuses("lapsed", 412)},
		"refused-draining": {work: refuses("draining", 503)},
		"refused-starting": {work: refuses("starting", 503)},
		"refused-deadline": {work: refuses("deadline", 503)},
		"half-sent":        {work: neverRuns, bodyBytes: 8 << 20},
		"half-sent-target-says-cancelled": {
			work: neverRuns, bodyBytes: 8 << 20, before: cancelsAs("cancelled"),
		},
		"sent-not-answered":                 {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { hangUp(w) })},
		"sent-not-answered-target-finished": {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }), before: cancelsAs("finished")},
		"sent-not-answered-cancel-lost":     {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }), before: cancelsAs("")},
		"half-answered":                     {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { raw(w, half) })},
		"half-answered-chunked":             {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { raw(w, chunked) })},
		"half-answered-target-lies": {
			work: runsThen(func(w http.ResponseWriter, _ *http.Request) { raw(w, half) }), before: cancelsAs("cancelled"),
		},
		"answer-without-end": {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { raw(w, unframed) })},
		"crossed-answer":     {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { raw(w, crossed) })},
		"answered-and-lost":  {between: func(s *stand) *stand { return s }},
		"caller-breaks-off-the-answer": {send: func(s *stand, q *plane.Request) plane.Result {
			return s.owner.Serve(s.t.Context(), q, &answerSink{broken: errCallerGone})
		}},
		"caller-gone-while-running": {work: runsThen(hangs), send: sendAndLeave},
		"caller-gone-while-running-target-confirms": {
			work: runsThen(hangs), send: sendAndLeave, before: cancelsAs("finished"),
		},
		"caller-gone-while-queued": {send: whileQueued(func(_ *stand, leave context.CancelFunc) { leave() })},
		"deadline-while-running":   {work: runsThen(hangs), deadline: 100 * time.Millisecond},
		"deadline-while-queued": {
			send: whileQueued(func(*stand, context.CancelFunc) {}), deadline: 300 * time.Millisecond,
		},
		"slice-ended-while-queued": {send: whileQueued(func(s *stand, _ context.CancelFunc) {
			s.owner.End([]keyspace.SliceID{bookings.SliceOf("bay/7")}, "test")
		}), between: moved},
		"slice-drained-while-queued": {send: whileQueued(func(s *stand, _ context.CancelFunc) {
			s.owner.Drain(bookings.SliceOf("bay/7"), func([]byte) {})
		}), between: moved},
		"lease-lapsed-before-the-request": {before: func(s *stand) { s.jump(11 * time.Second) }},
		"lease-lapsed-while-running": {work: func(s *stand) http.HandlerFunc {
			return runsThen(func(w http.ResponseWriter, _ *http.Request) {
				s.jump(11 * time.Second)
				_, _ = io.WriteString(w, "ran under a valid fence")
			})(s)
		}, between: func(s *stand) *stand { s.adopt(1, time.Now(), nil); return s }},
		"moved-between":       {between: moved},
		"owner-lost-between":  {between: lost},
		"owner-lost-half-way": {work: runsThen(func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }), between: lost},
	}
}

// TestFaults injects one fault into each booking, resends the booking with the same ID, and
// prints both outcomes and the number of executions. docs/design/outcomes.md shows the same
// table as testdata/faults.
func TestFaults(t *testing.T) {
	table := faults()
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
		return f.play(t)
	})
	for name := range table {
		t.Errorf("fault %q is not in testdata/faults", name)
	}
}

func (f fault) play(t *testing.T) string {
	s := newStand(t)
	if f.before != nil {
		f.before(s)
	}
	normal := s.fake.work
	if f.work != nil {
		s.fake.setWork(f.work(s))
	}
	id := ulid.Make()
	first := f.sendOnce(s, f.request(id, 1))
	ran := s.fake.executed(id)
	s.fake.setWork(normal)
	next := s
	if f.between != nil {
		next = f.between(s)
	}
	again, _ := next.serve(f.request(id, 2))
	total := s.fake.executed(id)
	if next != s {
		total += next.fake.executed(id)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "first:  %-8v %-18s executions=%d\n", first.Outcome, first.Reason, ran)
	fmt.Fprintf(&out, "resend: %-8v %-18s executions=%d\n", again.Outcome, again.Reason, total)
	checkPromises(t, first, ran, again, total)
	return out.String()
}

// checkPromises checks the invariants that hold for every fault, whatever testdata/faults
// expects.
func checkPromises(t *testing.T, first plane.Result, ran int, again plane.Result, total int) {
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

func (f fault) sendOnce(s *stand, q *plane.Request) plane.Result {
	if f.send != nil {
		return f.send(s, q)
	}
	return s.owner.Serve(s.t.Context(), q, &answerSink{})
}

// TestUnreachableTargetIsNotRun sends a booking to a target that has stopped listening.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	s := newStand(t)
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
	expect(t, result, outcome.NotRun, outcome.ReasonTargetAbsent)
}
