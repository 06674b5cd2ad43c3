package guard

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
)

// TestStoppingNodeRefusesWhatItWouldCut guards against a request that a stopping node passes on to its target although the
// process may end before the answer: it runs, and its caller gets no answer. Requests that end before it by their deadline
// are served to the last, however short their objective is compared with their work.
func TestStoppingNodeRefusesWhatItWouldCut(t *testing.T) {
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent++
		w.Header().Set("X-Response-Seal", "x")
	}))
	defer server.Close()
	for _, c := range []struct {
		name string
		// length is that of the stop, of which left is left, and timeout the time for the request.
		length, left, timeout time.Duration
		serves                bool
	}{
		{"a request that ends before the process", 6 * time.Second, 2 * time.Second, 1500 * time.Millisecond, true},
		{"a request that may end after the process", 6 * time.Second, 2 * time.Second, 2100 * time.Millisecond, false},
		{"a request that may end after the process, early in the stop", 6 * time.Second, 5 * time.Second, 5500 * time.Millisecond, false},
		{"a request that is longer than the stop, in its first half", 6 * time.Second, 4 * time.Second, 10 * time.Second, true},
		{"a request that is longer than the stop, in its second half", 6 * time.Second, 2 * time.Second, 10 * time.Second, false},
	} {
		// An objective far below the time that targets take must not let a request through, nor a long one keep it out.
		for _, objective := range []time.Duration{time.Millisecond, time.Minute} {
			g := newGuard(strings.TrimPrefix(server.URL, "http://"))
			end := time.Now().Add(c.left)
			g.Stop(shutdown.Period{Began: end.Add(-c.length), End: end})
			r := platformRequest(t, c.timeout)
			r.Objective = objective
			sent = 0
			result := g.Serve(context.Background(), r)
			if c.serves != (sent == 1) {
				t.Errorf("%s, objective %v: sent %d times", c.name, objective, sent)
			}
			if !c.serves && (result.Outcome != outcome.NotRun || result.Reason != outcome.ReasonStopping || result.Detail == "") {
				t.Errorf("%s, objective %v: %+v, %q", c.name, objective, result.End, result.Detail)
			}
		}
	}
}

// TestQueuedRequestIsNotSentOnceTheNodeStops guards against a request that was queued for a slot before the stop, and that
// is sent to the target although the process may end before the answer.
func TestQueuedRequestIsNotSentOnceTheNodeStops(t *testing.T) {
	arrived, finish := make(chan struct{}, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-finish
		w.Header().Set("X-Response-Seal", "x")
	}))
	defer server.Close()
	g := newGuard(strings.TrimPrefix(server.URL, "http://"))
	results := make(chan outcome.End, 20)
	queued := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.queued)
	}
	sends := 0
	for queued() == 0 {
		before := sends
		r := platformRequest(t, 5*time.Second)
		r.Objective = 10 * time.Second
		go func() { results <- g.Serve(context.Background(), r).End }()
		sends++
		for queued() == 0 && len(arrived) == before {
			time.Sleep(time.Millisecond)
		}
	}
	now := time.Now()
	g.Stop(shutdown.Period{Began: now.Add(-2 * time.Second), End: now.Add(4 * time.Second)})
	close(finish)
	stopping := 0
	for range sends {
		if end := <-results; end.Reason == outcome.ReasonStopping {
			stopping++
		}
	}
	if stopping != 1 || len(arrived) != sends-1 {
		t.Errorf("%d of %d requests were sent, %d refused for the stop; want all but the queued one", len(arrived), sends, stopping)
	}
}
