package guard

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/platform"
)

// newPlatformGuard returns a guard that decodes the platform's headers, for a target that runs the
// handler.
func newPlatformGuard(t *testing.T, answer http.HandlerFunc) *Guard {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	g := newGuard(strings.TrimPrefix(server.URL, "http://"))
	g.codec = platform.HeaderCodec{}
	return g
}

func platformRequest(t *testing.T, timeout time.Duration) *relay.Request {
	t.Helper()
	r := request(t, "r", "/a", "caller")
	r.Header.Set("X-Attempt-Id", "r")
	r.Deadline = time.Now().Add(timeout)
	return r
}

func TestWhichAnswersNameOrEndALimit(t *testing.T) {
	type answer struct {
		status               int
		limit, notRun, other string
		sealed, cut          bool
	}
	none, thirty := ratelimit.Limit{}, ratelimit.Limit{PerSecond: 30, Valid: true}
	for _, row := range []struct {
		name   string
		answer answer
		before string
		want   ratelimit.Limit
	}{
		{"success", answer{status: 200, limit: "30", sealed: true}, "", thirty},
		{"failure", answer{status: 500, limit: "30", sealed: true}, "", thirty},
		{"refusal", answer{status: 503, limit: "30", notRun: "1"}, "", thirty},
		{"answer that breaks off", answer{status: 200, limit: "30", sealed: true, cut: true}, "", thirty},
		{"answer to another request", answer{status: 200, limit: "30", sealed: true, other: "q"}, "", none},
		{"success without a limit", answer{status: 200, sealed: true}, "30", none},
		{"failure without a limit", answer{status: 500, sealed: true}, "30", none},
		{"refusal without a limit", answer{status: 503, notRun: "1"}, "30", thirty},
		{"malformed limit", answer{status: 200, limit: "-1", sealed: true}, "30", thirty},
	} {
		t.Run(row.name, func(t *testing.T) {
			current := answer{status: 200, limit: row.before, sealed: true}
			g := newPlatformGuard(t, func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("X-Attempt-Id")
				if current.other != "" {
					id = current.other
				}
				for name, value := range map[string]string{"X-Attempt-Id": id, "Server-Limit": current.limit, "X-Not-Executed": current.notRun} {
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				if current.sealed {
					w.Header().Set("X-Response-Seal", "x")
				}
				if current.cut {
					w.Header().Set("Content-Length", "100")
				}
				w.WriteHeader(current.status)
				_, _ = w.Write([]byte("text"))
			})
			if row.before != "" {
				g.Serve(context.Background(), platformRequest(t, time.Second))
			}
			current = row.answer
			result := g.Serve(context.Background(), platformRequest(t, time.Second))
			if result.State.Limit != row.want {
				t.Errorf("limit %+v, want %+v", result.State.Limit, row.want)
			}
		})
	}
}

func TestRequestThatALimitLeavesNoTurnIsRefusedAtOnce(t *testing.T) {
	g := newPlatformGuard(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "x")
		w.Header().Set("Server-Limit", "1")
	})
	for range 2 {
		g.Serve(context.Background(), platformRequest(t, time.Second))
	}
	began := time.Now()
	result := g.Serve(context.Background(), platformRequest(t, 400*time.Millisecond))
	if took := time.Since(began); result.Outcome != outcome.NotRun || result.Reason != outcome.ReasonTargetLimit || took > 100*time.Millisecond {
		t.Errorf("got %v (%s) after %v", result.Outcome, result.Reason, took)
	}
	if result.RetryAfter < 400*time.Millisecond || result.RetryAfter > time.Second {
		t.Errorf("retry after %v", result.RetryAfter)
	}
}

func TestLimitOfAFormerProcessDoesNotBind(t *testing.T) {
	g := newPlatformGuard(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "x")
	})
	r := platformRequest(t, time.Second)
	r.Known = relay.TargetState{Process: exchange.TargetProcess{ID: "i", Born: -1}, Limit: ratelimit.Limit{PerSecond: 0.5, Valid: true}}
	if result := g.Serve(context.Background(), r); result.State.Limit.Valid || result.Outcome != outcome.Answered {
		t.Errorf("got %v with limit %+v", result.Outcome, result.State.Limit)
	}
}
