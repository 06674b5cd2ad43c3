package h1

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// sender writes one request and remembers whether any byte of it may have left.
type sender struct {
	conn     *conn
	touched  atomic.Bool
	finished atomic.Bool
}

// Write implements io.Writer. A write that gave no byte to the connection leaves the request
// unsent.
func (s *sender) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	if n > 0 || err == nil {
		s.touched.Store(true)
	}
	return n, err
}

// send writes a request with a body while its answer may already be read: a server may answer
// before it has read a long body.
func (s *sender) send(r *http.Request) {
	if err := r.Write(s); err != nil {
		// A body that ends early must not look whole to the server.
		s.conn.shut()
		return
	}
	s.finished.Store(true)
}

func (s *sender) classify(err error) error {
	if !s.touched.Load() {
		return errors.Mark(err, ErrNotSent)
	}
	return err
}

// keepMargin is taken off the time that a server says it keeps a connection, so that no
// request crosses its close.
const keepMargin = 500 * time.Millisecond

// keepTime returns how long an idle connection is used after an answer whose Keep-Alive header
// is given.
func keepTime(header string, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return fallback
}
