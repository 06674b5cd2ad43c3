package guard

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

const (
	// endlessDeadline is the time that the caller waits.
	endlessDeadline = 700 * time.Millisecond
	// endlessMemory bounds the growth of the heap while one answer is read.
	endlessMemory = 4 << 20
)

// endlessTarget answers each request with begin and then repeats more, with a pause between two
// repetitions, until the connection breaks. closed receives a value when that happens.
func endlessTarget(t *testing.T, begin, more string, pause time.Duration) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		repeated := []byte(more)
		_, err = c.Write([]byte(begin))
		for err == nil {
			_, err = c.Write(repeated)
			time.Sleep(pause)
		}
		closed <- struct{}{}
	}()
	return l.Addr().String(), closed
}

// discardWriter is a http.ResponseWriter of a caller that reads everything.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// watchHeap returns a function that returns the largest growth of the heap since the call.
func watchHeap() func() uint64 {
	read := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before := read()
	var largest atomic.Uint64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				largest.Store(max(largest.Load(), read()))
			}
		}
	}()
	return func() uint64 {
		close(done)
		return largest.Load() - min(largest.Load(), before)
	}
}

func TestTargetThatSendsWithoutEnd(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n"
	block := strings.Repeat("x", 16<<10)
	rows := []struct {
		name, begin, more string
		pause             time.Duration
		want              outcome.Outcome
		// within is the time by which the outcome must be known.
		within time.Duration
	}{
		{"no answer at all", "", block, 0, outcome.Unknown, 300 * time.Millisecond},
		{"status line", "HTTP/1.1 200 O", block, 0, outcome.Unknown, 300 * time.Millisecond},
		{"header field", begin + "A: ", block, 0, outcome.Unknown, 300 * time.Millisecond},
		{"header fields", begin, strings.Repeat("A: b\r\n", 2000), 0, outcome.Unknown, 300 * time.Millisecond},
		{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500), 0, outcome.Unknown, 300 * time.Millisecond},
		{"slow head", begin + "A: ", "x", 10 * time.Millisecond, outcome.Unknown, endlessDeadline + 200*time.Millisecond},
		{"size of a chunk", begin + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 16<<10), 0, outcome.Unknown, 300 * time.Millisecond},
		{"body without a length", begin + "\r\n", block, 0, outcome.Answered, 300 * time.Millisecond},
		{"body in chunks", begin + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n", 0, outcome.Answered, 300 * time.Millisecond},
		{"body of an unsealed answer", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", block, 0, outcome.Unknown, 300 * time.Millisecond},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nId: q\r\n\r\n", block, 0, outcome.Unknown, 300 * time.Millisecond},
		{"body of a refusal", "HTTP/1.1 503 Busy\r\nId: r\r\n\r\n", block, 0, outcome.NotRun, 300 * time.Millisecond},
		{"slow body of a refusal", "HTTP/1.1 503 Busy\r\nId: r\r\n\r\n", "x", 10 * time.Millisecond, outcome.NotRun, 300 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, closed := endlessTarget(t, row.begin, row.more, row.pause)
			r := request(t, "r", "/a", "caller")
			r.Deadline = time.Now().Add(endlessDeadline)
			heapGrowth := watchHeap()
			began := time.Now()
			result := newGuard(address).Serve(context.Background(), r)
			if took := time.Since(began); result.Outcome != row.want || took > row.within {
				t.Errorf("outcome %v (%s) after %v, want %v within %v", result.Outcome, result.Detail, took, row.want, row.within)
			}
			if result.Answer != nil {
				if cut := cutWhileWritten(result.Answer.WriteResponse); !cut {
					t.Error("an answer without an end looks complete")
				}
			}
			select {
			case <-closed:
			case <-time.After(time.Until(r.Deadline.Add(500 * time.Millisecond))):
				t.Error("the connection is still open after the deadline")
			}
			if growth := heapGrowth(); growth > endlessMemory {
				t.Errorf("the heap grew by %d bytes", growth)
			}
		})
	}
}

// cutWhileWritten writes an answer to a caller and reports whether it was aborted before its end.
func cutWhileWritten(write func(http.ResponseWriter, string)) (cut bool) {
	defer func() {
		if err, ok := recover().(error); ok {
			cut = errors.Is(err, http.ErrAbortHandler)
		}
	}()
	write(discardWriter{make(http.Header)}, http.MethodGet)
	return false
}
