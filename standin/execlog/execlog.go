// Package execlog is the log in which a target stand-in writes what it executed, and the
// checks that read such logs.
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

// Phase says which moment of an execution an entry records.
type Phase string

const (
	// Start is written before the work begins.
	Start Phase = "start"
	// End is written when the work has ended or was given up.
	End Phase = "end"
)

// Outcome is how an execution ended.
type Outcome string

const (
	// Done means that the whole answer was handed to the connection.
	Done Outcome = "done"
	// Cut means that the answer could not be written whole.
	Cut Outcome = "cut"
	// Cancelled means that the caller gave up while the work ran.
	Cancelled Outcome = "cancelled"
	// Lapsed means that the grant lapsed meanwhile, so that a target that checks fences did
	// not let the work take effect.
	Lapsed Outcome = "lapsed"
	// Crashed is written before the process ends by a poisonous request.
	Crashed Outcome = "crashed"
)

// Entry is one line of the log. An execution has a start line and an end line with the
// same Target, Incarnation and Number.
type Entry struct {
	Phase Phase `json:"phase"`
	// Wall is the wall time in nanoseconds since 1970.
	Wall int64 `json:"wall_ns"`
	// Boot is the boot-time clock of the machine in nanoseconds.
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
	Rest      string `json:"rest,omitempty"`
	// Outcome is set in end lines only.
	Outcome Outcome `json:"outcome,omitempty"`
}

// maxKept is the number of latest entries that a Writer keeps in memory.
const maxKept = 100_000

// Writer appends entries to a log and keeps the latest for reading by number of line. It is
// safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
	// entries are the latest lines, after the first dropped ones.
	entries []Entry
	dropped int
}

// NewWriter returns a writer to out; out may be nil.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out}
}

// Write stamps the entry with the present times and appends it as one line.
func (w *Writer) Write(e Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Wall = time.Now().UnixNano()
	e.Boot = BootTime().Nanoseconds()
	w.keepLocked(e)
	if w.out == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	_, err = w.out.Write(append(line, '\n'))
	return errors.Wrap(err, "write execution log")
}

// keepLocked keeps the entry and, when there are twice maxKept, drops the older half.
func (w *Writer) keepLocked(e Entry) {
	w.entries = append(w.entries, e)
	if len(w.entries) < 2*maxKept {
		return
	}
	w.dropped += maxKept
	w.entries = append([]Entry(nil), w.entries[maxKept:]...)
}

// After returns the entries after the first n, as far as they are kept.
func (w *Writer) After(n int) []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := max(0, n-w.dropped)
	if first >= len(w.entries) {
		return nil
	}
	return append([]Entry(nil), w.entries[first:]...)
}

// Read reads a log. A last line that a kill cut short is left out.
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
