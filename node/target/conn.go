package target

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errLate is returned by the first write of a request whose start deadline has passed.
var errLate = errors.New("request not sent: its start deadline has passed")

// errSealed is returned by writes on a connection whose request was declared never sent.
var errSealed = errors.New("connection closed to writes: the request failed before it was sent")

// meteredConn counts the bytes written to a connection, so that a failed request can be
// proved never to have been sent.
type meteredConn struct {
	net.Conn
	// open counts the open connections of the link; closed guards against subtracting this
	// connection twice.
	open   *atomic.Int64
	closed sync.Once

	mu      sync.Mutex
	written int64
	sealed  bool
	// gate is called just before the first bytes of a request are written; if it returns false,
	// the write fails. It is nil after the first bytes were written.
	gate func() bool
}

// Write counts the bytes and writes them to the connection. The first bytes of a request are
// written only if its gate returns true.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.admit(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and subtracts it from the link's open connections.
func (c *meteredConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func (c *meteredConn) admit(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.gate != nil && !c.gate() {
		c.sealed = true
		return errLate
	}
	c.gate = nil
	c.written += int64(n)
	return nil
}

// begin prepares the connection for a request and returns the number of bytes written so far.
func (c *meteredConn) begin(gate func() bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
	return c.written
}

// sealAt makes all later writes fail if no byte has been written since the counter stood at
// mark. It reports whether it did so.
func (c *meteredConn) sealAt(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// sendProof tracks the connections that the transport uses for one call, to determine whether
// any byte of the call was sent.
type sendProof struct {
	// gate reports whether the call may still be sent.
	gate func() bool
	// stop cancels the call.
	stop func()

	mu sync.Mutex
	// conn is the connection of the last try and start its byte count before that try.
	conn  *meteredConn
	start int64
	// dirty is set once a byte of the call may have been sent on an earlier connection, or on
	// one that does not count bytes.
	dirty bool
}

func (p *sendProof) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: p.gotConn}
}

// gotConn records the connection of a try. The transport resends idempotent requests by itself.
// That is prevented here, as a request that crashed the target must not reach it again without
// the quarantine noticing.
func (p *sendProof) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && !p.conn.sealAt(p.start) {
		p.dirty = true
	}
	conn, metered := info.Conn.(*meteredConn)
	if !metered {
		p.dirty = true
		return
	}
	if p.dirty {
		conn.begin(func() bool { return false })
		p.stop()
		return
	}
	p.conn = conn
	p.start = conn.begin(p.gate)
}

// neverSent reports whether no byte of the call has been, or ever will be, written to a
// connection. It may seal the connection, so it must be called only after the call has failed.
func (p *sendProof) neverSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dirty {
		return false
	}
	return p.conn == nil || p.conn.sealAt(p.start)
}
