package hop

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// TestTargetsHeadersDoNotReplaceThoseOfTheNode guards against an answer of a target that names another outcome of
// its request than the node has found.
func TestTargetsHeadersDoNotReplaceThoseOfTheNode(t *testing.T) {
	load := &balance.Report{Process: exchange.TargetProcess{ID: "i-1", Born: 5}, Running: 3, Slots: 4}
	result := relay.Result{
		End: outcome.End{Outcome: outcome.Answered}, Target: "i-1", Reached: true, Load: load,
		State: relay.TargetState{Process: exchange.TargetProcess{ID: "i-1", Born: 5}},
		Answer: &relay.Answer{
			Status: http.StatusOK, Buffered: []byte("whole"), Length: 5,
			Header: http.Header{
				headerOutcome: {outcome.NotRun.String()}, headerReason: {string(outcome.ReasonShed)}, headerTarget: {"i-2"},
				headerBorn: {"6"}, headerLeaving: {"1"}, headerLoad: {"i-2;6;0;0;4;0;0"}, "Other": {"kept"},
			},
		},
	}
	w := httptest.NewRecorder()
	writeResult(w, http.MethodGet, result)
	got := readResult(t.Context(), w.Result())
	if got.Outcome != outcome.Answered || got.Target != "i-1" || got.State != result.State {
		t.Errorf("outcome %v, target %q, state %+v", got.Outcome, got.Target, got.State)
	}
	if got.Load == nil || got.Load.Process != load.Process || got.Load.Running != 3 {
		t.Errorf("load report %+v", got.Load)
	}
	if got.Answer == nil || got.Answer.Header.Get("Other") != "kept" {
		t.Errorf("answer %+v", got.Answer)
	}
}

// TestBrokenAnswerOfANodeIsNotBelieved guards against taking an answer whose head HTTP does not allow for a statement of
// the other node, above all that the request has not run.
func TestBrokenAnswerOfANodeIsNotBelieved(t *testing.T) {
	for _, said := range []outcome.Outcome{outcome.Answered, outcome.NotRun} {
		fields := headerOutcome + ": " + said.String() + "\r\nContent-Length: 0\r\n"
		for _, text := range []string{
			"HTTP/1.1 000 x\r\n" + fields, "HTTP/1.1 200 OK\r\n" + fields + "X Y: z\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n" + fields,
			"HTTP/1.1 200 OK\r\n" + fields + "X\x01: z\r\n",
		} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, text+"\r\n")
			}))
			client := NewClient(h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Second, UnackedTimeout: time.Second, MaxConns: 1}))
			r := &relay.Request{Method: http.MethodGet, RequestURI: "/", Host: "a", Header: http.Header{}, Body: &relay.Body{}, Deadline: time.Now().Add(time.Minute)}
			result := client.Send(t.Context(), r, ownership.Destination{Node: "vm-2", Address: server.Listener.Addr().String()})
			if result.Outcome != outcome.Unknown {
				t.Errorf("%q ends with %v (%s)", text, result.Outcome, result.Reason)
			}
			server.Close()
		}
	}
}
