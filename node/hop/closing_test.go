package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/pipeline"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// slowReturn is a connection to a server whose bytes to the client are held back while held is locked, as on a link with a
// delay. arrived gets a value whenever the server has sent bytes, sent whenever the client has.
type slowReturn struct {
	held          sync.Mutex
	arrived, sent chan struct{}
}

// listen accepts one connection and relays it to the server.
func (s *slowReturn) listen(t *testing.T, server string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		client, err := l.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		upstream, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		defer upstream.Close()
		go func() {
			relayBytes(client, upstream, func() {
				s.arrived <- struct{}{}
				s.held.Lock()
				s.held.Unlock() //nolint:staticcheck // waits until the bytes are let through
			})
			// The end of the server's side leaves the other direction open.
			_ = client.(*net.TCPConn).CloseWrite()
		}()
		relayBytes(upstream, client, func() { s.sent <- struct{}{} })
	}()
	return l.Addr().String()
}

// relayBytes copies bytes and calls each before it passes on what it has read, the end too.
func relayBytes(to io.Writer, from io.Reader, each func()) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		each()
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

// TestRequestThatCrossesTheCloseOfAStoppingNodeHasNotRun guards against a request that is answered as if it may have run
// because its connection was closed, idle, by a node that stops.
func TestRequestThatCrossesTheCloseOfAStoppingNodeHasNotRun(t *testing.T) {
	for name, body := range map[string]string{"without a body": "", "with a body": strings.Repeat("x", 100<<10)} {
		t.Run(name, func(t *testing.T) {
			served := make(chan string, 2)
			server := pipeline.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				served <- r.RequestURI
				writeResult(w, r.Method, relay.NotRun(outcome.ReasonShed))
			}), pipeline.Options{HeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute, ClosingHeader: ClosingHeader()})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(l) }()
			link := &slowReturn{arrived: make(chan struct{}, 100), sent: make(chan struct{}, 100)}
			d := ownership.Destination{Node: "vm-2", Address: link.listen(t, l.Addr().String())}
			client := NewClient(h1.NewPool(h1.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, UnackedTimeout: time.Second, MaxConns: 1}))
			send := func(path, body string) relay.Result {
				read, err := relay.ReadBody(io.NopCloser(strings.NewReader(body)), int64(len(body)))
				if err != nil {
					t.Error(err)
				}
				return client.Send(t.Context(), &relay.Request{
					Method: http.MethodPost, RequestURI: path, Host: "a", Header: http.Header{}, Body: read, Deadline: time.Now().Add(time.Minute),
				}, d)
			}
			if result := send("/first", ""); result.Reason != outcome.ReasonShed {
				t.Fatalf("first request: %+v", result.End)
			}
			<-served
			<-link.arrived
			for len(link.sent) > 0 {
				<-link.sent
			}
			link.held.Lock()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(context.Background()) }()
			<-link.arrived
			results := make(chan relay.Result, 1)
			go func() { results <- send("/crossing", body) }()
			<-link.sent
			link.held.Unlock()
			if result := <-results; result.Outcome != outcome.NotRun || result.Reason != outcome.ReasonStopping {
				t.Errorf("a request that crosses the close ends with %+v, %s", result.End, result.Detail)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			if len(served) > 0 {
				t.Errorf("%s was served", <-served)
			}
		})
	}
}
