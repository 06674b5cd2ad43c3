package pipeline

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/budget"
)

// ErrBodyTooSlow reports a request body that arrived more slowly than Options.MinBytesPerSecond.
var ErrBodyTooSlow = errors.New("request body too slow")

// errDisconnected reports a client that disconnected while its body was unread.
var errDisconnected = errors.New("client disconnected")

// errBodyAbandoned reports a body whose rest is not read any more.
var errBodyAbandoned = errors.New("request body abandoned")

const (
	// firstBodyBytes is reserved for the first bytes of a body, and what is reserved grows by bodyGrowth.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// disconnectPause is the pause of a body's reader after which the end of the body is withheld for up to
	// disconnectWait, until a client that has disconnected meanwhile is noticed: that is read behind the body.
	disconnectPause = 100 * time.Millisecond
	disconnectWait  = 2 * time.Millisecond
)

// body is a request body that closes readToEnd once it has been read to the end or has failed. It reserves memory for
// what its reader buffers. It may be read by a handler that has returned while the server discards its rest.
type body struct {
	io.ReadCloser
	exchange *exchange
	once     sync.Once
	// readToEnd is closed when the body has been read to its end or has failed.
	readToEnd chan struct{}

	// reading is held during a read, and mu is not.
	reading sync.Mutex
	mu      sync.Mutex
	// awaitsContinue is set while the client waits for "100 Continue" before it sends the body.
	awaitsContinue bool
	received       int64
	reserved       int64
	// lastRead is when the previous read ended. paused is set once the reader has paused for disconnectPause.
	lastRead time.Time
	paused   bool
	err      error
}

// Read implements io.Reader. It fails with budget.ErrFull if there is no memory, and with ErrBodyTooSlow.
func (b *body) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err := b.failed(); err != nil {
		return 0, err
	}
	if b.takeAwaited() {
		<-b.exchange.previousDone
		b.exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err := b.reserve(); err != nil {
		b.fail(err)
		return 0, err
	}
	if !b.lastRead.IsZero() && time.Since(b.lastRead) >= disconnectPause {
		b.paused = true
	}
	n, err := b.ReadCloser.Read(p)
	b.lastRead = time.Now()
	b.received += int64(n)
	if err != nil {
		b.fail(err)
	}
	if b.paused && b.isAtEnd() && b.exchange.connection.hasDisconnected() {
		return 0, errors.WithStack(errDisconnected)
	}
	return n, err
}

// reserve reserves memory for what is read next.
func (b *body) reserve() error {
	o := b.exchange.connection.server.options
	if b.received < b.reserved || b.reserved >= o.HeldBodyBytes {
		return nil
	}
	want := min(o.HeldBodyBytes, max(firstBodyBytes, b.reserved*bodyGrowth))
	bytes := (want - b.reserved) * max(1, o.HeldPerByte)
	class := budget.Small
	if want > budget.SmallBytes {
		class = budget.Large
	}
	if !b.exchange.connection.reserve(bytes, class) {
		b.exchange.connection.server.reached(LimitMemory)
		return errors.WithStack(budget.ErrFull)
	}
	if !b.exchange.charge(bytes) {
		b.exchange.connection.release(bytes)
		return errors.WithStack(errBodyAbandoned)
	}
	b.reserved = want
	return nil
}

func (b *body) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

func (b *body) fail(err error) {
	b.mu.Lock()
	b.err = err
	b.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		// The next request cannot be found.
		b.exchange.connection.closeAfter(b.exchange)
	}
	b.once.Do(func() { close(b.readToEnd) })
}

// isAtEnd reports whether the body has been read to its end.
func (b *body) isAtEnd() bool { return errors.Is(b.failed(), io.EOF) }

// hasFailed reports whether the rest of the body cannot be read.
func (b *body) hasFailed() bool { return b.failed() != nil && !b.isAtEnd() }

// isAwaited reports whether the client still waits to be asked for the body.
func (b *body) isAwaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awaitsContinue
}

func (b *body) takeAwaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	awaits := b.awaitsContinue
	b.awaitsContinue = false
	return awaits
}

// abandon ends the reading of the body. It waits for a read that has begun.
func (b *body) abandon() {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.fail(errBodyAbandoned)
}

// rest returns a reader of what is left of the body, which is discarded and so takes no memory.
func (b *body) rest() io.Reader { return discarded{b} }

type discarded struct{ body *body }

// Read implements io.Reader.
func (d discarded) Read(p []byte) (int, error) {
	d.body.reading.Lock()
	defer d.body.reading.Unlock()
	n, err := d.body.ReadCloser.Read(p)
	if err != nil {
		d.body.fail(err)
	}
	return n, err
}
