package account

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a testdata file against a collector and its stored segments.
type script struct {
	*testing.T
	d         *datadriven.TestData
	now       time.Time
	collector *Collector
	writing   *Sealed
	newest    *Sealed
	store     map[string][]byte
}

func TestCollector(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{T: t, store: map[string][]byte{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.T, s.d = t, d
			return s.run()
		})
	})
}

func (s *script) run() string {
	switch s.d.Cmd {
	case "at":
		s.now = s.parseTime(s.d.CmdArgs[0].Key)
		return ""
	case "start":
		s.start()
		return ""
	case "offer":
		return s.offer()
	case "next":
		return s.next()
	case "written":
		s.store[s.writing.Key()] = s.writing.Value
		s.newest = s.writing
		if err := s.collector.Written(s.now); err != nil {
			s.Fatal(err)
		}
		return ""
	case "audit":
		return s.audit()
	}
	s.Fatalf("%s: unknown command", s.d.Pos)
	return ""
}

func (s *script) parseTime(text string) time.Time {
	at, err := time.Parse("2006-01-02T15:04:05", text)
	if err != nil {
		s.Fatal(err)
	}
	return at
}

func (s *script) start() {
	config := Config{Cell: "alfold", Writer: Process{"vm-0", 1}, Interval: time.Minute, SilenceTimeout: 5 * time.Minute}
	s.collector = NewCollector(config, s.newest, s.now)
}

// offer sends the reports in the command's input, one per line: number, count and, optionally,
// "final" or the start of its period.
func (s *script) offer() string {
	var b Batch
	s.d.ScanArgs(s.T, "node", &b.Node)
	s.d.ScanArgs(s.T, "inc", &b.Incarnation)
	s.d.ScanArgs(s.T, "oldest", &b.Oldest)
	for _, line := range strings.Split(s.d.Input, "\n") {
		if line != "" {
			b.Reports = append(b.Reports, s.report(b.Process, line))
		}
	}
	ack := s.collector.Offer(b, s.now)
	return fmt.Sprintf("accepted=%d booked=%d\n", ack.Accepted, ack.Booked)
}

func (s *script) report(process Process, line string) Report {
	words := strings.Fields(line)
	r := Report{Process: process, Since: s.now.Add(-10 * time.Second), Until: s.now}
	var answered int64
	if _, err := fmt.Sscan(words[0]+" "+words[1], &r.Number, &answered); err != nil {
		s.Fatal(err)
	}
	for _, word := range words[2:] {
		if word == "final" {
			r.Final = true
			continue
		}
		r.Since = s.parseTime(word)
		r.Until = r.Since.Add(10 * time.Second)
	}
	booking := Line{Service: "booking", Sheet: 7, SheetLine: 2, To: "m"}
	r.Counts = []Count{{Line: booking, Totals: Totals{Answered: answered}}}
	return r
}

func (s *script) next() string {
	sealed, due, err := s.collector.Next(s.now)
	if err != nil || !due {
		return fmt.Sprintf("nothing %v\n", err)
	}
	s.writing = &sealed
	var b strings.Builder
	fmt.Fprintf(&b, "segment %s closes=%v previous=%v\n", sealed.ID, sealed.Closes, describeLink(sealed.Previous))
	for _, count := range sealed.Counts {
		fmt.Fprintf(&b, "count %s line %d: %d\n", count.Service, count.SheetLine, count.Answered)
	}
	for _, span := range sealed.Spans {
		fmt.Fprintf(&b, "span %s/%d %d-%d late=%v\n", span.Node, span.Incarnation, span.First, span.Last, span.Late)
	}
	for _, gap := range sealed.Gaps {
		fmt.Fprintln(&b, describeGap(gap))
	}
	for _, open := range sealed.Open {
		fmt.Fprintf(&b, "open %s/%d last=%d silent=%v closed=%v\n", open.Node, open.Incarnation, open.Last, open.Silent, open.Closed)
	}
	return b.String()
}

func describeLink(l *Link) string {
	if l == nil {
		return "none"
	}
	return l.ID.String()
}

func describeGap(g Gap) string {
	return fmt.Sprintf("gap %s/%d %s after=%d before=%d since=%s", g.Node, g.Incarnation, g.Reason, g.After, g.Before, g.Since.Format("15:04:05"))
}

// audit audits the stored segments of a month after applying the damage that the command's
// input describes.
func (s *script) audit() string {
	var month string
	s.d.ScanArgs(s.T, "month", &month)
	values := map[uint64][]byte{}
	highest := uint64(0)
	for n := uint64(1); n < 100; n++ {
		if value, ok := s.store[ID{"alfold", month, n}.Key()]; ok {
			values[n] = value
			highest = n
		}
	}
	for _, line := range strings.Split(s.d.Input, "\n") {
		highest = max(highest, s.damage(values, line))
	}
	a := NewAudit("alfold", month, nil)
	for n := uint64(1); n <= highest; n++ {
		if value, ok := values[n]; ok {
			a.Add(n, value)
		}
	}
	if s.newest.Month != month {
		first, err := Unseal(s.store[ID{"alfold", s.newest.Month, 1}.Key()])
		if err != nil {
			s.Fatal(err)
		}
		a.End(*first.Previous)
	}
	return describeAudit(a)
}

func (s *script) damage(values map[uint64][]byte, line string) uint64 {
	words := strings.Fields(line)
	if len(words) == 0 {
		return 0
	}
	var n, to uint64
	if _, err := fmt.Sscan(words[1], &n); err != nil {
		s.Fatal(err)
	}
	switch words[0] {
	case "remove":
		delete(values, n)
	case "edit":
		values[n] = []byte(strings.Replace(string(values[n]), `"answered":`, `"answered":1`, 1))
	case "forge":
		sealed, err := Unseal(values[n])
		if err != nil {
			s.Fatal(err)
		}
		sealed.Counts = nil
		forged, err := Seal(sealed.Segment)
		if err != nil {
			s.Fatal(err)
		}
		values[n] = forged.Value
	case "copy":
		if _, err := fmt.Sscan(words[2], &to); err != nil {
			s.Fatal(err)
		}
		values[to] = slices.Clone(values[n])
	}
	return to
}

func describeAudit(a *Audit) string {
	var b strings.Builder
	for _, fault := range a.Faults() {
		fmt.Fprintln(&b, fault)
	}
	for _, gap := range a.Gaps() {
		fmt.Fprintf(&b, "%s marked by %s\n", describeGap(gap.Gap), gap.Segment)
	}
	for _, row := range a.Rows() {
		fmt.Fprintf(&b, "%s line %d: %d from %s\n", row.Service, row.SheetLine, row.Answered, DescribeSegments(row.Segments))
	}
	return b.String()
}
