package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func serve(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, Options{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return &client{Conn: c, t: t, r: bufio.NewReader(c)}
}

func (c *client) send(path string) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) readResponse() (*http.Response, string, error) {
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestRequestsOfAConnectionRunSideBySide pipelines a slow request and a fast one. Both must run
// concurrently, and the responses must come in the order of the requests.
func TestRequestsOfAConnectionRunSideBySide(t *testing.T) {
	second := make(chan struct{})
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-second
		} else {
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send("/first")
	c.send("/second")
	for _, want := range []string{"/first", "/second"} {
		if _, got, err := c.readResponse(); err != nil || got != want {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	}
}

// TestCallerThatLeftIsNoticed closes a connection with two running requests and checks that the
// contexts of both are cancelled.
func TestCallerThatLeftIsNoticed(t *testing.T) {
	var ended atomic.Int64
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended.Add(1)
	})
	c := dial(t, address)
	c.send("/a")
	c.send("/b")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	for range 100 {
		if ended.Load() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d of 2 requests cancelled", ended.Load())
}

// TestCallerThatLeftIsNoticedAtTheEndOfItsBody disconnects while the handler does not read a long body, as it does
// while the request waits for a slot. The handler must not get the end of the body, or the request would be sent after
// its caller left.
func TestCallerThatLeftIsNoticedAtTheEndOfItsBody(t *testing.T) {
	const size = 200 << 10
	for _, leaves := range []bool{true, false} {
		started, left, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadFull(r.Body, make([]byte, size/4)); err != nil {
				t.Error(err)
			}
			close(started)
			<-left
			time.Sleep(2 * disconnectPause)
			_, err := io.Copy(io.Discard, r.Body)
			read <- err
		})
		c := dial(t, address)
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size)); err != nil {
			t.Fatal(err)
		}
		<-started
		if leaves {
			_ = c.Close()
		}
		close(left)
		if err := <-read; errors.Is(err, errDisconnected) != leaves {
			t.Errorf("caller leaves: %t, the body's read ended with %v", leaves, err)
		}
	}
}

// TestAbortedAnswerDoesNotLookWhole aborts a buffered response and a streamed one. The client must
// see an error instead of a complete response.
func TestAbortedAnswerDoesNotLookWhole(t *testing.T) {
	for _, size := range []int{10, 2 * maxBufferedBytes} {
		_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(2*size))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			panic(http.ErrAbortHandler)
		})
		c := dial(t, address)
		c.send("/")
		if _, got, err := c.readResponse(); err == nil {
			t.Errorf("%d of %d bytes read without an error", len(got), 2*size)
		}
	}
}

// TestAbortedAnswerToAnHTTP10ClientDoesNotLookWhole guards against closing the connection of a client without chunks,
// which takes that for the end of an answer without a length.
func TestAbortedAnswerToAnHTTP10ClientDoesNotLookWhole(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedBytes))
		panic(http.ErrAbortHandler)
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	if _, got, err := c.readResponse(); err == nil {
		t.Errorf("%d bytes read without an error", len(got))
	}
}

// TestLongAnswerWithoutALength checks that a response above the buffer size without a
// Content-Length arrives complete and leaves the connection usable.
func TestLongAnswerWithoutALength(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes))
		}
	})
	c := dial(t, address)
	for range 2 {
		c.send("/")
		if _, got, err := c.readResponse(); err != nil || len(got) != 3*maxBufferedBytes {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	}
}

// TestBodiesAreReadBeforeTheNextRequest pipelines requests whose bodies, with a length or chunked,
// the handler reads or leaves unread. The next request must be parsed after the body.
func TestBodiesAreReadBeforeTheNextRequest(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(w, r.Body)
		}
	})
	c := dial(t, address)
	for _, path := range []string{"/read", "/left"} {
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", path)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", path)
	}
	for _, want := range []string{"body", "body", "", ""} {
		if _, got, err := c.readResponse(); err != nil || got != want {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	}
}

// TestDisableKeepAlivesClosesAfterTheLastAnswer calls DisableKeepAlives while a connection has two
// running requests. Both must be answered, and only the last response carries "Connection: close".
func TestDisableKeepAlivesClosesAfterTheLastAnswer(t *testing.T) {
	release := make(chan struct{})
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	busy, idle := dial(t, address), dial(t, address)
	busy.send("/a")
	busy.send("/b")
	time.Sleep(50 * time.Millisecond)
	s.DisableKeepAlives()
	close(release)
	for i, want := range []string{"/a", "/b"} {
		response, got, err := busy.readResponse()
		if err != nil || got != want || response.Close != (i == 1) {
			t.Fatalf("got %q, close %v, %v", got, response.Close, err)
		}
	}
	idle.send("/c")
	if response, got, err := idle.readResponse(); err != nil || got != "/c" || !response.Close {
		t.Errorf("request after DisableKeepAlives: got %q, %v", got, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// TestShutdownWaitsForAnswers shuts down while a request runs: its response must be complete, and
// an idle connection must be closed.
func TestShutdownWaitsForAnswers(t *testing.T) {
	s, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	c, idle := dial(t, address), dial(t, address)
	c.send("/")
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if _, got, err := c.readResponse(); err != nil || got != "whole" {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := idle.r.ReadByte(); err == nil {
		t.Error("idle connection not closed")
	}
}

// TestShutdownAwaitsTheFirstRequestOfANewConnection guards against a connection that is closed, as idle, while its first
// request is on its way.
func TestShutdownAwaitsTheFirstRequestOfANewConnection(t *testing.T) {
	s, address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	c, silent := dial(t, address), dial(t, address)
	opened := func() (n int, last time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.connections {
			if c.idleSince.After(last) {
				last = c.idleSince
			}
		}
		return len(s.connections), last
	}
	n, last := opened()
	for ; n < 2; n, last = opened() {
		time.Sleep(time.Millisecond)
	}
	s.DisableKeepAlives()
	if busy := s.closeIdle(last); busy != 2 {
		t.Errorf("%d connections are waited for, want both", busy)
	}
	c.send("/")
	if response, got, err := c.readResponse(); err != nil || got != "whole" || !response.Close {
		t.Errorf("got %q, %v", got, err)
	}
	if busy := s.closeIdle(last.Add(crossingTime)); busy != 0 {
		t.Errorf("%d connections are waited for that send no request", busy)
	}
	if _, err := silent.r.ReadByte(); err == nil {
		t.Error("a silent connection is not closed")
	}
}

// TestBadRequests checks the status of requests that cannot be parsed, and that the response
// closes the connection.
func TestBadRequests(t *testing.T) {
	_, address := serve(t, func(http.ResponseWriter, *http.Request) {})
	rows := []struct {
		text string
		want int
	}{
		{"nonsense\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"GET / HTTP/1.1\r\nHost", http.StatusRequestTimeout},
	}
	for _, row := range rows {
		c := dial(t, address)
		_, _ = io.WriteString(c, row.text)
		if response, _, err := c.readResponse(); err != nil || response.StatusCode != row.want || !response.Close {
			t.Errorf("%.20q: got %v, %v, want %d", row.text, response, err, row.want)
		}
	}
}

// TestInvalidStatusAbortsTheConnection guards against a status of 0, which means "not set" nowhere else, that is
// sent to the caller as 200.
func TestInvalidStatusAbortsTheConnection(t *testing.T) {
	for _, status := range []int{-1, 0, 6, 99, 100, 199, 600, 1000} {
		_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "no answer")
		})
		c := dial(t, address)
		c.send("/")
		if response, text, err := c.readResponse(); err == nil {
			t.Errorf("status %d: got %d %q, want no response", status, response.StatusCode, text)
		}
	}
}
