package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/budget"
)

// connection is one client connection.
type connection struct {
	net.Conn
	server *Server
	// address is the client's address without the port.
	address string
	// source is the source of reader.
	source *source
	reader *bufio.Reader
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
	// closedIdle is set when the connection was closed without a request on it, and toldAt is when the client was sent
	// the response of Options.ClosingHeader; zero before.
	closedIdle bool
	toldAt     time.Time
	// aborted is set once the connection has been closed at once.
	aborted bool
	// served is set once a request has been answered.
	served bool
	// held is the memory that is reserved for the connection, in bytes.
	held int64
	// idleSince is when the connection last became idle, readingSince when the head being read began; zero while
	// the node does not wait for the client.
	idleSince, readingSince time.Time
	// bodyWait is when the node began to wait for the next bytes of a body, zero if it does not. bodyWaited is how
	// long it has waited for the body before, and bodyBytes the bytes received.
	bodyWait   time.Time
	bodyWaited time.Duration
	bodyBytes  int64
	// drainBy is the time by which the unread rest of a body must have arrived; zero if the body is being read.
	drainBy time.Time
	// writing is when the response that is being written was begun, zero if the client does not hold it up; written
	// is the number of its bytes that were accepted, and writtenAt when the last of them were.
	writing, writtenAt time.Time
	written            int64
	// lingering is set while the connection is only kept open so that the client can read the last response.
	lingering bool
}

// serve reads requests until the client disconnects or the connection is to be closed, then waits
// for the responses and closes the connection.
func (c *connection) serve() {
	defer c.server.remove(c)
	group := sync.WaitGroup{}
	for c.serveNext(&group) {
	}
	group.Wait()
	c.tellClosing()
	c.cancel()
	c.source.drop()
	c.mu.Lock()
	c.lingering, c.idleSince = true, time.Now()
	c.mu.Unlock()
	c.linger()
}

// serveNext reads one request and starts its handler. It reports whether to read another one.
func (c *connection) serveNext(group *sync.WaitGroup) bool {
	c.slots <- struct{}{}
	if !c.awaitRequest() {
		return false
	}
	request, charge, err := c.readRequest()
	if err != nil {
		return c.respondError(err)
	}
	body := &body{ReadCloser: request.Body, readToEnd: make(chan struct{})}
	x := c.beginExchange(request, body, charge)
	if x == nil {
		c.release(charge)
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
	}
	if !c.drain(body) {
		body.abandon()
		c.stopReading()
		return false
	}
	return !c.isClosing()
}

// drain discards what is left of a body and reports whether its end was reached. It is bounded in bytes and time.
func (c *connection) drain(b *body) bool {
	if b.isAtEnd() {
		return true
	}
	if b.hasFailed() {
		if err := b.failed(); !errors.IsAny(err, budget.ErrFull, ErrBodyTooSlow) {
			// The client has disconnected.
			c.handleReadError(err)
		}
		return false
	}
	if b.isAwaited() {
		// A client that has not been asked for the body may send it or not.
		return false
	}
	by := time.Now().Add(drainTimeout)
	c.mu.Lock()
	c.drainBy = by
	c.mu.Unlock()
	// This also bounds a read that has begun.
	_ = c.SetReadDeadline(by)
	n, err := io.Copy(io.Discard, io.LimitReader(b.rest(), maxDrainBytes))
	if err == nil && n < maxDrainBytes {
		return true
	}
	if c.ctx.Err() == nil {
		c.server.reached(LimitDrain)
	}
	return false
}

// awaitRequest waits for the first byte of a request. It returns false when the client has
// disconnected, the idle timeout has expired or no further request is read.
func (c *connection) awaitRequest() bool {
	c.source.collect()
	for len(c.source.ahead) == 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout))
		err := c.source.readAhead()
		if err == nil {
			continue
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && !c.closeIfIdle() && !c.isClosing() {
			continue
		}
		c.handleReadError(err)
		return false
	}
	return c.beginReading()
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

// hasDisconnected reports whether the client has disconnected, after leaving the next read time to notice it.
func (c *connection) hasDisconnected() bool {
	timer := time.NewTimer(disconnectWait)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return true
	case <-timer.C:
		return false
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
	c.reading, c.readingSince = true, time.Now()
	return true
}

var (
	// errHeadTooLarge reports a request head above Options.HeaderBytes.
	errHeadTooLarge = errors.New("request head too large")
	// errTooManyFields reports a request head with more fields than Options.HeaderFields.
	errTooManyFields = errors.New("too many fields in the request head")
	// errHeadTooSlow reports a request head that took longer than Options.HeaderTimeout.
	errHeadTooSlow = errors.New("request head too slow")
)

// readRequest reads the head of a request and reserves memory for it before it is parsed. It returns the request and
// the bytes reserved.
func (c *connection) readRequest() (*http.Request, int64, error) {
	deadline := time.Now().Add(c.server.options.HeaderTimeout)
	_ = c.SetReadDeadline(deadline)
	size, fields, err := c.source.readHead(c.server.options)
	if err != nil {
		if !errors.IsAny(err, errHeadTooLarge, errTooManyFields, budget.ErrFull) && !time.Now().Before(deadline) {
			err = errors.Mark(err, errHeadTooSlow)
		}
		return nil, 0, err
	}
	c.endReading()
	parsed := 2*int64(size) + int64(fields)*fieldBytes
	charge := parsed + answerBytes
	class := budget.Small
	if parsed > budget.SmallBytes {
		class = budget.Large
	}
	if !c.reserveRequest(charge, class) {
		return nil, 0, errors.WithStack(budget.ErrFull)
	}
	c.source.headOnly = true
	request, err := http.ReadRequest(c.reader)
	c.source.headOnly = false
	if err != nil {
		c.release(charge)
		return nil, 0, err
	}
	_ = c.SetReadDeadline(time.Time{})
	request.RemoteAddr = c.RemoteAddr().String()
	return request, charge, nil
}

// endReading notes that the client does not keep the node waiting any more for a head.
func (c *connection) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = time.Time{}
}

// pendingPoll is the interval at which a pipelined request checks whether there is memory for it.
const pendingPoll = 5 * time.Millisecond

// reserveRequest reserves memory for a request. A pipelined one waits until the requests before it leave room or have
// been answered, so that a client that does not read its answers holds up only itself.
func (c *connection) reserveRequest(charge int64, class budget.Class) bool {
	for !c.isAlone() {
		if c.ctx.Err() != nil {
			return false
		}
		if c.hasRoom(charge) && c.server.options.Memory.Reserve(charge, max(class, budget.Pipelined)) {
			c.hold(charge)
			return true
		}
		time.Sleep(pendingPoll)
	}
	return c.reserve(charge, class)
}

// isAlone reports whether no earlier request of the connection is pending.
func (c *connection) isAlone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// hasRoom reports whether the connection may hold that many more bytes.
func (c *connection) hasRoom(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.server.options.ConnectionBytes
	return limit == 0 || c.held+bytes <= limit
}

// respondError responds to a request that could not be parsed. It always returns false, so that the
// connection is closed.
func (c *connection) respondError(err error) bool {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
		c.server.reached(LimitHeadBytes)
	case errors.Is(err, errTooManyFields):
		status = http.StatusRequestHeaderFieldsTooLarge
		c.server.reached(LimitHeadFields)
	case errors.Is(err, errHeadTooSlow):
		status = http.StatusRequestTimeout
		c.server.reached(LimitHeadTime)
	case errors.Is(err, budget.ErrFull):
		status = http.StatusServiceUnavailable
		c.server.reached(LimitMemory)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.handleReadError(err)
		return false
	}
	x := c.beginExchange(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Method: http.MethodGet, Close: true, Body: http.NoBody}, nil, 0)
	id := c.source.headerValue(c.server.options.IDHeader)
	c.source.drop()
	if x == nil {
		return false
	}
	x.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range c.server.options.RefusalHeader {
			w.Header()[name] = values
		}
		if id != "" {
			w.Header().Set(c.server.options.IDHeader, id)
		}
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
		}
		w.WriteHeader(status)
	}))
	return false
}

// beginExchange adds a request to the pending ones and queues its response behind the previous
// one. It returns nil when no further request is served on the connection.
func (c *connection) beginExchange(request *http.Request, b *body, charge int64) *exchange {
	keepAliveDisabled := c.server.isKeepAliveDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readingSince = false, time.Time{}
	c.bodyWait, c.bodyWaited, c.bodyBytes, c.drainBy = time.Time{}, 0, 0, time.Time{}
	if c.closing {
		return nil
	}
	x := &exchange{
		connection: c, previousDone: c.lastDone, done: make(chan struct{}), handled: make(chan struct{}),
		held: charge, header: make(http.Header), closeAfter: request.Close || keepAliveDisabled || !request.ProtoAtLeast(1, 1),
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
	c.release(x.takeHeld())
	c.mu.Lock()
	c.pending--
	c.served = true
	c.writing = time.Time{}
	if c.pending == 0 {
		c.idleSince = time.Now()
	}
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

// closeAfter makes the response of an exchange the last one of the connection.
func (c *connection) closeAfter(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	x.closeAfter = true
}

// closeIfIdle closes the connection if it has no requests, and reports whether it did.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading {
		return false
	}
	c.closedIdle = c.closedIdle || !c.closing
	c.closing = true
	_ = c.SetReadDeadline(time.Now())
	return true
}

// awaitsFirst reports whether the connection was opened so recently that its first request may be on its way.
func (c *connection) awaitsFirst(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.served && c.pending == 0 && !c.reading && !c.closing && now.Sub(c.idleSince) < crossingTime
}

// tellClosing sends the response of Options.ClosingHeader if the connection was closed without a request on it. No request
// that arrives now is handled.
func (c *connection) tellClosing() {
	header := c.server.options.ClosingHeader
	c.mu.Lock()
	tell := c.closedIdle && header != nil
	c.mu.Unlock()
	if !tell {
		return
	}
	response := http.Response{
		StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: header, Body: http.NoBody, Close: true,
	}
	_ = c.SetWriteDeadline(time.Now().Add(crossingTime))
	// The write fails only if the client has disconnected.
	_ = response.Write(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toldAt = time.Now()
}

// mayBeCrossed reports whether a request that was sent before its client knew that the connection closes may still
// arrive.
func (c *connection) mayBeCrossed(now time.Time) bool {
	if c.server.options.ClosingHeader == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle && (c.toldAt.IsZero() || now.Sub(c.toldAt) < crossingTime)
}

// stopReading stops the reading of further requests.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// abort closes the connection at once, so that a truncated response cannot pass for a complete one.
func (c *connection) abort() {
	c.mu.Lock()
	c.closing, c.aborted = true, true
	c.mu.Unlock()
	c.cancel()
	_ = c.Close()
}

// resetOnClose makes the close of the connection a reset, so that it does not end a response without a length.
func (c *connection) resetOnClose() {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
}

// linger closes the write side and discards what the client still sends for up to lingerTimeout. A
// connection closed with unread data is reset, which can lose the last response.
func (c *connection) linger() {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	_ = c.Close()
}
