package command

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

const explainLog = "../explain/testdata/day.log"

func runExplain(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New(Dependencies{Out: &out, Err: &out})
	c.SetArgs(append([]string{"explain"}, args...))
	err := c.Execute()
	return out.String(), err
}

func TestExplain(t *testing.T) {
	text, err := runExplain(t, "ee2f1dc0210ca1f4", explainLog)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"not-run peer-unreachable", "14:20:40.156  vm-4  request ended", "related events", "vm-1  stop begins"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	text, err = runExplain(t, "--json", "5b0a7c11d2e94f60", explainLog)
	if err != nil {
		t.Fatal(err)
	}
	var explanation struct {
		Reason string
		Steps  []map[string]any
		Events []map[string]any
	}
	if err := json.Unmarshal([]byte(text), &explanation); err != nil || explanation.Reason != "target-lost" || len(explanation.Steps) != 2 || len(explanation.Events) == 0 {
		t.Errorf("got %v, %s", err, text)
	}
}

func TestExplainNothing(t *testing.T) {
	for _, args := range [][]string{{}, {"0000", explainLog}, {"0000", "absent.log"}} {
		if text, err := runExplain(t, args...); err == nil {
			t.Errorf("%v: %s", args, text)
		}
	}
}
