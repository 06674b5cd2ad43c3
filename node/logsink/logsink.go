// Package logsink provides an asynchronous writer for log lines that never blocks the caller. Lines
// are queued in a bounded buffer; when it is full, further lines are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// bufferedLines is the capacity of the queue in lines of about 300 bytes each.
const bufferedLines = 2048

// Sink is an io.Writer for slog handlers, which pass one line to each call of Write.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	// stop is closed by Close, done once the queued lines are written.
	stop, done chan struct{}
}

// New returns a sink that writes to out from its own goroutine until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// run writes the lines until Close is called, and then those that are queued. An error cannot be reported: out is where
// errors are logged.
func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
			continue
		case <-s.stop:
		}
		for {
			select {
			case line := <-s.lines:
				_, _ = out.Write(line)
			default:
				return
			}
		}
	}
}

// Write implements io.Writer. It queues a copy of the line or drops the line; it never blocks or
// fails. Lines of goroutines that outlast the node, after Close, are dropped.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case <-s.stop:
		s.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since New.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It must be called once.
func (s *Sink) Close() {
	close(s.stop)
	<-s.done
}
