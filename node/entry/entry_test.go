package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

var (
	self  = plane.Peer{Name: "vm-1", Incarnation: 1, EntryAddress: "10.0.0.1:7001"}
	other = plane.Peer{Name: "vm-2", Incarnation: 1, EntryAddress: "10.0.0.2:7001"}
)

// scriptedDeps implements all dependencies of a Dispatcher. It returns owners and results from
// lists, one for each lookup and each send; the last element of a list repeats.
type scriptedDeps struct {
	mu       sync.Mutex
	kind     keyspace.Kind
	owners   []plane.Peer
	replies  []forward.Reply
	sends    int
	locates  int
	cached   []plane.Peer
	contacts []plane.Peer
	retries  int
	counted  []outcome.Outcome
	changed  chan struct{}
}

func (s *scriptedDeps) Locate(service, _ string) (plane.Route, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if service != "booking" {
		return plane.Route{}, keyspace.ErrUnknownService
	}
	owner := s.owners[min(s.locates, len(s.owners)-1)]
	s.locates++
	rng := keyspace.Range{Service: service, Kind: s.kind, Slices: 1}
	return plane.Route{Range: rng, Owner: owner, Candidates: []plane.Peer{self, other}, Contacts: s.contacts}, nil
}

func (s *scriptedDeps) CacheOwner(_ keyspace.SliceID, owner plane.Peer) {
	s.cached = append(s.cached, owner)
}
func (s *scriptedDeps) Self() plane.Peer         { return self }
func (s *scriptedDeps) Changed() <-chan struct{} { return s.changed }

func (s *scriptedDeps) Forward(_ context.Context, _ plane.Peer, _ uint32, r *plane.Request, sink plane.Sink) forward.Reply {
	s.mu.Lock()
	end := s.replies[min(s.sends, len(s.replies)-1)]
	s.sends++
	s.mu.Unlock()
	if end.Result.Outcome == outcome.Answered || end.Started {
		_ = sink.Head(plane.Head{Status: 200, Target: "vm-2", Length: -1})
		_ = sink.Write(append([]byte("echo:"), r.Body...))
	}
	return end
}

func (s *scriptedDeps) Serve(ctx context.Context, r *plane.Request, sink plane.Sink) plane.Result {
	return s.Forward(ctx, self, 0, r, sink).Result
}

func (s *scriptedDeps) Choose(candidates []plane.Peer, tried []string) (plane.Peer, func(plane.Result), bool) {
	if len(tried) >= len(candidates) {
		return plane.Peer{}, nil, false
	}
	return candidates[len(tried)], func(plane.Result) {}, true
}

func (s *scriptedDeps) RecordFirstAttempt() {}
func (s *scriptedDeps) Spend() bool {
	s.retries--
	return s.retries >= 0
}

func (s *scriptedDeps) Count(_ plane.Route, result outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counted = append(s.counted, result)
}

func (s *scriptedDeps) start(t *testing.T) *httptest.Server {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	config := DispatchConfig{HoldMax: 200 * time.Millisecond, HoldLimit: 10, RetryPause: time.Millisecond}
	dependencies := Dependencies{Router: s, Local: s, Remote: s, Chooser: s, Budget: s, Ledger: s, Log: log}
	limits := Limits{KeyBytes: 32, BodyBytes: 64, DefaultDeadline: 2 * time.Second, MaxDeadline: time.Minute}
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewHandler(NewDispatcher(config, dependencies), limits, log).NewServer(4096)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func answeredReply() forward.Reply {
	return forward.Reply{Result: plane.Result{Outcome: outcome.Answered}, Started: true}
}

func unansweredReply(o outcome.Outcome, reason outcome.Reason) forward.Reply {
	return forward.Reply{Result: plane.Result{Outcome: o, Reason: reason}}
}

// TestBadInput sends invalid requests. Each must be refused before it reaches an owner.
func TestBadInput(t *testing.T) {
	id := ulid.Make().String()
	cases := []struct {
		name, method, path, id, deadline, body string
		status                                 int
		message                                string
	}{
		{"no key", "GET", "/v1/booking", "", "", "", 400, "path is not"},
		{"empty key", "GET", "/v1/booking/", "", "", "", 400, "path is not"},
		{"other path", "GET", "/v2/booking/k", "", "", "", 404, "path is not"},
		{"unknown service", "GET", "/v1/parts/k", "", "", "", 404, "unknown service"},
		{"key too long", "GET", "/v1/booking/" + strings.Repeat("k", 33), "", "", "", 413, "key too long"},
		{"invalid escape in the key", "GET", "/v1/booking/%zz", "", "", "", 400, ""},
		{"booking without an id", "POST", "/v1/booking/k", "", "", "", 400, "not a ULID"},
		{"malformed id", "POST", "/v1/booking/k", "42", "", "", 400, "not a ULID"},
		{"zero id", "POST", "/v1/booking/k", strings.Repeat("0", 26), "", "", 400, "not a ULID"},
		{"past deadline", "POST", "/v1/booking/k", id, "0", "", 400, "deadline"},
		{"negative deadline", "POST", "/v1/booking/k", id, "-5", "", 400, "deadline"},
		{"malformed deadline", "POST", "/v1/booking/k", id, "soon", "", 400, "deadline"},
		{"body too large", "POST", "/v1/booking/k", id, "", strings.Repeat("b", 65), 413, "body too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedDeps{owners: []plane.Peer{other}, replies: []forward.Reply{answeredReply()}}
			status, body := send(t, s.start(t), c.method, c.path, c.id, c.deadline, c.body)
			if status != c.status || !strings.Contains(body, c.message) {
				t.Errorf("got %d %s", status, body)
			}
			if s.sends != 0 {
				t.Error("the request reached an owner")
			}
		})
	}
}

func send(t *testing.T, server *httptest.Server, method, path, id, deadline, body string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	text := method + " " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
	for name, value := range map[string]string{HeaderRequestID: id, HeaderDeadline: deadline} {
		if value != "" {
			text += name + ": " + value + "\r\n"
		}
	}
	_, _ = io.WriteString(conn, text+"Transfer-Encoding: chunked\r\n\r\n"+chunked(body))
	raw, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	var status int
	if fields := strings.Fields(string(raw)); len(fields) > 1 {
		for _, digit := range fields[1] {
			status = status*10 + int(digit-'0')
		}
	}
	return status, string(raw)
}

func chunked(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	const hex = "0123456789abcdef"
	n := len(body)
	return string([]byte{hex[n>>4], hex[n&15]}) + "\r\n" + body + "\r\n0\r\n\r\n"
}

// TestWrongContentLength sends a body shorter than its Content-Length. The request must not run.
func TestWrongContentLength(t *testing.T) {
	s := &scriptedDeps{owners: []plane.Peer{other}, replies: []forward.Reply{answeredReply()}}
	server := s.start(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	text := "POST /v1/booking/k HTTP/1.1\r\nHost: t\r\n" + HeaderRequestID + ": " + ulid.Make().String() + "\r\nContent-Length: 10\r\n\r\nfour"
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	raw, _ := io.ReadAll(conn)
	conn.Close()
	if s.sends != 0 || !strings.Contains(string(raw), "400 Bad Request") {
		t.Errorf("sends %d, answer %q", s.sends, raw)
	}
}

// TestCutAnswerToAnHTTP10CallerDoesNotLookWhole guards against closing the connection of a caller without chunks behind a
// part of an answer without a length, which takes that for its end.
func TestCutAnswerToAnHTTP10CallerDoesNotLookWhole(t *testing.T) {
	cut := forward.Reply{Result: plane.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonTruncated}, Started: true}
	s := &scriptedDeps{owners: []plane.Peer{other}, replies: []forward.Reply{cut}}
	conn, err := net.Dial("tcp", s.start(t).Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /v1/booking/k HTTP/1.0\r\nHost: t\r\n\r\n")
	if raw, err := io.ReadAll(conn); err == nil {
		t.Errorf("got %q without an error", raw)
	}
}

// TestTries returns a list of results for the sends of one request, and checks the response, the
// number of sends and the counted outcome.
func TestTries(t *testing.T) {
	lost := unansweredReply(outcome.Unknown, outcome.ReasonPeerLost)
	notRun := func(reason outcome.Reason) forward.Reply { return unansweredReply(outcome.NotRun, reason) }
	redirect := notRun(outcome.ReasonNotOwner)
	redirect.Redirect = &other
	truncated := unansweredReply(outcome.Unknown, outcome.ReasonTruncated)
	truncated.Started = true
	cases := []struct {
		name    string
		method  string
		kind    keyspace.Kind
		owners  []plane.Peer
		ends    []forward.Reply
		budget  int
		sends   int
		outcome outcome.Outcome
		status  int
	}{
		{"first send", "POST", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{answeredReply()}, 0, 1, outcome.Answered, 200},
		{"local owner", "POST", keyspace.Keyed, []plane.Peer{self}, []forward.Reply{answeredReply()}, 0, 1, outcome.Answered, 200},
		{"one redirect", "POST", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{redirect, answeredReply()}, 0, 2, outcome.Answered, 200},
		{"peer lost, POST", "POST", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{lost, answeredReply()}, 9, 1, outcome.Unknown, 504},
		{"peer lost, GET", "GET", keyspace.Keyed, []plane.Peer{other, self}, []forward.Reply{lost, answeredReply()}, 9, 1, outcome.Unknown, 504},
		{"lease of the first owner lapsed", "POST", keyspace.Keyed, []plane.Peer{other, self}, []forward.Reply{notRun(outcome.ReasonLeaseLapsed), answeredReply()}, 0, 2, outcome.Answered, 200},
		{"no owner, then one", "POST", keyspace.Keyed, []plane.Peer{{}, self}, []forward.Reply{answeredReply()}, 0, 1, outcome.Answered, 200},
		{"no owner at all", "POST", keyspace.Keyed, []plane.Peer{{}}, nil, 0, 0, outcome.NotRun, 503},
		{"target of the owner starts", "POST", keyspace.Keyed, []plane.Peer{other, self}, []forward.Reply{notRun(outcome.ReasonTargetStarting), answeredReply()}, 0, 2, outcome.Answered, 200},
		{"shed", "POST", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{notRun(outcome.ReasonShed)}, 9, 1, outcome.NotRun, 503},
		{"quarantined", "POST", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{notRun(outcome.ReasonQuarantined)}, 9, 1, outcome.NotRun, 508},
		{"shared, first target refuses", "GET", keyspace.Shared, []plane.Peer{other}, []forward.Reply{notRun(outcome.ReasonTargetRefused), answeredReply()}, 1, 2, outcome.Answered, 200},
		{"shared, first target sheds", "GET", keyspace.Shared, []plane.Peer{other}, []forward.Reply{notRun(outcome.ReasonTargetShed), answeredReply()}, 1, 2, outcome.Answered, 200},
		{"shared, budget used up", "GET", keyspace.Shared, []plane.Peer{other}, []forward.Reply{notRun(outcome.ReasonTargetRefused), answeredReply()}, 0, 1, outcome.NotRun, 503},
		{"truncated answer", "GET", keyspace.Keyed, []plane.Peer{other}, []forward.Reply{truncated, answeredReply()}, 9, 1, outcome.Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedDeps{kind: c.kind, owners: c.owners, replies: c.ends, retries: c.budget}
			server := s.start(t)
			request, _ := http.NewRequest(c.method, server.URL+"/v1/booking/k", nil)
			request.Header.Set(HeaderRequestID, ulid.Make().String())
			resp, err := http.DefaultClient.Do(request)
			if c.status == 0 {
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				if err == nil {
					t.Error("truncated answer read without an error")
				}
			} else if err != nil || resp.StatusCode != c.status {
				t.Fatalf("got %v, %v", resp, err)
			} else if _, err := io.ReadAll(resp.Body); err != nil {
				t.Errorf("incomplete answer: %v", err)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.sends != c.sends {
				t.Errorf("%d sends, want %d", s.sends, c.sends)
			}
			if len(s.counted) != 1 || s.counted[0] != c.outcome {
				t.Errorf("counted %v, want one %v", s.counted, c.outcome)
			}
		})
	}
}

// TestLearnedOwnerIsForgotten checks that a cached owner in another cell is removed when it cannot
// be reached, so that the next send asks a contact of that cell.
func TestLearnedOwnerIsForgotten(t *testing.T) {
	s := &scriptedDeps{kind: keyspace.Keyed, owners: []plane.Peer{other}, contacts: []plane.Peer{other},
		replies: []forward.Reply{unansweredReply(outcome.NotRun, outcome.ReasonPeerUnreachable), answeredReply()}}
	resp, err := http.Get(s.start(t).URL + "/v1/booking/k")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	_, _ = io.ReadAll(resp.Body)
	if len(s.cached) != 1 || s.cached[0].Name != "" {
		t.Errorf("cached owners %v, want one removal", s.cached)
	}
}

// TestDecisionsAreSampled checks that one decision in ten of each kind is logged, with its reason.
func TestDecisionsAreSampled(t *testing.T) {
	var out strings.Builder
	d := decisionLog{log: slog.New(slog.NewTextHandler(&out, nil)), sampleInterval: 10}
	for range 20 {
		d.write(t.Context(), routed, &plane.Request{Service: "booking", Key: "k"}, "vm-2", reasonKnownOwner)
	}
	d.write(t.Context(), held, &plane.Request{Service: "booking", Key: "k"}, "", string(outcome.ReasonNoOwner))
	if strings.Count(out.String(), "msg=routed") != 2 || strings.Count(out.String(), "msg=held") != 1 {
		t.Errorf("lines:\n%s", out.String())
	}
	if !strings.Contains(out.String(), reasonKnownOwner) {
		t.Error("log line without the reason")
	}
}

// TestAnswersCloseConnectionsBeforeAStop checks that responses after CloseConnections carry
// "Connection: close". Otherwise a caller may send its next request on a connection that the
// stopping node is about to close.
func TestAnswersCloseConnectionsBeforeAStop(t *testing.T) {
	s := &scriptedDeps{kind: keyspace.Keyed, owners: []plane.Peer{self}, replies: []forward.Reply{answeredReply()}}
	log := slog.New(slog.DiscardHandler)
	dependencies := Dependencies{Router: s, Local: s, Remote: s, Chooser: s, Budget: s, Ledger: s, Log: log}
	handler := NewHandler(NewDispatcher(DispatchConfig{}, dependencies), Limits{KeyBytes: 32, DefaultDeadline: time.Second}, log)
	server := httptest.NewServer(handler.NewServer(4096).Handler)
	defer server.Close()
	for _, closing := range []bool{false, true} {
		if closing {
			handler.CloseConnections()
		}
		resp, err := http.Get(server.URL + "/v1/booking/k")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(resp.Body)
		if resp.Close != closing {
			t.Errorf("closing %v: the answer asks to close: %v", closing, resp.Close)
		}
	}
}
