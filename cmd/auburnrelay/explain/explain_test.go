package explain

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func readTestLog(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// TestStories explains three failed requests from a recorded log. It checks the outcome and the
// reason, that the event that caused the failure is shown and that an unrelated one is not.
func TestStories(t *testing.T) {
	lines := readTestLog(t)
	for _, want := range []struct {
		id, outcome, reason string
		steps               int
		event, absent       string
	}{
		{"ee2f1dc0210ca1f4", "not-run", "peer-unreachable", 2, "stop begins", "configuration in force"},
		{"5b0a7c11d2e94f60", "unknown", "target-lost", 2, "dependency lost", "stop begins"},
		{"0c44d0cc2f8e7b19", "not-run", "shed", 2, "table written", "dependency lost"},
	} {
		s, err := Request(want.id, lines)
		if err != nil {
			t.Fatal(err)
		}
		if s.Outcome != want.outcome || s.Reason != want.reason || len(s.Steps) != want.steps || s.Cause != causes[want.reason] {
			t.Errorf("%s: %s %s in %d steps: %s", want.id, s.Outcome, s.Reason, len(s.Steps), s.Cause)
		}
		messages := ""
		for _, e := range s.Events {
			messages += e.Message + ", "
		}
		if !strings.Contains(messages, want.event) || strings.Contains(messages, want.absent) {
			t.Errorf("%s: events %s", want.id, messages)
		}
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := Request("0000", readTestLog(t)); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestEventsAreBounded(t *testing.T) {
	line := `{"time":"2026-01-20T14:20:40Z","msg":"lease not renewed","node":"vm-1"}` + "\n"
	lines, err := Read(strings.NewReader(`{"time":"2026-01-20T14:20:40Z","msg":"request ended","node":"vm-1","id":"a"}` + "\n" + strings.Repeat(line, 100)))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Request("a", lines); err != nil || len(s.Events) != maxEvents || s.LeftOut != 100-maxEvents {
		t.Errorf("got %d events, %d left out, %v", len(s.Events), s.LeftOut, err)
	}
}
