package pipeline

import (
	"bytes"
	"io"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/budget"
)

// minAheadBytes is the size of the buffer in which a head is read at first. Idle connections keep it.
const minAheadBytes = 1 << 10

// errHeadIncomplete reports a head whose parser expects more than its lines.
var errHeadIncomplete = errors.New("request head is incomplete")

// source is what a connection's reader reads from: the bytes that were read while the end of a head was searched, then
// the network. A head is parsed only when it has arrived as a whole, because its parsed form can take many times its
// size.
type source struct {
	connection *connection
	// ahead are the bytes read and not yet passed on; aheadHeld is the memory reserved for them.
	ahead     []byte
	aheadHeld int64
	// headOnly is set while a head is parsed: nothing more is read then.
	headOnly bool
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.ahead) > 0 {
		n := copy(p, s.ahead)
		if s.ahead = s.ahead[n:]; len(s.ahead) == 0 {
			s.drop()
		}
		return n, nil
	}
	if s.headOnly {
		return 0, errHeadIncomplete
	}
	return s.connection.readBody(p)
}

// drop gives up the bytes read ahead.
func (s *source) drop() {
	s.ahead = nil
	s.connection.release(s.aheadHeld)
	s.aheadHeld = 0
}

// collect takes back what the connection's reader has buffered beyond the last request.
func (s *source) collect() {
	reader := s.connection.reader
	if reader.Buffered() == 0 {
		return
	}
	buffered, _ := reader.Peek(reader.Buffered())
	s.ahead = append(bytes.Clone(buffered), s.ahead...)
	reader.Reset(s)
}

// readAhead reads what has arrived.
func (s *source) readAhead() error {
	if cap(s.ahead) == len(s.ahead) {
		grown := make([]byte, len(s.ahead), max(minAheadBytes, 2*len(s.ahead)))
		copy(grown, s.ahead)
		s.ahead = grown
	}
	n, err := s.connection.Read(s.ahead[len(s.ahead):cap(s.ahead)])
	s.ahead = s.ahead[:len(s.ahead)+n]
	if n > 0 {
		return nil
	}
	return err
}

// readHead reads until the end of a head has arrived and returns its size and the number of its fields.
func (s *source) readHead(o Options) (size, fields int, err error) {
	line, scanned, lines := 0, 0, 0
	limit := o.HeaderBytes + readBufferBytes
	for {
		for {
			i := bytes.IndexByte(s.ahead[scanned:], '\n')
			if i < 0 {
				scanned = len(s.ahead)
				break
			}
			scanned += i + 1
			if isEmptyLine(s.ahead[line:scanned]) && scanned <= limit {
				return scanned, max(0, lines-1), nil
			}
			line = scanned
			if lines++; o.HeaderFields > 0 && lines-1 > o.HeaderFields {
				return 0, 0, errors.WithStack(errTooManyFields)
			}
		}
		if len(s.ahead) > limit {
			return 0, 0, errors.WithStack(errHeadTooLarge)
		}
		// The buffer doubles when it is full, and is copied.
		if want := 3 * int64(len(s.ahead)); cap(s.ahead) == len(s.ahead) && want > readBufferBytes+s.aheadHeld {
			class := budget.Small
			if want > budget.SmallBytes {
				class = budget.Large
			}
			if !s.connection.reserve(want-s.aheadHeld, class) {
				return 0, 0, errors.WithStack(budget.ErrFull)
			}
			s.aheadHeld = want
		}
		if err := s.readAhead(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, 0, err
		}
	}
}

func isEmptyLine(line []byte) bool { return len(line) == 1 || (len(line) == 2 && line[0] == '\r') }

// headerValue returns the value of a field of the head that has been read, without parsing the others.
func (s *source) headerValue(name string) string {
	if name == "" {
		return ""
	}
	for line := range bytes.SplitSeq(s.ahead, []byte("\n")) {
		field, value, found := bytes.Cut(line, []byte(":"))
		if found && len(field) == len(name) && bytes.EqualFold(field, []byte(name)) {
			return string(textproto.TrimBytes(value))
		}
	}
	return ""
}

// readBody reads from the network within the pace that bodies must keep.
func (c *connection) readBody(p []byte) (int, error) {
	c.mu.Lock()
	now := time.Now()
	c.bodyWait = now
	deadline := c.bodyDeadline(now)
	draining := !c.drainBy.IsZero()
	_ = c.SetReadDeadline(deadline)
	c.mu.Unlock()
	n, err := c.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyWaited += time.Since(now)
	c.bodyBytes += int64(n)
	c.bodyWait = time.Time{}
	if err != nil && !draining && !deadline.IsZero() && !time.Now().Before(deadline) {
		c.server.reached(LimitBodyPace)
		return n, errors.Mark(err, ErrBodyTooSlow)
	}
	return n, err
}

// bodyDeadline returns the time by which further bytes of a body must arrive; zero if there is no limit. The caller
// holds the lock.
func (c *connection) bodyDeadline(now time.Time) time.Time {
	var deadline time.Time
	if pace := c.server.options.MinBytesPerSecond; pace > 0 {
		allowed := paceGrace + transferTime(c.bodyBytes, pace) - c.bodyWaited
		deadline = now.Add(min(paceGrace, allowed))
	}
	if !c.drainBy.IsZero() && (deadline.IsZero() || c.drainBy.Before(deadline)) {
		deadline = c.drainBy
	}
	return deadline
}
