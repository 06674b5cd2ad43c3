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
	server  *Server
	limited *io.LimitedReader
	reader  *bufio.Reader
	// ctx is cancelled when the client has disconnected.
	ctx    context.Context
	cancel context.CancelFunc
	// slots limits the pending requests to maxPending.
	slots chan struct{}
	// last is closed when the most recently read request has been answered.
	last chan struct{}

	mu sync.Mutex
	// pending counts the requests that were read and not yet answered. reading is set while a
	// request head is being read.
	pending int
	reading bool
	// ending is set when no further request is read.
	ending bool
}

// serve reads requests until the client disconnects or the connection is to be closed, then waits
// for the responses and closes the connection.
func (c *connection) serve() {
	defer c.server.remove(c)
	group := sync.WaitGroup{}
	for c.next(&group) {
	}
	group.Wait()
	c.cancel()
	c.linger()
}

// next reads one request and starts its handler. It reports whether to read another one.
func (c *connection) next(group *sync.WaitGroup) bool {
	c.slots <- struct{}{}
	if !c.awaitRequest() {
		return false
	}
	request, err := c.readRequest()
	if err != nil {
		return c.refuse(err)
	}
	body := &body{ReadCloser: request.Body, ended: make(chan struct{})}
	x := c.begin(request, body)
	if x == nil {
		return false
	}
	group.Go(func() { x.serve(c.server.handler) })
	if request.Body == http.NoBody {
		return !c.isEnding()
	}
	// The next request begins after the body: wait until the body has been read or discarded.
	select {
	case <-body.ended:
	case <-x.handled:
		if n, _ := io.Copy(io.Discard, io.LimitReader(request.Body, drainBytes)); n == drainBytes {
			c.end()
			return false
		}
	}
	return !c.isEnding()
}

// awaitRequest waits for the first byte of a request. It returns false when the client has
// disconnected or the idle timeout has expired.
func (c *connection) awaitRequest() bool {
	c.limited.N = int64(c.server.options.HeaderBytes) + readBuffer
	for {
		_ = c.SetReadDeadline(time.Now().Add(c.server.options.IdleTime))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReading()
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && !c.endIfIdle() && !c.isEnding() {
			continue
		}
		c.gone(err)
		return false
	}
}

// gone handles a read error: no further request is read, and the running ones are cancelled unless
// the server itself has closed the connection.
func (c *connection) gone(err error) {
	c.mu.Lock()
	ending := c.ending
	c.ending = true
	c.mu.Unlock()
	if !ending || !errors.Is(err, net.ErrClosed) {
		c.cancel()
	}
}

func (c *connection) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

func (c *connection) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.reading = true
	return true
}

var (
	// errHeadTooLarge reports a request head above Options.HeaderBytes.
	errHeadTooLarge = errors.New("request head too large")
	// errHeadTooSlow reports a request head that took longer than Options.HeaderTime.
	errHeadTooSlow = errors.New("request head too slow")
)

func (c *connection) readRequest() (*http.Request, error) {
	deadline := time.Now().Add(c.server.options.HeaderTime)
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
	c.limited.N = 1 << 62
	request.RemoteAddr = c.RemoteAddr().String()
	return request, nil
}

// refuse responds to a request that could not be parsed. It always returns false, so that the
// connection is closed.
func (c *connection) refuse(err error) bool {
	status := http.StatusBadRequest
	var broken net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errHeadTooSlow):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		c.gone(err)
		return false
	}
	x := c.begin(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Method: http.MethodGet, Close: true, Body: http.NoBody}, nil)
	if x != nil {
		x.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	}
	return false
}

// begin adds a request to the pending ones and queues its response behind the previous one. It
// returns nil when no further request is served on the connection.
func (c *connection) begin(request *http.Request, b *body) *exchange {
	leaving := c.server.isLeaving()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.ending {
		return nil
	}
	x := &exchange{
		connection: c, turn: c.last, done: make(chan struct{}), handled: make(chan struct{}),
		header: make(http.Header), closes: request.Close || leaving || !request.ProtoAtLeast(1, 1),
	}
	if b != nil {
		b.exchange, b.expects = x, request.Header.Get("Expect") != ""
		if request.Body != http.NoBody {
			request.Body = b
		}
	}
	x.request = request.WithContext(c.ctx)
	c.last = x.done
	c.pending++
	c.ending = x.closes
	return x
}

// finish removes an answered request from the pending ones and lets the next response be written.
func (c *connection) finish(x *exchange) {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	<-c.slots
	close(x.done)
}

// mustClose reports whether the response about to be written is the last one of the connection.
// After Server.Leave it is the last one if no further request has begun to arrive.
func (c *connection) mustClose(x *exchange) bool {
	leaving := c.server.isLeaving()
	c.mu.Lock()
	defer c.mu.Unlock()
	if leaving && c.last == x.done && !c.reading {
		c.ending = true
		x.closes = true
	}
	return x.closes
}

// endIfIdle closes the connection if it has no requests, and reports whether it did.
func (c *connection) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading {
		return false
	}
	c.ending = true
	_ = c.SetReadDeadline(time.Now())
	return true
}

// end stops the reading of further requests.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// abort closes the connection at once, so that a truncated response cannot pass for a complete one.
func (c *connection) abort() {
	c.end()
	c.cancel()
	_ = c.Close()
}

// linger closes the write side and discards what the client still sends for up to lingerTime. A
// connection closed with unread data is reset, which can lose the last response.
func (c *connection) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, drainBytes))
	}
	_ = c.Close()
}
