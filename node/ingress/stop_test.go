package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/node/relay"
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
