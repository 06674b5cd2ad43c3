package ingress

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

// TestStoppingNodeSendsNoLateRequestThatItWouldCut guards against requests of callers that are sent on late in a stop and
// cut by the end of the process, and against an early refusal of those that it serves. The timeout is 400 ms (idCodec).
func TestStoppingNodeSendsNoLateRequestThatItWouldCut(t *testing.T) {
	for _, row := range []struct {
		name         string
		length, left time.Duration
		status       int
	}{
		{"early in the stop", 600 * time.Millisecond, 590 * time.Millisecond, http.StatusOK},
		{"late in the stop, ends before the process", 6 * time.Second, 2 * time.Second, http.StatusOK},
		{"late in the stop, may end after the process", 6 * time.Second, 300 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		sends := 0
		h := newHandler(t, func(context.Context, *relay.Request) relay.Result {
			sends++
			return answeredResult(http.StatusOK)
		}, config())
		end := time.Now().Add(row.left)
		h.dispatch.Stop(shutdown.Period{Began: end.Add(-row.length), End: end})
		status, _ := serve(h, "/once/1", "")
		if status != row.status || (sends == 1) != (status == http.StatusOK) {
			t.Errorf("%s: status %d, sent %d times", row.name, status, sends)
		}
	}
}

// TestStopDoesNotTurnADoubtIntoARefusal guards against a refusal, which says that a request has not run, of one that an
// earlier send may have run when the node stops.
func TestStopDoesNotTurnADoubtIntoARefusal(t *testing.T) {
	sends := 0
	var h *Handler
	h = newHandler(t, func(context.Context, *relay.Request) relay.Result {
		sends++
		now := time.Now()
		h.dispatch.Stop(shutdown.Period{Began: now.Add(-6 * time.Second), End: now.Add(100 * time.Millisecond)})
		return relay.Unknown(outcome.ReasonTargetLost)
	}, config())
	if status, _ := serve(h, "/any/1", ""); status != http.StatusBadGateway || sends != 1 {
		t.Errorf("status %d, sent %d times", status, sends)
	}
}

// TestRefusalOfAStoppingNodeIsNotWaitedFor guards against a request that is sent again and again to a node that stops and
// takes it no more: the owner of its key stays the same until then. One of a shared service goes to the next target at once.
func TestRefusalOfAStoppingNodeIsNotWaitedFor(t *testing.T) {
	for path, want := range map[string][]string{"/keyed/1": {"vm-1"}, "/any/1": {"vm-1", "vm-2"}} {
		var sent []string
		d := NewDispatcher(Dependencies{
			View: func() *ownership.View {
				targets := []ownership.Destination{
					{Node: "vm-1", Target: "i-1", Region: "r", Slots: 4, Local: true, Ready: true},
					{Node: "vm-2", Target: "i-2", Region: "other", Slots: 4, Ready: true},
				}
				return ownership.NewView(map[string][]ownership.Destination{"s": targets}).WithOwner("k", targets[0])
			},
			Local: func(context.Context, *relay.Request) relay.Result {
				sent = append(sent, "vm-1")
				return relay.NotRun(outcome.ReasonStopping)
			},
			Peers: senderFunc(func(*relay.Request) relay.Result {
				sent = append(sent, "vm-2")
				return answeredResult(http.StatusOK)
			}),
			Retry: retry.Bound{Ratio: 1, Slack: 14}, Region: "r", Log: discardLog(), Metrics: telemetry.NewMetrics(prometheus.NewRegistry()),
		})
		h := NewHandler(idCodec{}, fixedConfig{config(), true}, d, "own")
		status, header := serve(h, path, "")
		if !slices.Equal(sent, want) {
			t.Errorf("%s: sent to %v, want %v", path, sent, want)
		}
		if refused := len(want) == 1; refused != (status == http.StatusServiceUnavailable) || refused != (header.Get("Retry-After") != "") {
			t.Errorf("%s: status %d, Retry-After %q", path, status, header.Get("Retry-After"))
		}
	}
}
