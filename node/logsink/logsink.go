// Package logsink writes log lines without ever blocking those who log: lines wait in a bounded
// buffer, and lines that find it full are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// bufferedLines bounds the lines that wait, at about 300 bytes each.
const bufferedLines = 2048

// Sink is an io.Writer for a slog handler, which writes one line at a time.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a sink that writes to out from a goroutine of its own until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			// There is no place to report that standard output failed.
			_, _ = out.Write(line)
		}
	}()
	return s
}

// Write implements io.Writer; it keeps a copy of the line or drops it, and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits and ends the sink; nothing may be logged after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}
