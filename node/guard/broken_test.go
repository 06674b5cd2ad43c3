package guard

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// TestBrokenAnswerIsNotBelieved guards against believing an answer whose head HTTP does not allow: neither that the
// request was answered or not run, nor that the target is warm.
func TestBrokenAnswerIsNotBelieved(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
		answer  = "X-Attempt-Id: r\r\nX-Response-Seal: s\r\n"
		refusal = "X-Attempt-Id: r\r\nX-Not-Executed: 1\r\n"
		health  = "X-Instance-Id: i\r\nX-Cold-Ms: 0\r\n"
	)
	for name, begin := range map[string]string{
		"status 000":         "HTTP/1.1 000 x\r\nContent-Length: 0\r\n",
		"blank in a name":    ok + "X Y: z\r\n",
		"folded line":        ok + "X: y\r\n Z: z\r\n",
		"control byte":       ok + "X\x01: z\r\n",
		"blank in the front": " " + ok,
	} {
		start := func(fields string) *Guard {
			return newPlatformGuard(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, begin+fields+"\r\n")
			})
		}
		for _, fields := range []string{answer, refusal} {
			if result := start(fields).Serve(context.Background(), platformRequest(t, time.Second)); result.Outcome != outcome.Unknown {
				t.Errorf("%s: %q ends with %v (%s)", name, fields, result.Outcome, result.Reason)
			}
		}
		g := start(health)
		local, _ := g.gate.Admit("", false, 0)
		if statement, err := g.askTarget(local, "/healthz"); err == nil {
			t.Errorf("%s: %q says %+v", name, health, statement)
		}
	}
}
