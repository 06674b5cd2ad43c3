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

// fault is one trouble on the way of a booking.
type fault struct {
	// before prepares the stand.
	before func(s *stand)
	// work replaces what the target does; nil leaves it.
	work func(s *stand) http.HandlerFunc
	// send replaces the plain first send; nil leaves it.
	send func(s *stand, request *plane.Request) plane.Result
	// between happens before the resend; it returns the stand that the resend goes to.
	between func(s *stand) *stand
	// bodyBytes makes the request's body this long.
	bodyBytes int
	deadline  time.Duration
}

// hangUp ends the connection without an answer.
func hangUp(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	conn.Close()
}

// raw answers with bytes of the test's choice and ends the connection.
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

// runsThen executes the request and then does something else than answer.
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

// sendAndLeave sends and leaves once the target has started the work.
func sendAndLeave(s *stand, request *plane.Request) plane.Result {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	go func() {
		eventually(s.t, "work started", func() bool { return s.fake.executed(request.ID) > 0 })
		cancel()
	}()
	return s.owner.Serve(ctx, request, &answerSink{})
}

// fillSlots occupies every slot that a booking could take until release is called.
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

// whileQueued sends the request while no slot is free for it, and then does something.
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

// moved hands the slice over to a second node with a target of its own.
func moved(s *stand) *stand {
	windows := make(chan []byte, 1)
	s.owner.Drain(bookings.SliceOf("bay/7"), func(window []byte) { windows <- window })
	next := newStand(s.t)
	next.adopt(9, time.Now(), <-windows)
	return next
}

// lost leaves the slice to a second node that was told nothing.
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
			eventually(s.t, "the close noticed", func() bool { return s.link.OpenConns() == 0 })
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

// TestFaults puts one fault in the way of a booking, resends it with the same id, and prints
// how both ended and how often the booking ran. The file is the table of docs/design/outcomes.md.
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
		t.Errorf("fault %q is not played", name)
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

// checkPromises holds for every fault, whatever the table says.
func checkPromises(t *testing.T, first plane.Result, ran int, again plane.Result, total int) {
	t.Helper()
	if first.Outcome == outcome.NotRun && ran > 0 {
		t.Errorf("said not run, but ran %d times", ran)
	}
	if first.Outcome == outcome.Answered && ran != 1 {
		t.Errorf("answered after %d executions", ran)
	}
	if total > 1 {
		t.Errorf("ran %d times", total)
	}
	if again.Outcome == outcome.NotRun && total > ran {
		t.Errorf("resend said not run, but ran")
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

// TestUnreachableTargetIsNotRun sends to a target that listens no more.
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
