package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// TestOutcomes checks the outcome that a caller gets for each way in which a node may end a request.
func TestOutcomes(t *testing.T) {
	refuse := func(status int, outcome, reason string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, outcome)
			w.Header().Set(headerReason, reason)
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(status)
		}
	}
	raw := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, text)
		}
	}
	cases := []struct {
		name      string
		node      http.HandlerFunc
		outcome   Outcome
		reason    string
		body      string
		truncated bool
	}{
		{"answered", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "answered")
			_, _ = io.WriteString(w, "whole")
		}, Answered, "", "whole", false},
		{"streamed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", headerOutcome)
			_, _ = io.WriteString(w, "streamed")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set(headerOutcome, "answered")
		}, Answered, "", "streamed", false},
		{"streamed, then aborted", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", headerOutcome)
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Answered, "", "half", true},
		{"streamed, without an outcome", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", headerOutcome)
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		}, Answered, "", "half", true},
		{"shorter than its Content-Length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "answered")
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Answered, "", "half", true},
		{"not run", refuse(503, "not-run", "shed"), NotRun, "shed", "", false},
		{"unknown", refuse(504, "unknown", "peer-lost"), Unknown, "peer-lost", "", false},
		{"no outcome", refuse(502, "", ""), Unknown, "", "", false},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			Unknown, "connection-lost", "", false},
		{"without a length or chunks", raw("HTTP/1.1 200 OK\r\n" + headerOutcome + ": answered\r\n\r\npart"), Unknown, "unframed-answer", "", false},
		{"status 000", raw("HTTP/1.1 000 x\r\n" + headerOutcome + ": answered\r\nContent-Length: 2\r\n\r\nno"), Unknown, "malformed-answer", "", false},
		{"status 600, not run", raw("HTTP/1.1 600 x\r\n" + headerOutcome + ": not-run\r\nContent-Length: 2\r\n\r\nno"), Unknown, "malformed-answer", "", false},
		{"blank in a name", raw("HTTP/1.1 200 OK\r\n" + headerOutcome + ": answered\r\nX Y: z\r\nContent-Length: 2\r\n\r\nno"), Unknown, "malformed-answer", "", false},
		{"blank in a name, not run", raw("HTTP/1.1 503 x\r\n" + headerOutcome + ": not-run\r\nX : z\r\nContent-Length: 2\r\n\r\nno"), Unknown, "malformed-answer", "", false},
		{"control byte in a name", raw("HTTP/1.1 200 OK\r\n" + headerOutcome + ": answered\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\nno"), Unknown, "connection-lost", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := httptest.NewServer(c.node)
			defer node.Close()
			answer := do(t, newClient(t, node.URL), Request{Method: "POST", Service: "booking", Key: "bay/7"})
			if answer.Outcome != c.outcome || answer.Reason != c.reason {
				t.Fatalf("got %v %q, want %v %q", answer.Outcome, answer.Reason, c.outcome, c.reason)
			}
			if answer.Body == nil {
				return
			}
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			if string(body) != c.body || errors.Is(err, ErrTruncated) != c.truncated {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

func newClient(t *testing.T, entries ...string) *Client {
	t.Helper()
	c, err := New(Config{Entries: entries, Deadline: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func do(t *testing.T, c *Client, r Request) *Answer {
	t.Helper()
	answer, err := c.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestUnreachableIsNotRun sends a request to a port without a listener.
func TestUnreachableIsNotRun(t *testing.T) {
	answer := do(t, newClient(t, "http://127.0.0.1:1"), Request{Method: "POST", Service: "booking", Key: "k"})
	if answer.Outcome != NotRun || answer.Err == nil {
		t.Errorf("got %v, %v", answer.Outcome, answer.Err)
	}
}

// TestOwnerIsLearnedAndForgotten checks that the client sends to the owner named by an answer, and
// returns to an entry node after the owner refuses a request.
func TestOwnerIsLearnedAndForgotten(t *testing.T) {
	var visited []string
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		visited = append(visited, "owner")
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer owner.Close()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		visited = append(visited, "entry")
		w.Header().Set(headerOutcome, "answered")
		w.Header().Set(headerOwner, strings.TrimPrefix(owner.URL, "http://"))
	}))
	defer entry.Close()
	c := newClient(t, entry.URL)
	for range 3 {
		if answer := do(t, c, Request{Method: "GET", Service: "booking", Key: "k"}); answer.Body != nil {
			answer.Body.Close()
		}
	}
	if got := strings.Join(visited, " "); got != "entry owner entry" {
		t.Errorf("requests went to %s", got)
	}
}

// TestFirstSendIsMarked checks that only a request without an id is marked as a first send.
func TestFirstSendIsMarked(t *testing.T) {
	var sends []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends = append(sends, r.Header.Get(headerFirstSend)+" "+r.URL.EscapedPath())
		if _, err := ulid.ParseStrict(r.Header.Get(headerRequestID)); err != nil {
			t.Errorf("request id: %v", err)
		}
		w.Header().Set(headerOutcome, "unknown")
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	defer node.Close()
	c := newClient(t, node.URL)
	r := Request{Method: "POST", Service: "booking", Key: "bay/7"}
	r.ID = do(t, c, r).ID
	do(t, c, r)
	if len(sends) != 2 || sends[0] != "1 /v1/booking/bay%2F7" || sends[1] != " /v1/booking/bay%2F7" {
		t.Errorf("sends %q", sends)
	}
}

func TestBadRequestsAreErrors(t *testing.T) {
	if _, err := New(Config{}); !errors.Is(err, ErrNoEntries) {
		t.Errorf("no entries: %v", err)
	}
	if _, err := newClient(t, "http://127.0.0.1:1").Do(context.Background(), Request{Key: "k"}); !errors.Is(err, ErrBadRequest) {
		t.Errorf("no service: %v", err)
	}
}
