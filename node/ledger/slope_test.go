package ledger

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

func makeCounts(n int) []account.Count {
	counts := make([]account.Count, n)
	for i := range counts {
		counts[i] = account.Count{
			Line: account.Line{
				Service: "booking", Range: keyspace.RangeID(1<<60 + i), From: fmt.Sprintf("key-%06d", i),
				To: fmt.Sprintf("key-%06d", i+1), Sheet: 1_000_000, SheetLine: i + 2,
			},
			Totals: account.Totals{Answered: 100_000, NotRun: 100, Unknown: 1},
		}
	}
	return counts
}

func segmentBytes(t *testing.T, lines, processes int) int {
	t.Helper()
	s := account.Segment{ID: account.ID{Cell: "alfold", Month: "2026-11", Number: 1}, Counts: makeCounts(lines)}
	at := time.Date(2026, 11, 3, 6, 0, 0, 123_000_000, time.UTC)
	for i := range processes {
		p := account.Process{Node: fmt.Sprintf("debrecen-%03d", i), Incarnation: 1<<63 + uint64(i)}
		s.Spans = append(s.Spans, account.Span{Process: p, First: 1000, Last: 1005, Since: at, Until: at})
		s.Open = append(s.Open, account.ProcessState{Process: p, Last: 1005, Until: at, Seen: at})
	}
	sealed, err := account.Seal(s)
	if err != nil {
		t.Fatal(err)
	}
	return len(sealed.Value)
}

func reportBytes(lines int) int {
	b := account.Batch{Process: account.Process{Node: "debrecen-001", Incarnation: 1 << 63}, Oldest: 1000}
	b.Reports = []account.Report{{Process: b.Process, Number: 1000, Since: time.Now(), Until: time.Now(), Counts: makeCounts(lines)}}
	return proto.Size(batchToWire("fleet", "alfold", b))
}

// TestSlopes prints the sizes of reports and segments per line and per process, from which
// docs/CAPACITY.md is calculated. It fails if the sizes do not grow linearly.
func TestSlopes(t *testing.T) {
	type sized struct {
		name string
		size func(n int) int
	}
	for _, s := range []sized{
		{"report_bytes_per_line", reportBytes},
		{"segment_bytes_per_line", func(n int) int { return segmentBytes(t, n, 24) }},
		{"segment_bytes_per_process", func(n int) int { return segmentBytes(t, 10, n) }},
	} {
		slopeTo90 := float64(s.size(90)-s.size(10)) / 80
		slopeTo490 := float64(s.size(490)-s.size(90)) / 400
		t.Logf("slope %s %.1f bytes (10 to 90: %.1f)", s.name, slopeTo490, slopeTo90)
		if slopeTo490 > 1.1*slopeTo90 || slopeTo90 > 1.1*slopeTo490 {
			t.Errorf("%s: %.1f bytes up to 90, %.1f up to 490", s.name, slopeTo90, slopeTo490)
		}
	}
	t.Logf("slope report_bytes_fixed %d bytes", reportBytes(0))
	t.Logf("slope segment_bytes_fixed %d bytes", segmentBytes(t, 0, 0))
}
