package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// maxConns is the MaxConns of the links under test.
const maxConns = 4

func newTestLink(t *testing.T) *Link {
	t.Helper()
	begin := time.Now()
	cfg := DefaultConfig("vm1", func() time.Duration { return time.Since(begin) }, slog.New(slog.DiscardHandler))
	cfg.MaxConns = maxConns
	cfg.ProbeInterval = 10 * time.Millisecond
	cfg.ProbeTimeout = 100 * time.Millisecond
	link, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func announce(link *Link, body string) int {
	request := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	answer := httptest.NewRecorder()
	link.Handler().ServeHTTP(answer, request)
	return answer.Code
}

func announcement(incarnation uint64, address string) string {
	body, _ := json.Marshal(Announcement{Name: "vm1", Incarnation: incarnation, Address: address, Slots: 6})
	return string(body)
}

func serverAddress(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func newCall(method string, headers ...plane.Header) Call {
	request := &plane.Request{Service: "booking", Key: "bay", Method: method, Headers: headers, Attempt: 1}
	return Call{Request: request, ID: ulid.Make().String(), Remaining: func() time.Duration { return time.Minute }}
}

// headSink is a sink that keeps only the head of the answer.
type headSink struct {
	head plane.Head
	// begun is set once an answer has been begun.
	begun bool
}

func (s *headSink) Head(head plane.Head) error { s.head, s.begun = head, true; return nil }
func (s *headSink) Write([]byte) error         { return nil }

// TestTransportDoesNotReplay closes a reused connection after the request has run. net/http
// would resend such idempotent requests by itself; each must run only once.
func TestTransportDoesNotReplay(t *testing.T) {
	for _, call := range []Call{
		newCall(http.MethodGet), newCall(http.MethodHead),
		newCall(http.MethodPost, plane.Header{Name: "Idempotency-Key", Value: "1"}),
	} {
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/first") {
				return
			}
			runs.Add(1)
			conn, _, _ := http.NewResponseController(w).Hijack()
			conn.Close()
		}))
		link := newTestLink(t)
		announce(link, announcement(1, serverAddress(server)))
		first := newCall(http.MethodGet)
		first.Request.Path = "/first"
		if result := link.Call(t.Context(), first, &headSink{}); result.Outcome != outcome.Answered {
			t.Fatalf("first call: %+v", result)
		}
		result := link.Call(t.Context(), call, &headSink{})
		if result.Outcome != outcome.Unknown || !result.Broken || runs.Load() != 1 {
			t.Errorf("%s: %v, ran %d times", call.Request.Method, result.End, runs.Load())
		}
		server.Close()
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	const calls = 40
	var open, maxOpen atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		time.Sleep(2 * time.Millisecond)
		open.Add(-1)
	}))
	defer server.Close()
	link := newTestLink(t)
	announce(link, announcement(1, serverAddress(server)))
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() {
			if result := link.Call(t.Context(), newCall(http.MethodGet), &headSink{}); result.Outcome != outcome.Answered {
				t.Errorf("got %v", result.End)
			}
		})
	}
	wait.Wait()
	if maxOpen.Load() > maxConns || link.OpenConns() > maxConns {
		t.Errorf("%d calls at a time over %d connections", maxOpen.Load(), link.OpenConns())
	}
}

func TestAnnouncements(t *testing.T) {
	const good = `{"name":"vm1","incarnation":7,"address":"127.0.0.1:9","slots":6}`
	cases := []struct {
		name, body string
		status     int
	}{
		{"good", good, 200},
		{"garbage", `{"name":`, 400},
		{"other VM", strings.Replace(good, "vm1", "vm2", 1), 400},
		{"no incarnation", strings.Replace(good, "7", "0", 1), 400},
		{"host name", strings.Replace(good, "127.0.0.1", "localhost", 1), 400},
		{"no slots", strings.Replace(good, "6", "0", 1), 400},
		{"too many slots", strings.Replace(good, "6", "5000", 1), 400},
		{"too long", good + strings.Repeat(" ", 1<<17), 413},
		{"newer process", strings.Replace(good, "7", "8", 1), 200},
		{"replaced process", good, 409},
	}
	link := newTestLink(t)
	for _, c := range cases {
		if got := announce(link, c.body); got != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got, c.status)
		}
	}
}

// awaitState waits until the link reports the target in the wanted state.
func awaitState(t *testing.T, link *Link, want plane.TargetState) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); link.Info().State != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("state %s, want %s", stateName(link.Info().State), stateName(want))
		}
	}
}

// TestStates takes a target through all its states and checks the events of the link.
func TestStates(t *testing.T) {
	var health atomic.Value
	var frozen atomic.Bool
	health.Store(Health{Incarnation: 1, State: "starting"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(health.Load())
	}))
	defer server.Close()
	link := newTestLink(t)
	var mu sync.Mutex
	var events []string
	link.Subscribe(func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, fmt.Sprintf("%d:%d:%s", e.Kind, e.Incarnation, stateName(e.State)))
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { _ = link.Run(ctx) })
	defer wait.Wait()
	defer cancel()
	announce(link, announcement(1, serverAddress(server)))
	reach := func(want plane.TargetState) { t.Helper(); awaitState(t, link, want) }
	reach(plane.TargetStarting)
	health.Store(Health{Incarnation: 1, State: "ready"})
	reach(plane.TargetReady)
	frozen.Store(true)
	reach(plane.TargetSuspect)
	frozen.Store(false)
	reach(plane.TargetReady)
	health.Store(Health{Incarnation: 1, State: "draining"})
	reach(plane.TargetDraining)
	health.Store(Health{Incarnation: 2, State: "ready"})
	reach(plane.TargetAbsent)
	announce(link, announcement(2, serverAddress(server)))
	reach(plane.TargetReady)
	server.Listener.Close()
	server.CloseClientConnections()
	reach(plane.TargetAbsent)
	mu.Lock()
	defer mu.Unlock()
	want := []string{"3:1:starting", "1:1:ready", "3:1:suspect", "1:1:ready", "3:1:draining", "2:1:absent",
		"3:2:starting", "1:2:ready", "2:2:absent"}
	if !slices.Equal(events, want) {
		t.Errorf("events %v\nwant   %v", events, want)
	}
}

// TestProbesAloneDoNotCondemn lets probes time out while calls are answered: the target must
// stay ready, and become suspect only once the calls stop.
func TestProbesAloneDoNotCondemn(t *testing.T) {
	var silent atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			return
		}
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(Health{Incarnation: 1, State: "ready"})
	}))
	defer server.Close()
	link := newTestLink(t)
	link.cfg.ProbeTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { _ = link.Run(ctx) })
	defer wait.Wait()
	defer cancel()
	announce(link, announcement(1, serverAddress(server)))
	reach := func(want plane.TargetState) { t.Helper(); awaitState(t, link, want) }
	reach(plane.TargetReady)
	link.Call(ctx, newCall(http.MethodGet), &headSink{})
	silent.Store(true)
	probesLong := link.cfg.ProbeTimeout * time.Duration(2*link.cfg.SuspectAfter)
	for end := time.Now().Add(probesLong); time.Now().Before(end); {
		link.Call(ctx, newCall(http.MethodGet), &headSink{})
		if state := link.Info().State; state != plane.TargetReady {
			t.Fatalf("state %s while calls are answered", stateName(state))
		}
	}
	reach(plane.TargetSuspect)
}

// TestWhatTheTargetSees checks the paths and header fields that reach the target, and the header
// fields that reach the caller.
func TestWhatTheTargetSees(t *testing.T) {
	var path string
	var seen http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, seen = r.URL.EscapedPath()+"?"+r.URL.RawQuery, r.Header
		w.Header().Set("Auburnrelay-Outcome", "unknown")
		w.Header().Set("X-Bay", "7")
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	link := newTestLink(t)
	announce(link, announcement(1, serverAddress(server)))
	paths := map[string]string{
		"bay 7/west": "/work/booking/bay%207%2Fwest/a%2Fb?x=1",
		"..":         "/work/booking/%2E%2E/a%2Fb?x=1",
		"a%2Fb":      "/work/booking/a%252Fb/a%2Fb?x=1",
		"istálló":    "/work/booking/ist%C3%A1ll%C3%B3/a%2Fb?x=1",
	}
	for key, want := range paths {
		call := newCall(http.MethodGet, plane.Header{Name: "connection", Value: "X-Hop"}, plane.Header{Name: "X-Hop", Value: "1"},
			plane.Header{Name: "auburnrelay-fence", Value: "9.9"}, plane.Header{Name: "X-Horse", Value: "Csillag"})
		call.Request.Key, call.Request.Path, call.Request.Query = key, "/a%2Fb", "x=1"
		sink := &headSink{}
		if result := link.Call(t.Context(), call, sink); result.Outcome != outcome.Answered {
			t.Fatalf("%q: %+v", key, result)
		}
		if path != want {
			t.Errorf("key %q: path %q, want %q", key, path, want)
		}
		if seen.Get("X-Hop") != "" || seen.Get(HeaderFence) != "" || seen.Get("X-Horse") != "Csillag" {
			t.Errorf("target saw %v", seen)
		}
		for _, h := range sink.head.Headers {
			if strings.HasPrefix(h.Name, headerPrefix) {
				t.Errorf("header forwarded to the caller: %v", h)
			}
		}
	}
}

// TestReportNamesTheAddress checks that the report contains the address at which the target can
// be probed.
func TestReportNamesTheAddress(t *testing.T) {
	link := newTestLink(t)
	announce(link, announcement(1, "127.0.0.1:1"))
	if got := link.Report().Address; got != "127.0.0.1:1" {
		t.Errorf("address %q", got)
	}
}

func TestConfigIsChecked(t *testing.T) {
	good := DefaultConfig("vm1", func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	changes := map[string]func(*Config){
		"name":    func(c *Config) { c.Node = "" },
		"conns":   func(c *Config) { c.MaxConns = 100 },
		"probes":  func(c *Config) { c.SuspectAfter = 0 },
		"timeout": func(c *Config) { c.ResolveTimeout = 0 },
		"clock":   func(c *Config) { c.Clock = nil },
	}
	for name, change := range changes {
		cfg := good
		change(&cfg)
		if _, err := New(cfg); !errors.Is(err, ErrConfig) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
