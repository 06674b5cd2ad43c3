package outcome

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// idAt returns an id with a timestamp ms milliseconds after epoch.
func idAt(ms int64, n byte) ulid.ULID {
	var id ulid.ULID
	_ = id.SetTime(uint64(epoch.UnixMilli() + ms))
	id[15] = n
	return id
}

func smallLimits() Limits {
	return Limits{
		MaxAge: 10 * time.Second, MaxEntries: 4, TotalAnswerBytes: 40, MaxAnswerBytes: 20,
		MaxAhead: 500 * time.Millisecond, MaxEncodedBytes: 4 * idBytes,
	}
}

// TestWindow runs the scripts in testdata against a window. Times are in milliseconds after
// epoch; ids are written TIMESTAMP/NUMBER.
func TestWindow(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *Window
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			if d.Cmd == "new" {
				var firstLeaseAt int64
				d.ScanArgs(t, "first", &firstLeaseAt)
				w = NewWindow(smallLimits(), epoch.Add(time.Duration(firstLeaseAt)*time.Millisecond))
				return ""
			}
			for line := range strings.Lines(d.Input) {
				fmt.Fprintln(&out, runCommand(t, &w, d.Cmd, strings.Fields(line)))
			}
			return out.String()
		})
	})
}

func runCommand(t *testing.T, w **Window, cmd string, fields []string) string {
	t.Helper()
	switch cmd {
	case "begin":
		now, id := parseTimeID(t, fields)
		return describe((*w).Begin(id, epoch.Add(now)))
	case "begin-first":
		now, id := parseTimeID(t, fields)
		return describe((*w).BeginFirst(id, epoch.Add(now)))
	case "finish":
		_, id := parseTimeID(t, fields)
		var answer *Answer
		if len(fields) > 3 {
			answer = &Answer{Status: 200, Body: []byte(fields[3])}
		}
		(*w).Finish(id, parseEnd(fields[2]), answer)
		return fmt.Sprintf("len=%d", (*w).Len())
	case "amend":
		_, id := parseTimeID(t, fields)
		(*w).Amend(id, parseEnd(fields[2]))
		return fmt.Sprintf("len=%d", (*w).Len())
	case "handover":
		data, err := (*w).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if *w, err = DecodeWindow(smallLimits(), data); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("len=%d floor=%d", (*w).Len(), (*w).Floor().Sub(epoch).Milliseconds())
	default:
		t.Fatalf("unknown command %q", cmd)
		return ""
	}
}

func parseTimeID(t *testing.T, fields []string) (time.Duration, ulid.ULID) {
	t.Helper()
	var now, timestamp int64
	var n byte
	if _, err := fmt.Sscanf(fields[0]+" "+fields[1], "%d %d/%d", &now, &timestamp, &n); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now) * time.Millisecond, idAt(timestamp, n)
}

func parseEnd(word string) End {
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		if o.String() == word {
			return End{Outcome: o}
		}
	}
	panic("unknown outcome " + word)
}

func describe(d Decision) string {
	switch d.Verdict {
	case Run:
		return "run"
	case InFlight:
		return "in-flight"
	case RefuseUnknown:
		return "refuse-unknown"
	case RefuseAhead:
		return "refuse-ahead"
	case Hold:
		return "hold " + d.Wait.String()
	}
	if d.Answer == nil {
		return "replay " + d.End.Outcome.String() + " without answer"
	}
	return "replay " + d.End.Outcome.String() + " " + string(d.Answer.Body)
}

func TestMalformedWindowIsRefused(t *testing.T) {
	w := NewWindow(smallLimits(), epoch)
	w.Begin(idAt(1, 1), epoch.Add(time.Second))
	data, err := w.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{{}, []byte("garbage"), data[:len(data)-1]} {
		if _, err := DecodeWindow(smallLimits(), bad); !errors.Is(err, ErrMalformedWindow) {
			t.Errorf("%d bytes: got error %v, want ErrMalformedWindow", len(bad), err)
		}
	}
}

func TestFullWindowFitsItsBounds(t *testing.T) {
	limits := DefaultLimits()
	w := NewWindow(limits, epoch)
	now := epoch.Add(time.Minute)
	body := make([]byte, 1000)
	for i := range 3 * limits.MaxEntries {
		id := idAt(int64(i), byte(i))
		if d := w.Begin(id, now); d.Verdict != Run {
			t.Fatalf("id %d: got verdict %q, want run", i, describe(d))
		}
		w.Finish(id, End{Outcome: Answered}, &Answer{Status: 200, Body: body})
	}
	data, err := w.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if w.Len() > limits.MaxEntries || w.answerBytes > limits.TotalAnswerBytes || len(data) > limits.MaxEncodedBytes {
		t.Errorf("window exceeds its limits: %d entries, %d bytes of answers, %d bytes encoded", w.Len(), w.answerBytes, len(data))
	}
}
