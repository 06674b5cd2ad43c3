package execlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestCheck runs the cases of testdata/check. Each input line is one execution, "target
// incarnation number method key slice fence id start end", with times in milliseconds. "-"
// stands for no slice or id, "?" for a missing end line and "lapsed:TIME" for an end with
// the outcome lapsed.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		var entries []Entry
		for _, line := range strings.Split(d.Input, "\n") {
			entries = append(entries, parseExecution(t, line)...)
		}
		var out strings.Builder
		for _, v := range Check(entries) {
			fmt.Fprintln(&out, v)
		}
		if out.Len() == 0 {
			return "sound\n"
		}
		return out.String()
	})
}

func parseExecution(t *testing.T, line string) []Entry {
	t.Helper()
	var e Entry
	var start int64
	var end string
	_, err := fmt.Sscan(line, &e.Target, &e.Incarnation, &e.Number, &e.Method, &e.Key, &e.Slice, &e.Fence, &e.RequestID, &start, &end)
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	e.Service, e.Phase, e.Boot = "s", Start, start*int64(time.Millisecond)
	e.Slice, e.RequestID = strings.Trim(e.Slice, "-"), strings.Trim(e.RequestID, "-")
	if end == "?" {
		return []Entry{e}
	}
	last := e
	last.Outcome = Done
	var endMillis int64
	end, isLapsed := strings.CutPrefix(end, "lapsed:")
	if isLapsed {
		last.Outcome = Lapsed
	}
	if _, err := fmt.Sscan(end, &endMillis); err != nil {
		t.Fatal(err)
	}
	last.Phase, last.Boot = End, endMillis*int64(time.Millisecond)
	return []Entry{e, last}
}

// TestReadLeavesOutACutLine checks that the incomplete last line of a killed process is ignored, and that any
// other malformed line is an error.
func TestReadLeavesOutACutLine(t *testing.T) {
	var log bytes.Buffer
	w := NewWriter(&log)
	for range 2 {
		if err := w.Write(Entry{Phase: Start, Key: "k"}); err != nil {
			t.Fatal(err)
		}
	}
	log.Truncate(log.Len() - 5)
	if entries, err := Read(&log); err != nil || len(entries) != 1 {
		t.Errorf("got %v, %v", entries, err)
	}
	if _, err := Read(strings.NewReader("no entry\n")); !errors.Is(err, ErrMalformed) {
		t.Errorf("malformed line: got %v", err)
	}
}

// TestWriterKeepsTheLatest writes more entries than are kept in memory. The oldest are dropped, and line numbers
// must still count them.
func TestWriterKeepsTheLatest(t *testing.T) {
	w := NewWriter(nil)
	for i := range 2*bufferedEntries + 1 {
		if err := w.Write(Entry{Number: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if all := w.After(0); len(all) > 2*bufferedEntries || all[len(all)-1].Number != 2*bufferedEntries {
		t.Errorf("kept %d entries", len(all))
	}
	if last := w.After(2 * bufferedEntries); len(last) != 1 || last[0].Number != 2*bufferedEntries {
		t.Errorf("entries after all but the last line: %v", last)
	}
}
