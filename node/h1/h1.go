// Package h1 makes HTTP/1.1 calls over pooled connections and determines exactly whether a
// request may have reached its server.
//
// net/http.Transport retries requests by itself and assigns an answer to whatever request is
// next on the connection. This package sends a request once, and drops an answer to an earlier
// request, as recognized by the caller's Match.
//
// Locks: Pool.mu is a leaf lock. conn.writing is held during a write, under no other lock.
package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer together with the interim answers before it. Heads
	// of proper answers take a few hundred bytes.
	maxHeadBytes = 64 << 10
	// sweepInterval is the interval at which unusable idle connections are closed.
	sweepInterval = time.Second
	// maxDroppedAnswers is the number of answers to other requests that are dropped before the
	// connection is closed.
	maxDroppedAnswers = 2
	// maxDroppedBytes bounds the body of a dropped answer.
	maxDroppedBytes = 1 << 20
)

var (
	// ErrNotSent reports that no byte of the request was written to a connection.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that nothing listens at the address; it is combined with ErrNotSent.
	ErrRefused = errors.New("connection refused")
	// ErrBusy reports that MaxConns connections to the address are open and none is idle; it is
	// combined with ErrNotSent.
	ErrBusy = errors.New("all connections to the address are in use")
	// ErrHeadTooLarge reports an answer whose head exceeds maxHeadBytes.
	ErrHeadTooLarge = errors.New("head of the answer is too large")
	// ErrInvalidStatus reports an answer whose status code is outside the range of HTTP.
	ErrInvalidStatus = errors.New("invalid status code")
	// ErrInvalidHead reports an answer whose head has a field name or a folded line that HTTP does not allow.
	ErrInvalidHead = errors.New("invalid head of an answer")
	// ErrMismatchedAnswer reports a connection that returned answers to other requests.
	ErrMismatchedAnswer = errors.New("connection returned answers to other requests")
)

// Options are the settings of a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its server sends no Keep-Alive
	// timeout.
	IdleTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before a connection is closed
	// (TCP_USER_TIMEOUT).
	UnackedTimeout time.Duration
	// MaxConns limits the open connections to one address.
	MaxConns int
	// MaxTotal limits the open connections to all addresses; zero sets no limit. An idle connection to another address
	// is closed for a new one.
	MaxTotal int
	// OnDial is called after each new connection; it may be nil.
	OnDial func()
	// OnTransfer is called after each call with the bytes that were sent and received for it; it may be nil.
	OnTransfer func(address, purpose string, sent, received int64)
}

// Pool keeps connections to any number of addresses. It is safe for concurrent use.
type Pool struct {
	options Options

	mu    sync.Mutex
	hosts map[string]*hostConns
	// total counts the open connections.
	total int
	// sweepPlanned is set while a call of sweep is scheduled.
	sweepPlanned bool
}

type hostConns struct {
	idle []*conn
	open int
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	// reader buffers what is read through limit.
	reader    *bufio.Reader
	limit     *headLimit
	expires   time.Time
	closeOnce sync.Once
	// purpose is that of the present call, and sent and received the bytes of it.
	purpose        string
	sent, received atomic.Int64
	// writing is held during a write. writeErr is the error of the first write that failed.
	writing  sync.Mutex
	writeErr error
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// wasReset reports whether a connection whose reads have reached EOF was reset or lost before the server closed its
// side. The kernel reports the error of a connection once: if a write gets it, reads end with EOF. A write that fails
// behind the server's FIN fails with EPIPE instead.
func (c *conn) wasReset() bool {
	// A write that is waiting ends now; one that has got the error keeps it.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil && !errors.IsAny(c.writeErr, syscall.EPIPE, os.ErrDeadlineExceeded)
}

// reportTransfer reports the bytes of the call that has ended.
func (c *conn) reportTransfer() {
	sent, received := c.sent.Swap(0), c.received.Swap(0)
	if report := c.pool.options.OnTransfer; report != nil && sent+received > 0 {
		report(c.address, c.purpose, sent, received)
	}
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool { return &Pool{options: o, hosts: make(map[string]*hostConns)} }

// Call is one request to one address.
type Call struct {
	Address string
	Request *http.Request
	// Match reports whether an answer belongs to the request; nil accepts any answer.
	Match func(*http.Response) bool
	// Purpose is passed to Options.OnTransfer.
	Purpose string
}

// Do sends the request once and returns its answer with an unread body; closing the body
// releases or closes the connection. If ctx ends, the connection is closed. An error is marked
// ErrNotSent if no byte of the request was sent; otherwise the request may have been received.
func (p *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call.Address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c.purpose = call.Purpose
	if ctx.Err() != nil {
		p.release(c, true)
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.closeConn)
	sender := &sender{conn: c}
	if !hasBody(call.Request) {
		if err := call.Request.Write(sender); err != nil {
			stop()
			c.closeConn()
			return nil, sender.markIfNotSent(err)
		}
		sender.finished.Store(true)
	} else {
		go sender.send(call.Request)
	}
	response, err := c.readAnswer(call)
	if err != nil {
		stop()
		c.closeConn()
		return nil, sender.markIfNotSent(err)
	}
	response.Body = &answerBody{
		ReadCloser: response.Body, conn: c, stop: stop, sender: sender,
		unframed: !isFramed(response), reusable: c.canReuse(response),
	}
	return response, nil
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// readAnswer reads answers until one belongs to the call.
func (c *conn) readAnswer(call Call) (*http.Response, error) {
	c.limit.begin()
	for dropped := 0; ; {
		if err := c.awaitHead(); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		response, err := http.ReadResponse(c.reader, call.Request)
		if err == nil {
			err = CheckFieldNames(response.Header)
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if !IsFinalStatus(response.StatusCode) {
			return nil, errors.Wrapf(ErrInvalidStatus, "read answer: status %q", response.Status)
		}
		c.limit.end()
		if call.Match == nil || call.Match(response) {
			return response, nil
		}
		dropped++
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDroppedBytes))
		if err != nil || n == maxDroppedBytes || response.Close || dropped > maxDroppedAnswers {
			return nil, errors.Wrapf(ErrMismatchedAnswer, "dropped %d answers", dropped)
		}
		c.limit.begin()
	}
}

// IsFinalStatus reports whether HTTP defines the class of a status code and the class ends an exchange (RFC 9110,
// section 15). http.ReadResponse accepts any number of three characters, also 000 and +06. The rest of an answer with
// such a status cannot be trusted.
func IsFinalStatus(code int) bool { return code >= 200 && code <= 599 }

// canReuse reports whether the connection can be reused after the answer, and sets the time
// until which it may stay idle.
func (c *conn) canReuse(response *http.Response) bool {
	c.expires = time.Now().Add(keepAliveTimeout(response.Header.Get("Keep-Alive"), c.pool.options.IdleTimeout))
	return !response.Close && isFramed(response)
}

// isFramed reports whether the answer itself marks the end of its body. Otherwise the body ends with the connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// answerBody is an answer's body. Close returns the connection to the pool if the body was read to
// its end and the connection can be reused, and closes the connection otherwise.
type answerBody struct {
	io.ReadCloser
	conn      *conn
	stop      func() bool
	sender    *sender
	unframed  bool
	reusable  bool
	atEOF     bool
	closeOnce sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.unframed && b.conn.wasReset() {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "connection reset during an answer without a length")
	}
	b.atEOF = true
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.closeOnce.Do(func() {
		stopped := b.stop()
		b.conn.pool.release(b.conn, !stopped || !b.atEOF || !b.reusable || !b.sender.finished.Load())
	})
	return nil
}

func (c *conn) closeConn() {
	c.closeOnce.Do(func() {
		_ = c.Close()
		c.reportTransfer()
		c.pool.unreserve(c.address)
	})
}

func (p *Pool) release(c *conn, broken bool) {
	if broken || c.reader.Buffered() > 0 {
		c.closeConn()
		return
	}
	c.restoreReader()
	c.reportTransfer()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	p.planSweep()
}

func (p *Pool) acquire(ctx context.Context, address string) (*conn, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if c.isUsable() {
			return c, nil
		}
		c.closeConn()
	}
	if !p.reserve(address) {
		return nil, errors.Wrapf(ErrBusy, "address %s", address)
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		p.unreserve(address)
		return nil, err
	}
	return c, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle = h.idle[:last]
	return c
}

// unreserve counts a connection as closed.
func (p *Pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].open--
	p.total--
}

// takeAnyIdle takes an idle connection to any address out of the pool if MaxTotal connections are open.
func (p *Pool) takeAnyIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxTotal == 0 || p.total < p.options.MaxTotal {
		return nil
	}
	for _, h := range p.hosts {
		if len(h.idle) > 0 {
			c := h.idle[0]
			h.idle = h.idle[1:]
			return c
		}
	}
	return nil
}

// reserve counts a connection as open before it is dialed. It reports false if MaxConns
// connections to the address are open, or MaxTotal in all and none of them is idle.
func (p *Pool) reserve(address string) bool {
	if c := p.takeAnyIdle(); c != nil {
		c.closeConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxTotal > 0 && p.total >= p.options.MaxTotal {
		return false
	}
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	if h.open >= p.options.MaxConns {
		return false
	}
	h.open++
	p.total++
	return true
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.options.DialTimeout, Control: p.setUserTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Mark(err, ErrRefused)
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if p.options.OnDial != nil {
		p.options.OnDial()
	}
	return p.newConn(connection, address), nil
}

func (p *Pool) newConn(connection net.Conn, address string) *conn {
	c := &conn{Conn: connection, pool: p, address: address}
	c.limit = &headLimit{reader: c}
	c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	return c
}

func (p *Pool) setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.UnackedTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// planSweep schedules a sweep unless one is scheduled. The caller holds the lock.
func (p *Pool) planSweep() {
	if !p.sweepPlanned {
		p.sweepPlanned = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the idle connections that cannot be used again, so that none of them holds bytes that
// nobody reads. It repeats while idle connections are left.
func (p *Pool) sweep() {
	var unusable []*conn
	p.mu.Lock()
	p.sweepPlanned = false
	for _, h := range p.hosts {
		usable := h.idle[:0]
		for _, c := range h.idle {
			if c.isUsable() {
				usable = append(usable, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		h.idle = usable
		if len(usable) > 0 {
			p.planSweep()
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		c.closeConn()
	}
}

// isUsable reports whether an idle connection can be used for another request.
func (c *conn) isUsable() bool { return time.Now().Before(c.expires) && c.isIdleOpen() }

// closeIdle closes the idle connections to the address.
func (p *Pool) closeIdle(address string) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		c.closeConn()
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.hosts))
	for address := range p.hosts {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.closeIdle(address)
	}
}

// isIdleOpen reports whether an idle connection is open and has nothing to read. Bytes received
// while it was idle belong to no request, and EOF means that the server has closed it.
func (c *conn) isIdleOpen() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rc.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, e := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
