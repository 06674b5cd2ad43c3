package target

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errStartDeadline is returned by the first write of a request whose start deadline has passed.
var errStartDeadline = errors.New("request not sent: its start deadline has passed")

// errSealed is returned by writes on a connection whose request was declared never sent.
var errSealed = errors.New("connection closed to writes: the request failed before it was sent")

// meteredConn counts the bytes written to a connection, so that a failed request can be
// proved never to have been sent.
type meteredConn struct {
	net.Conn
	// linkConns counts the open connections of the link; closeOnce guards against
	// subtracting this connection twice.
	linkConns *atomic.Int64
	closeOnce sync.Once

	mu      sync.Mutex
	written int64
	sealed  bool
	// maySend is called just before the first bytes of a request are written; if it returns false,
	// the write fails. It is nil after the first bytes were written.
	maySend func() bool
}

// Write counts the bytes before it writes them to the connection. The first bytes of a request
// are written only if maySend returns true.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.countWrite(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and subtracts it from the link's open connections.
func (c *meteredConn) Close() error {
	c.closeOnce.Do(func() { c.linkConns.Add(-1) })
	return c.Conn.Close()
}

func (c *meteredConn) countWrite(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.maySend != nil && !c.maySend() {
		c.sealed = true
		return errStartDeadline
	}
	c.maySend = nil
	c.written += int64(n)
	return nil
}

// beginRequest prepares the connection for a request and returns the number of bytes written so
// far.
func (c *meteredConn) beginRequest(maySend func() bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maySend = maySend
	return c.written
}

// sealIfUnwritten makes all later writes fail if no byte has been written since the counter stood
// at count. It reports whether it did so.
func (c *meteredConn) sealIfUnwritten(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != count {
		return false
	}
	c.sealed = true
	return true
}

// sendTracker tracks the connections that the transport uses for one call, to determine whether
// any byte of the call was sent.
type sendTracker struct {
	// maySend reports whether the call may still be sent.
	maySend func() bool
	// cancel cancels the call.
	cancel func()

	mu sync.Mutex
	// conn is the connection of the last try and startCount its byte count before that try.
	conn       *meteredConn
	startCount int64
	// maybeSent is set once a byte of the call may have been sent on an earlier connection, or on
	// one that does not count bytes.
	maybeSent bool
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn records the connection of a try. The transport would resend idempotent requests by
// itself. That is prevented here, because retries are decided by the caller of Link.Call: a
// request that crashed the target must not reach it again without the quarantine noticing.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.sealIfUnwritten(t.startCount) {
		t.maybeSent = true
	}
	conn, metered := info.Conn.(*meteredConn)
	if !metered {
		t.maybeSent = true
		return
	}
	if t.maybeSent {
		conn.beginRequest(func() bool { return false })
		t.cancel()
		return
	}
	t.conn = conn
	t.startCount = conn.beginRequest(t.maySend)
}

// neverSent reports whether no byte of the call has been, or ever will be, written to a
// connection. It may seal the connection, so it must be called only after the call has failed.
func (t *sendTracker) neverSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maybeSent {
		return false
	}
	return t.conn == nil || t.conn.sealIfUnwritten(t.startCount)
}
