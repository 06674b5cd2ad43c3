package h1

import (
	"io"

	"github.com/cockroachdb/errors"
)

// headLimit bounds what is read for the head of an answer, which http.ReadResponse does not.
type headLimit struct {
	reader io.Reader
	active bool
	left   int
}

// begin starts to count the bytes of a head.
func (l *headLimit) begin() { l.active, l.left = true, maxHeadBytes }

// end lifts the limit for the body.
func (l *headLimit) end() { l.active = false }

// Read implements io.Reader. It fails with ErrHeadTooLarge.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, errors.WithStack(ErrHeadTooLarge)
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
