package pipeline

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// writeTick is the interval at which a blocked write checks whether the client reads.
	writeTick = time.Second
	// readGrace is how long a client may read nothing of a response. The kernel reports room in its buffer late: a
	// slow reader can seem to stand still for seconds, which is why the unacknowledged bytes are asked for.
	readGrace = 10 * time.Second
	// writeTimeout is the longest time without progress on a server without a minimum pace.
	writeTimeout = 30 * time.Second
)

// errReadTooSlow reports a client that read a response more slowly than Options.MinBytesPerSecond.
var errReadTooSlow = errors.New("response read too slowly")

// beginWrite notes that the connection waits for its client to read.
func (c *connection) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing.IsZero() {
		now := time.Now()
		c.writing, c.writtenAt, c.written = now, now, 0
	}
}

// endWrite notes that the connection does not wait for its client any more.
func (c *connection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
}

// addWritten counts accepted bytes.
func (c *connection) addWritten(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += n
	if n > 0 {
		c.writtenAt = time.Now()
	}
}

// writePaced writes the buffers and fails if the client reads them too slowly.
func (c *connection) writePaced(buffers *net.Buffers) error {
	began := time.Now()
	progress, before := began, -c.unacked()
	total, delivered := int64(0), int64(0)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(writeTick))
		n, err := buffers.WriteTo(c.Conn)
		c.addWritten(n)
		total += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if now := total - c.unacked() - before; now > delivered {
			delivered, progress = now, time.Now()
		}
		if c.readsTooSlowly(began, progress, delivered) {
			c.server.reached(LimitReadPace)
			return errors.WithStack(errReadTooSlow)
		}
	}
}

// readsTooSlowly reports whether a client that has acknowledged that many bytes since a write began is too
// slow.
func (c *connection) readsTooSlowly(began, progress time.Time, delivered int64) bool {
	pace := c.server.options.MinBytesPerSecond
	if pace == 0 {
		return time.Since(progress) > writeTimeout
	}
	return time.Since(progress) > readGrace || time.Since(began) > readGrace+transferTime(delivered, pace)
}

// unacked returns the number of bytes that the kernel holds for the client; zero if it is not known.
func (c *connection) unacked() int64 {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if rc.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return int64(n)
}
