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

// connection is one connection of a caller.
type connection struct {
	net.Conn
	server  *Server
	limited *io.LimitedReader
	reader  *bufio.Reader
	// ctx ends when the caller has left.
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the pending requests.
	slots chan struct{}
	// last is closed when the latest request has been answered.
	last chan struct{}

	mu sync.Mutex
	// pending counts requests that were read and not answered; reading tells that a request has
	// begun to arrive.
	pending int
	reading bool
	// ending tells that no further request is read.
	ending bool
}

// serve reads requests until the caller leaves or the connection ends.
func (c *connection) serve() {
	defer c.server.remove(c)
	group := sync.WaitGroup{}
	for c.next(&group) {
	}
	group.Wait()
	c.cancel()
	c.linger()
}

// next reads one request and starts to serve it; it reports whether another may follow.
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
	// What follows the body can be read only after the body.
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

// awaitRequest waits for the first byte of a request. It returns false when the caller has left
// or the connection was idle for too long.
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

// gone ends the work for a caller that has left.
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
	// errHeadTooLarge reports a request whose head is longer than allowed.
	errHeadTooLarge = errors.New("request head too large")
	// errHeadTooSlow reports a request whose head took longer than allowed.
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

// refuse answers what is no request; it always ends the connection.
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

// begin counts a request in and gives it its turn; nil when the connection is ending.
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

// finish counts an answered request out.
func (c *connection) finish(x *exchange) {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	<-c.slots
	close(x.done)
}

// mustClose tells a request that is about to be answered whether its answer is the last one. On a
// server that is leaving it is if no further request was read.
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

// endIfIdle ends a connection that no request uses, and reports whether it did.
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

// end makes the connection read no further request.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// abort breaks the connection off, so that a cut answer does not look whole.
func (c *connection) abort() {
	c.end()
	c.cancel()
	_ = c.Close()
}

// linger ends the connection without losing its last answer.
func (c *connection) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, drainBytes))
	}
	_ = c.Close()
}
