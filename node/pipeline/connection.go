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

// connection is one client connection.
type connection struct {
	net.Conn
	server *Server
	// limited is the source of reader; it limits the bytes read for a request head.
	limited *io.LimitedReader
	reader  *bufio.Reader
	// ctx is cancelled when the client has disconnected.
	ctx    context.Context
	cancel context.CancelFunc
	// slots limits the pending requests to maxPending.
	slots chan struct{}
	// lastDone is closed when the most recently read request has been answered.
	lastDone chan struct{}

	mu sync.Mutex
	// pending counts the requests that were read and not yet answered. reading is set while a
	// request head is being read.
	pending int
	reading bool
	// closing is set when no further request is read.
	closing bool
}

// serve reads requests until the client disconnects or the connection is to be closed, then waits
// for the responses and closes the connection.
func (c *connection) serve() {
	defer c.server.remove(c)
	group := sync.WaitGroup{}
	for c.serveNext(&group) {
	}
	group.Wait()
	c.cancel()
	c.linger()
}

// serveNext reads one request and starts its handler. It reports whether to read another one.
func (c *connection) serveNext(group *sync.WaitGroup) bool {
	c.slots <- struct{}{}
	if !c.awaitRequest() {
		return false
	}
	request, err := c.readRequest()
	if err != nil {
		return c.respondError(err)
	}
	body := &body{ReadCloser: request.Body, readToEnd: make(chan struct{})}
	x := c.beginExchange(request, body)
	if x == nil {
		return false
	}
	group.Go(func() { x.serve(c.server.handler) })
	if request.Body == http.NoBody {
		return !c.isClosing()
	}
	// The next request begins after the body: wait until the body has been read or discarded.
	select {
	case <-body.readToEnd:
	case <-x.handled:
		if n, _ := io.Copy(io.Discard, io.LimitReader(request.Body, maxDrainBytes)); n == maxDrainBytes {
			c.stopReading()
			return false
		}
	}
	return !c.isClosing()
}

// awaitRequest waits for the first byte of a request. It returns false when the client has
// disconnected, the idle timeout has expired or no further request is read.
func (c *connection) awaitRequest() bool {
	c.limited.N = int64(c.server.options.HeaderBytes) + readBufferBytes
	for {
		_ = c.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReading()
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && !c.closeIfIdle() && !c.isClosing() {
			continue
		}
		c.handleReadError(err)
		return false
	}
}

// handleReadError handles a read error: no further request is read, and the running ones are
// cancelled unless the server itself has closed the connection.
func (c *connection) handleReadError(err error) {
	c.mu.Lock()
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	if !closing || !errors.Is(err, net.ErrClosed) {
		c.cancel()
	}
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *connection) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

var (
	// errHeadTooLarge reports a request head above Options.HeaderBytes.
	errHeadTooLarge = errors.New("request head too large")
	// errHeadTooSlow reports a request head that took longer than Options.HeaderTimeout.
	errHeadTooSlow = errors.New("request head too slow")
)

func (c *connection) readRequest() (*http.Request, error) {
	deadline := time.Now().Add(c.server.options.HeaderTimeout)
	_ = c.SetReadDeadline(deadline)
	request, err := http.ReadRequest(c.reader)
	switch {
	case err == nil:
	case c.limited.N <= 0:
		return nil, errors.Mark(err, errHeadTooLarge)
	case !time.Now().Before(deadline):
		return nil, errors.Mark(err, errHeadTooSlow)
	default:
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	c.limited.N = 1 << 62 // no limit for the body
	request.RemoteAddr = c.RemoteAddr().String()
	return request, nil
}

// respondError responds to a request that could not be parsed. It always returns false, so that the
// connection is closed.
func (c *connection) respondError(err error) bool {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errHeadTooSlow):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.handleReadError(err)
		return false
	}
	x := c.beginExchange(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Method: http.MethodGet, Close: true, Body: http.NoBody}, nil)
	if x != nil {
		x.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	}
	return false
}

// beginExchange adds a request to the pending ones and queues its response behind the previous
// one. It returns nil when no further request is served on the connection.
func (c *connection) beginExchange(request *http.Request, b *body) *exchange {
	keepAliveDisabled := c.server.isKeepAliveDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return nil
	}
	x := &exchange{
		connection: c, previousDone: c.lastDone, done: make(chan struct{}), handled: make(chan struct{}),
		header: make(http.Header), closeAfter: request.Close || keepAliveDisabled || !request.ProtoAtLeast(1, 1),
	}
	if b != nil {
		b.exchange, b.awaitsContinue = x, request.Header.Get("Expect") != ""
		if request.Body != http.NoBody {
			request.Body = b
		}
	}
	x.request = request.WithContext(c.ctx)
	c.lastDone = x.done
	c.pending++
	c.closing = x.closeAfter
	return x
}

// finishExchange removes an answered request from the pending ones and lets the next response be
// written.
func (c *connection) finishExchange(x *exchange) {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	<-c.slots
	close(x.done)
}

// mustClose reports whether the response about to be written is the last one of the connection.
// After Server.DisableKeepAlives it is the last one if no further request has begun to arrive.
func (c *connection) mustClose(x *exchange) bool {
	keepAliveDisabled := c.server.isKeepAliveDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	if keepAliveDisabled && c.lastDone == x.done && !c.reading {
		c.closing = true
		x.closeAfter = true
	}
	return x.closeAfter
}

// closeIfIdle closes the connection if it has no requests, and reports whether it did.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading {
		return false
	}
	c.closing = true
	_ = c.SetReadDeadline(time.Now())
	return true
}

// stopReading stops the reading of further requests.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// abort closes the connection at once, so that a truncated response cannot pass for a complete one.
func (c *connection) abort() {
	c.stopReading()
	c.cancel()
	_ = c.Close()
}

// linger closes the write side and discards what the client still sends for up to lingerTimeout. A
// connection closed with unread data is reset, which can lose the last response.
func (c *connection) linger() {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainBytes))
	}
	_ = c.Close()
}
