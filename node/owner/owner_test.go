package owner

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

// pollStep is the polling interval of eventually, pollLimit its timeout.
const (
	pollStep  = 2 * time.Millisecond
	pollLimit = 10 * time.Second
)

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(pollLimit); time.Now().Before(deadline); time.Sleep(pollStep) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// fakeTarget is an HTTP target whose handler for work each test can replace.
type fakeTarget struct {
	server *httptest.Server

	mu          sync.Mutex
	incarnation uint64
	work        http.HandlerFunc
	// executions counts the starts of work by request id.
	executions map[string]int
	grants     map[string]string
	// cancelState is the state that a cancellation returns; if empty, cancellations get no answer.
	cancelState string
	// grantsDown makes exchanges of grants fail; healthDown makes probes fail.
	grantsDown bool
	healthDown bool
	// grantExchangeCount counts the exchanges of grants.
	grantExchangeCount int
}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{incarnation: 1, executions: map[string]int{}, grants: map[string]string{}, cancelState: "unknown"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if f.isHealthDown() {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_ = json.NewEncoder(w).Encode(target.Health{Incarnation: f.currentIncarnation(), State: "ready"})
	})
	mux.HandleFunc("PUT /v1/grants", f.handlePutGrants)
	mux.HandleFunc("DELETE /v1/running/{id}/{attempt}", f.handleCancel)
	mux.HandleFunc("/work/", func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		work := f.work
		f.mu.Unlock()
		work(w, r)
	})
	f.server = httptest.NewServer(mux)
	t.Cleanup(func() { f.server.CloseClientConnections(); f.server.Close() })
	f.setWork(func(w http.ResponseWriter, r *http.Request) {
		f.recordExecution(r)
		_, _ = io.WriteString(w, "done "+r.URL.Path)
	})
	return f
}

func (f *fakeTarget) currentIncarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation
}

func (f *fakeTarget) isHealthDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healthDown
}

func (f *fakeTarget) setDown(grants, health bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grantsDown, f.healthDown = grants, health
}

func (f *fakeTarget) grantExchanges() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.grantExchangeCount
}

func (f *fakeTarget) setWork(work http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = work
}

// recordExecution records that the work of a request has started.
func (f *fakeTarget) recordExecution(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[r.Header.Get(target.HeaderRequestID)]++
}

func (f *fakeTarget) executionsOf(id ulid.ULID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[id.String()]
}

// totalExecutions counts all starts of work.
func (f *fakeTarget) totalExecutions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, count := range f.executions {
		n += count
	}
	return n
}

func (f *fakeTarget) handlePutGrants(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Grants []struct{ Slice, Fence string }
		Revoke []string
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grantExchangeCount++
	if f.grantsDown {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, g := range in.Grants {
		f.grants[g.Slice] = g.Fence
	}
	for _, id := range in.Revoke {
		delete(f.grants, id)
	}
}

func (f *fakeTarget) handleCancel(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	state := f.cancelState
	f.mu.Unlock()
	if state == "" {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"state": state})
}

func (f *fakeTarget) setCancelState(state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelState = state
}

// fixture holds an owner, its link to a fake target, and a boot-time clock that a test can
// advance.
type fixture struct {
	t           *testing.T
	fake        *fakeTarget
	link        *target.Link
	owner       *Owner
	clockMu     sync.Mutex
	clockOffset time.Duration
	begin       time.Time
}

func (s *fixture) clock() time.Duration {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	return time.Since(s.begin) + s.clockOffset
}

// advanceClock advances the boot-time clock, as if the process had been paused.
func (s *fixture) advanceClock(d time.Duration) {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	s.clockOffset += d
}

var (
	bookings = keyspace.Range{Service: "booking", Kind: keyspace.Keyed, Slices: 1}
	manuals  = keyspace.Range{Service: "manuals", Kind: keyspace.Shared, Slices: 1}
)

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{t: t, fake: newFakeTarget(t), begin: time.Now().Add(-time.Hour)}
	logger := slog.New(slog.DiscardHandler)
	linkConfig := target.DefaultConfig("vm1", s.clock, logger)
	linkConfig.ProbeInterval = 20 * time.Millisecond
	var err error
	if s.link, err = target.New(linkConfig); err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig(1, s.clock, logger)
	if s.owner, err = New(cfg, s.link); err != nil {
		t.Fatal(err)
	}
	s.start()
	return s
}

func (s *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.link.Run(ctx) })
	wait.Go(func() { _ = s.owner.Run(ctx) })
	s.t.Cleanup(func() { cancel(); wait.Wait() })
	s.announce(1, true)
	s.waitReady(1)
	s.adoptLease(1, time.Now().Add(-time.Minute), nil)
}

func (s *fixture) announce(incarnation uint64, checks bool) {
	s.fake.mu.Lock()
	s.fake.incarnation = incarnation
	s.fake.mu.Unlock()
	body, _ := json.Marshal(target.Announcement{
		Name: "vm1", Incarnation: incarnation, Slots: 6, ChecksFences: checks,
		Address: strings.TrimPrefix(s.fake.server.URL, "http://"),
	})
	request := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(string(body)))
	request.Header.Set("Content-Type", "application/json")
	answer := httptest.NewRecorder()
	s.link.Handler().ServeHTTP(answer, request)
	if answer.Code != http.StatusOK {
		s.t.Fatalf("announcement: %d %s", answer.Code, answer.Body)
	}
}

func (s *fixture) waitReady(incarnation uint64) {
	s.t.Helper()
	eventually(s.t, "target ready", func() bool {
		info := s.link.Info()
		return info.State == plane.TargetReady && info.Incarnation == incarnation
	})
}

// adoptLease gives the owner a lease of ten seconds on the only slice.
func (s *fixture) adoptLease(seq uint64, firstAt time.Time, window []byte) {
	s.owner.AdoptLeases([]plane.Lease{{
		Slice: bookings.SliceOf("any"), Service: "booking", Fence: fence.Fence{Epoch: 1, Seq: seq},
		Until: s.clock() + 10*time.Second, FirstAt: firstAt, Window: window,
	}})
}

func booking(id ulid.ULID, attempt uint64) *plane.Request {
	return &plane.Request{
		ID: id, Attempt: attempt, Service: "booking", Key: "bay/7", Method: http.MethodPost, Path: "/book",
		Body: []byte("horse"), NonIdempotent: true, Range: bookings, Slice: bookings.SliceOf("bay/7"),
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func lookup(rg keyspace.Range, key string) *plane.Request {
	return &plane.Request{
		Service: rg.Service, Key: key, Method: http.MethodGet, Range: rg, Slice: rg.SliceOf(key),
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// answerSink collects an answer.
type answerSink struct {
	head   plane.Head
	body   strings.Builder
	broken error
}

func (a *answerSink) Head(head plane.Head) error { a.head = head; return a.broken }

func (a *answerSink) Write(chunk []byte) error {
	a.body.Write(chunk)
	return a.broken
}

func (s *fixture) serve(request *plane.Request) (plane.Result, *answerSink) {
	s.t.Helper()
	sink := &answerSink{}
	return s.owner.Serve(s.t.Context(), request, sink), sink
}

func expectResult(t *testing.T, got plane.Result, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v %q, want %v %q", got.Outcome, got.Reason, want, reason)
	}
}

func TestServeAnswersWhole(t *testing.T) {
	s := newFixture(t)
	id := ulid.Make()
	result, sink := s.serve(booking(id, 1))
	expectResult(t, result, outcome.Answered, "")
	if sink.body.String() != "done /work/booking/bay/7/book" || sink.head.Target != "vm1" || sink.head.Fence.Seq != 1 {
		t.Errorf("got %+v %q", sink.head, sink.body.String())
	}
	result, sink = s.serve(lookup(manuals, "axle"))
	expectResult(t, result, outcome.Answered, "")
	if sink.head.Fence != (fence.Fence{}) {
		t.Errorf("shared service answered under fence %v", sink.head.Fence)
	}
}
