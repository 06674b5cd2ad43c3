// Package pipeline is an HTTP/1.1 server that handles the pipelined requests of one connection
// concurrently.
//
// net/http.Server handles pipelined requests one after another, and does not detect that the client
// has disconnected while another request waits to be read. This server reads requests as they
// arrive, runs their handlers concurrently and writes the responses in the order of the requests.
//
// The memory held for clients is reserved from a budget before it is held (Options.Memory), and clients that keep
// the server waiting are disconnected when memory or connections are short (limits.go).
//
// Lock order: Server.mu, connection.mu, exchange.mu. The budget is a leaf lock.
package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/budget"
)

const (
	// maxPending is the maximum number of unanswered requests per connection.
	maxPending = 32
	// readBufferBytes is the size of a connection's read buffer, in bytes.
	readBufferBytes = 4 << 10
	// maxDrainBytes limits how much of an unread request body is discarded so that the connection
	// can be reused.
	maxDrainBytes = 256 << 10
	// drainTimeout is how long the server waits for the unread rest of a request body.
	drainTimeout = time.Second
	// maxLingerBytes limits what is discarded from a connection that is closed. It lets a client that is still sending
	// a body see the refusal, at a small cost in processor time.
	maxLingerBytes = 4 << 20
	// lingerTimeout is how long the server still reads from a connection that it closes, so that a
	// reset does not lose the last response.
	lingerTimeout = 500 * time.Millisecond
)

// Options are the settings of a Server.
type Options struct {
	// HeaderBytes is the maximum size of a request head.
	HeaderBytes int
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
	// HeaderFields is the maximum number of fields of a request head; zero sets no limit.
	HeaderFields int
	// MaxConnections is the maximum number of connections; zero sets no limit.
	MaxConnections int
	// Memory is the budget of memory that may be held for clients; nil sets no limit.
	Memory *budget.Memory
	// ConnectionBytes is the memory up to which a connection's requests are read while others of it are pending; zero
	// sets no limit.
	ConnectionBytes int64
	// HeldBodyBytes is how much of a request body the handler buffers, and HeldPerByte the memory that it takes for
	// each byte; zero stands for one.
	HeldBodyBytes, HeldPerByte int64
	// MinBytesPerSecond is the pace that bodies must keep and at which answers must be read; zero sets no limit.
	MinBytesPerSecond int64
	// IDHeader is the request header that is repeated in refusals; none if it is empty.
	IDHeader string
	// RefusalHeader is added to the responses by which the server itself refuses a request.
	RefusalHeader http.Header
	// ClosingHeader is the header of the response that Shutdown sends on each idle connection before it is closed. A
	// client whose request crosses the close gets it as the answer and knows that the request is not handled. None is
	// sent if it is nil.
	ClosingHeader http.Header
	// Reached is called when a client has reached a limit; it may be nil.
	Reached func(Limit)
}

// RetryAfter is the delay given to clients that are refused because memory is short: about the time in which stalled
// clients are disconnected.
const RetryAfter = time.Second

// ErrClosed is returned by Serve after Shutdown or Close.
var ErrClosed = errors.New("server closed")

// Server serves a handler over HTTP/1.1. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	options Options

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	// addresses counts the connections by the client's address.
	addresses         map[string]int
	keepAliveDisabled bool
	closed            bool
}

// New returns a server that serves the handler.
func New(h http.Handler, o Options) *Server {
	s := &Server{handler: h, options: o, connections: make(map[*connection]struct{}), addresses: make(map[string]int)}
	o.Memory.OnFull(func() { s.disconnect(minStall, true, LimitMemoryClosed) })
	return s
}

// Serve accepts connections until the server is closed, and then returns ErrClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return ErrClosed
			}
			if errors.Is(err, syscall.ECONNABORTED) {
				// The client has left already.
				continue
			}
			if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) {
				// The process has fewer descriptors than its settings say.
				s.disconnect(minIdle, false, LimitConnections)
				time.Sleep(acceptPause)
				continue
			}
			return errors.Wrap(err, "accept")
		}
		if !s.makeRoom() {
			s.refuse(c)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &connection{
		Conn: c, server: s, ctx: ctx, cancel: cancel,
		slots:    make(chan struct{}, maxPending),
		lastDone: make(chan struct{}), idleSince: time.Now(), address: hostOf(c.RemoteAddr()),
	}
	conn.source = &source{connection: conn}
	conn.reader = bufio.NewReaderSize(conn.source, readBufferBytes)
	close(conn.lastDone)
	s.mu.Lock()
	s.connections[conn] = struct{}{}
	s.addresses[conn.address]++
	s.mu.Unlock()
	go conn.serve()
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 10 * time.Millisecond

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// hostOf returns an address without its port.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// DisableKeepAlives makes the server close each connection after its next response, which carries
// the header "Connection: close".
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveDisabled = true
}

func (s *Server) isKeepAliveDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAliveDisabled
}

// shutdownPollInterval is the interval at which Shutdown checks for connections that are still in
// use.
const shutdownPollInterval = 20 * time.Millisecond

// crossingTime is how long Shutdown allows for a request that is on its way: for the first one of a connection that was
// just opened, and for one that crosses the response of Options.ClosingHeader, so that the end of the process does not reset
// the connection. It exceeds the time between two regions.
const crossingTime = 50 * time.Millisecond

// Shutdown stops accepting connections, closes the idle ones and waits for the others until ctx
// is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.keepAliveDisabled, s.closed = true, true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	for {
		if s.closeIdle(time.Now()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// closeIdle closes the connections without requests and returns the number of those that must be waited for.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.connections {
		if c.awaitsFirst(now) || !c.closeIfIdle() || c.mayBeCrossed(now) {
			busy++
		}
	}
	return busy
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.connections {
		c.cancel()
		_ = c.Close()
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if s.addresses[c.address]--; s.addresses[c.address] == 0 {
		delete(s.addresses, c.address)
	}
}
