package target

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errLate fails the first write of a request whose time to start has passed.
var errLate = errors.New("request not sent: its time to start has passed")

// errSealed fails writes on a connection whose request was declared never sent.
var errSealed = errors.New("connection sealed: the request was given up before it was sent")

// meteredConn counts the bytes given to a connection, so that a failed request can be
// proved never to have been sent.
type meteredConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	// gate is asked just before the first bytes of a request; nil once they were let through.
	gate func() bool
}

// Write counts the bytes before it passes them on. The first bytes of a request pass only
// while its gate is open.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.admit(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
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

// begin prepares the connection for a request and returns the bytes written so far.
func (c *meteredConn) begin(gate func() bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
	return c.written
}

// sealAt makes later writes fail if nothing was written since mark, and reports whether
// that is so.
func (c *meteredConn) sealAt(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// sendProof follows one call through the connections that the transport picks for it.
type sendProof struct {
	// gate tells whether the call may still be sent.
	gate  func() bool
	mu    sync.Mutex
	conn  *meteredConn
	start int64
	dirty bool
}

func (p *sendProof) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: p.gotConn}
}

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
	p.conn = conn
	p.start = conn.begin(p.gate)
}

// neverSent reports whether no byte of the call was and ever will be given to a connection.
// It must be called only after the call has failed: it may seal the connection.
func (p *sendProof) neverSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dirty {
		return false
	}
	return p.conn == nil || p.conn.sealAt(p.start)
}
