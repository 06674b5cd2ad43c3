package h1

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// sender writes one request and records whether any byte of it may have been sent.
type sender struct {
	conn     *conn
	wroteAny atomic.Bool
	finished atomic.Bool
}

// Write implements io.Writer. If the connection accepted no byte, the request still counts as
// not sent.
func (s *sender) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	if n > 0 || err == nil {
		s.wroteAny.Store(true)
	}
	return n, err
}

// send writes a request with a body. It runs concurrently with reading the answer, as a server
// may answer before it has read a long body.
func (s *sender) send(r *http.Request) {
	if err := r.Write(s); err != nil {
		// A truncated body must not look complete to the server.
		s.conn.closeConn()
		return
	}
	s.finished.Store(true)
}

func (s *sender) markIfNotSent(err error) error {
	if !s.wroteAny.Load() {
		return errors.Mark(err, ErrNotSent)
	}
	return err
}

// keepAliveMargin is subtracted from the server's Keep-Alive timeout, so that no request is sent
// just as the server closes the connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTimeout returns how long a connection may stay idle after an answer with the given
// Keep-Alive header, or fallback if the header has no timeout.
func keepAliveTimeout(header string, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return fallback
}
