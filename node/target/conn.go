package target

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

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
	// open counts the open connections of the link; closed tells that this one is out of it.
	open   *atomic.Int64
	closed sync.Once

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

// Close closes the connection and counts it out.
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
	gate func() bool
	// stop ends the call.
	stop func()

	mu    sync.Mutex
	conn  *meteredConn
	start int64
	dirty bool
}

func (p *sendProof) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: p.gotConn}
}

// gotConn takes in the connection of a try. The transport would send an idempotent request a
// second time by itself; that is stopped here, because whether to retry is not its to decide: a
// request that crashed the target must not crash it again unseen.
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
