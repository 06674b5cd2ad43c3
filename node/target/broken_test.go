package target

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// startRaw registers a target that sends the bytes to each request and then ends the connection.
func startRaw(t *testing.T, answer string, reset bool) *Link {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		defer c.Close()
		_, _ = io.WriteString(c, answer)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}))
	t.Cleanup(server.Close)
	link := newTestLink(t)
	announce(link, announcement(1, serverAddress(server)))
	return link
}

// callRaw calls a target of startRaw and returns the result and what was forwarded.
func callRaw(t *testing.T, call Call, answer string, reset bool) (CallResult, *headSink) {
	t.Helper()
	sink := &headSink{}
	return startRaw(t, answer, reset).Call(t.Context(), call, sink), sink
}

// expectMalformed fails the test if an answer is forwarded or its request is said not to have run.
func expectMalformed(t *testing.T, name, answer string) {
	t.Helper()
	result, sink := callRaw(t, newCall(http.MethodGet), answer, false)
	if result.Outcome != outcome.Unknown || sink.begun {
		t.Errorf("%s: %v, forwarded %t, want an unknown outcome", name, result.End, sink.begun)
	}
}

// TestAnswerWithAnInvalidStatusIsNotForwarded guards against passing on a status that HTTP does not define. The server
// for callers panics for some of them.
func TestAnswerWithAnInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "-00", "001", "099", "101", "+06", "+20", "600", "999", "0200", "20", ""} {
		expectMalformed(t, status, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\nno")
		expectMalformed(t, status+", refusal", "HTTP/1.1 "+status+" x\r\n"+HeaderNotRun+": shed\r\nContent-Length: 2\r\n\r\nno")
	}
}

// TestAnswerWithAnInvalidFieldNameIsNotForwarded guards against delivering an answer whose head is broken.
// http.ReadResponse accepts blanks in the name of a field.
func TestAnswerWithAnInvalidFieldNameIsNotForwarded(t *testing.T) {
	for _, line := range []string{
		"X Y: z", "X : z", " X: z", "Transfer-Encoding : chunked", "Transfer- Encoding: chunked", "X\tY: z", "X\x00Y: z", "X\rY: z", "X\x7f: z", ": z",
	} {
		expectMalformed(t, line, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\n\r\nno")
		expectMalformed(t, line+", refusal", "HTTP/1.1 503 x\r\n"+HeaderNotRun+": shed\r\nContent-Length: 2\r\n"+line+"\r\n\r\nno")
	}
	expectMalformed(t, "length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno")
	expectMalformed(t, "folded length", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nno")
}

// TestUnframedAnswerIsNotForwarded guards against delivering a part of an answer without a length that is reset during
// the upload.
func TestUnframedAnswerIsNotForwarded(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\n\r\npart"} {
		call := newCall(http.MethodPost)
		call.Request.Body = bytes.Repeat([]byte("x"), 8<<20)
		if result, sink := callRaw(t, call, answer, true); result.Outcome != outcome.Unknown || sink.begun {
			t.Errorf("%.8s: %v, forwarded %t, want an unknown outcome", answer, result.End, sink.begun)
		}
	}
}

// TestBrokenControlAnswerIsNotBelieved guards against believing what a target in trouble says of its health, its grants
// and its calls: above all, that a call never started.
func TestBrokenControlAnswerIsNotBelieved(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 x\r\nContent-Length: %d\r\n",
		"status 600":             "HTTP/1.1 600 x\r\nContent-Length: %d\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: %d\r\n",
		"blank behind a name":    "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: %d\r\n",
	} {
		answer := func(text string) string { return fmt.Sprintf(head, len(text)) + "\r\n" + text }
		link := startRaw(t, answer(`{"incarnation":1,"state":"ready"}`), false)
		if health, err := link.fetchHealth(t.Context(), link.Info().Address); err == nil {
			t.Errorf("%s: the health %+v is believed", name, health)
		}
		if _, err := startRaw(t, answer("{}"), false).PutGrants(t.Context(), nil, nil); err == nil {
			t.Errorf("%s: the grants count as accepted", name)
		}
		if state := startRaw(t, answer(`{"state":"cancelled"}`), false).Cancel(t.Context(), "id", 1); state != CallUnknown {
			t.Errorf("%s: the state %d of a call is believed", name, state)
		}
	}
}

// TestCutControlAnswerIsNotBelieved guards against believing the part of an answer that is reset behind it.
func TestCutControlAnswerIsNotBelieved(t *testing.T) {
	link := startRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"state":"cancelled"`, true)
	if state := link.Cancel(t.Context(), "id", 1); state != CallUnknown {
		t.Errorf("the state %d of a call is believed", state)
	}
}
