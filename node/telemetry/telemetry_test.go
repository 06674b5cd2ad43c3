package telemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// TestLinesAreBounded logs far more lines than the rates allow. It checks that routine lines do not
// use up the limit of unusual ones, and that lines_left_out accounts for every dropped line.
func TestLinesAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	var out bytes.Buffer
	log := NewRequestLog(slog.New(slog.NewJSONHandler(&out, nil)), NewMetrics(registry))
	const each = 2000
	for range each {
		log.Routine("usual", "id", "a")
	}
	for range each {
		log.Unusual("refused", "id", "b")
	}
	time.Sleep(2 * time.Second / routineRate)
	log.Routine("last")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	usual, refused, leftOut := 0, 0, int64(0)
	for _, line := range lines {
		var l struct {
			Msg  string
			Left int64 `json:"lines_left_out"`
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		switch l.Msg {
		case "usual":
			usual++
		case "refused":
			refused++
		}
		leftOut += l.Left
	}
	if usual < routineRate || usual > 2*routineRate || refused < unusualRate || refused > 2*unusualRate {
		t.Errorf("%d usual lines and %d others", usual, refused)
	}
	if leftOut != int64(2*each-usual-refused) {
		t.Errorf("%d lines are said to be left out of %d", leftOut, 2*each-usual-refused)
	}
}

func TestMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.RequestEnded("idempotent", outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonShed}, 30*time.Millisecond)
	m.Resent(outcome.ReasonTargetShed)
	m.SlotWait("idempotent", time.Millisecond)
	m.TargetRequest("download", outcome.Answered, time.Second)
	Gauge(registry, "config_version", "Version in force.", func() float64 { return 7 })
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	names := ""
	for _, f := range families {
		names += f.GetName() + " "
	}
	for _, want := range []string{"requests_total", "request_seconds", "resends_total", "slot_wait_seconds", "target_seconds", "log_lines_left_out_total", "config_version"} {
		if !strings.Contains(names, "auburnrelay_"+want+" ") {
			t.Errorf("%s is missing among %s", want, names)
		}
	}
}

// BenchmarkLine measures the cost of one log line.
func BenchmarkLine(b *testing.B) {
	var out bytes.Buffer
	log := NewRequestLog(slog.New(slog.NewJSONHandler(&out, nil)), NewMetrics(prometheus.NewRegistry()))
	log.routine.SetLimit(1e9)
	for b.Loop() {
		out.Reset()
		log.Routine("request ended", "id", "9c41d07be2a35f68", "route", "r-1", "kind", "idempotent", "config", 3, "service", "s",
			"key", 21726, "outcome", "answered", "reason", "", "status", 200, "target", "i-1", "took_ms", 43, "left_ms", 700)
	}
}
