// Package execlog implements the execution log of a target stand-in, and a checker that
// finds violations of the system's guarantees in such logs.
//
// Lock order: a Writer has one mutex and calls only its io.Writer while holding it.
package execlog

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a line that is not an entry.
var ErrMalformed = errors.New("malformed execution log line")

// Phase tells whether an entry records the start or the end of an execution.
type Phase string

const (
	// Start is written before the work starts.
	Start Phase = "start"
	// End is written when the work has finished or was aborted.
	End Phase = "end"
)

// Outcome is how an execution ended.
type Outcome string

const (
	// Done means that the complete response was written to the connection.
	Done Outcome = "done"
	// Cut means that the response could not be written completely.
	Cut Outcome = "cut"
	// Cancelled means that the request was cancelled while the work ran.
	Cancelled Outcome = "cancelled"
	// Lapsed means that the grant expired or was revoked while the work ran, and that the
	// target, which checks fences, did not commit the work.
	Lapsed Outcome = "lapsed"
	// Crashed means that the request was for a poison key; it is written before the process
	// exits.
	Crashed Outcome = "crashed"
)

// Entry is one line of the log. The start line and the end line of an execution have the
// same Target, Incarnation and Number.
type Entry struct {
	Phase Phase `json:"phase"`
	// Wall is the wall-clock time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall_ns"`
	// Boot is the time on the machine's boot-time clock in nanoseconds.
	Boot        int64  `json:"boot_ns"`
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	// Number counts the executions of the process from one.
	Number    uint64 `json:"number"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	Slice     string `json:"slice"`
	Fence     string `json:"fence"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt,omitempty"`
	Method    string `json:"method"`
	// Subpath is the path after the key.
	Subpath string `json:"rest,omitempty"`
	// Outcome is set in end lines only.
	Outcome Outcome `json:"outcome,omitempty"`
}

// bufferedEntries is the least number of latest entries that a Writer keeps in memory.
const bufferedEntries = 100_000

// Writer appends entries to a log and keeps the latest ones in memory, to be read by line
// number. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
	// entries are the latest lines; droppedLines is the number of lines before them.
	entries      []Entry
	droppedLines int
}

// NewWriter returns a Writer that appends to out. If out is nil, entries are kept in memory
// only.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out}
}

// Write sets the entry's timestamps to the current time and appends it as one line.
func (w *Writer) Write(e Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Wall = time.Now().UnixNano()
	e.Boot = BootTime().Nanoseconds()
	w.bufferLocked(e)
	if w.out == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode execution log entry")
	}
	_, err = w.out.Write(append(line, '\n'))
	return errors.Wrap(err, "write execution log")
}

// bufferLocked appends the entry to those in memory and, at twice bufferedEntries, drops
// the older half.
func (w *Writer) bufferLocked(e Entry) {
	w.entries = append(w.entries, e)
	if len(w.entries) < 2*bufferedEntries {
		return
	}
	w.droppedLines += bufferedEntries
	w.entries = append([]Entry(nil), w.entries[bufferedEntries:]...)
}

// After returns the entries after the first n lines that are still in memory.
func (w *Writer) After(n int) []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := max(0, n-w.droppedLines)
	if first >= len(w.entries) {
		return nil
	}
	return append([]Entry(nil), w.entries[first:]...)
}

// Read reads a log. An incomplete last line, as a killed process leaves it, is ignored. Any
// other malformed line is an ErrMalformed.
func Read(in io.Reader) ([]Entry, error) {
	var entries []Entry
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read execution log")
		}
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Wrapf(ErrMalformed, "line %d: %v", len(entries)+1, err)
		}
		entries = append(entries, e)
	}
}
