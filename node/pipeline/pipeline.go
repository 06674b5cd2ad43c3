// Package pipeline serves HTTP/1.1 and works on the requests of one connection side by side.
//
// net/http.Server answers the requests that a caller sends behind each other one after another,
// and does not notice that the caller has left while another request waits to be read. Here
// requests are read as they come, served at once and answered in their order.
//
// Lock order: Server.mu before connection.mu.
package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxPending bounds the requests of one connection that are not answered yet.
	maxPending = 32
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// drainBytes bounds what is read of a body that the handler left, so that the connection can
	// be used again.
	drainBytes = 256 << 10
	// lingerTime is how long a connection that the server ends is still read, so that its last
	// answer is not lost by a reset.
	lingerTime = 500 * time.Millisecond
)

// Options are the settings of a Server.
type Options struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeaderTime bounds the time from the first byte of a request to the end of its head.
	HeaderTime time.Duration
	// IdleTime is how long a connection without requests is kept.
	IdleTime time.Duration
}

// ErrClosed is what Serve returns after Shutdown or Close.
var ErrClosed = errors.New("server closed")

// Server serves a handler. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	options Options

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	leaving     bool
	closed      bool
}

// New returns a server of the handler.
func New(h http.Handler, o Options) *Server {
	return &Server{handler: h, options: o, connections: make(map[*connection]struct{})}
}

// Serve takes connections until the server is closed; it returns ErrClosed then.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return ErrClosed
			}
			return errors.Wrap(err, "accept")
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &connection{
		Conn: c, server: s, ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPending),
		last:  make(chan struct{}),
	}
	conn.limited = &io.LimitedReader{R: c}
	conn.reader = bufio.NewReaderSize(conn.limited, readBuffer)
	close(conn.last)
	s.mu.Lock()
	s.connections[conn] = struct{}{}
	s.mu.Unlock()
	go conn.serve()
}

// Leave makes each further answer ask its caller to close the connection.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// shutdownLook is the time between two looks for connections that are still in use.
const shutdownLook = 20 * time.Millisecond

// Shutdown stops taking connections, closes those without requests, and waits for the others
// until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.leaving, s.closed = true, true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownLook):
		}
	}
}

// closeIdle closes the connections without requests and returns the number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.connections {
		if !c.endIfIdle() {
			busy++
		}
	}
	return busy
}

// Close ends the server and breaks its connections off.
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
}
