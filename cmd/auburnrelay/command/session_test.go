package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// session runs commands of operators on one store. Each file in testdata is a script with the
// expected output of its commands.
type session struct {
	*testing.T
	d     *datadriven.TestData
	store *memstore.Store
	now   time.Time
	ids   int
	// before holds, by key prefix, command lines that run before the next write to such a key.
	// They simulate a concurrent operator.
	before map[string][]string
	pauses int
}

// racingStore is a store that runs the commands of session.before before a write.
type racingStore struct {
	objects.Store
	s *session
}

func (r racingStore) Put(ctx context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	for prefix, lines := range r.s.before {
		if strings.HasPrefix(key, prefix) {
			delete(r.s.before, prefix)
			for _, line := range lines {
				r.s.run(line)
			}
		}
	}
	return r.Store.Put(ctx, key, value, expected, id)
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{
			T: t, store: memstore.New(memstore.Options{}), before: map[string][]string{},
			now: time.Date(2026, 11, 3, 6, 30, 0, 0, time.UTC),
		}
		path, err := filepath.Abs(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Chdir(t.TempDir())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.T, s.d = t, d
			return s.step()
		})
	})
}

func (s *session) step() string {
	switch s.d.Cmd {
	case "file":
		if err := os.WriteFile(s.d.CmdArgs[0].Key, []byte(s.d.Input+"\n"), 0o600); err != nil {
			s.Fatal(err)
		}
		return ""
	case "run":
		var out strings.Builder
		for _, line := range strings.Split(s.d.Input, "\n") {
			out.WriteString(s.run(line))
		}
		return out.String()
	case "before":
		s.before[s.d.CmdArgs[0].Key] = strings.Split(s.d.Input, "\n")
		return ""
	case "faults":
		s.setFaults()
		return ""
	case "nodes":
		s.putCells()
		return ""
	case "clock":
		at, err := time.Parse(time.RFC3339, s.d.CmdArgs[0].Key)
		if err != nil {
			s.Fatal(err)
		}
		s.now = at
		return ""
	case "progress":
		s.putProgress()
		return ""
	case "segment":
		s.putSegment()
		return ""
	case "keys":
		return s.listKeys()
	}
	s.Fatalf("%s: unknown command", s.d.Pos)
	return ""
}

// run runs a command line and returns its output, followed by its error.
func (s *session) run(line string) string {
	var out bytes.Buffer
	s.pauses = 0
	root := New(Dependencies{
		OpenStore: func(string) (objects.Store, error) { return racingStore{s.store, s}, nil },
		Pause:     s.pause,
		HTTP:      http.DefaultClient,
		Now:       func() time.Time { return s.now },
		NewID:     s.newID,
		User:      "planner",
		StoreURL:  "http://store",
		Out:       &out, Err: &out,
	})
	root.SetArgs(strings.Fields(line))
	if err := root.ExecuteContext(s.Context()); err != nil {
		fmt.Fprintf(&out, "error: %v\n", err)
	}
	return "$ auburnrelay " + line + "\n" + out.String()
}

func (s *session) newID() string {
	s.ids++
	return fmt.Sprintf("ID%04d", s.ids)
}

// pause allows three attempts of a store call.
func (s *session) pause(context.Context, int) error {
	s.pauses++
	if s.pauses >= 3 {
		return errors.New("out of attempts")
	}
	return nil
}

func (s *session) setFaults() {
	var f memstore.Faults
	for _, arg := range s.d.CmdArgs {
		switch arg.Key {
		case "down":
			f.Down = true
		case "lose":
			s.d.ScanArgs(s.T, "lose", &f.LoseNextResponses)
		case "lose-all":
			f.LoseResponseRate = 1
		}
	}
	s.store.SetFaults(f)
}

// putCells writes the record of a cell. Each input line is a node: its name, its failure
// domain and the state of its target. With "status" and JSON text, an HTTP server returns
// the text at the node's admin address.
func (s *session) putCells() {
	record := &cell.Record{Cell: s.d.CmdArgs[0].Key, Region: s.d.CmdArgs[0].Key, Epoch: 3}
	for _, line := range strings.Split(s.d.Input, "\n") {
		words := strings.SplitN(line, " ", 5)
		m := cell.Member{Node: cell.Node{Name: words[0], Incarnation: 1}, FailureDomain: words[1], Region: record.Region}
		if words[2] == "ready" {
			m.Target = cell.Target{State: cell.TargetReady, Incarnation: 1}
		}
		if len(words) == 5 {
			m.AdminAddress = s.serveStatus(words[4])
		}
		record.Nodes = append(record.Nodes, m)
	}
	record.Controller = record.Nodes[0].Node
	value, err := record.Encode()
	if err != nil {
		s.Fatal(err)
	}
	s.put("cells/"+record.Cell, value)
}

func (s *session) serveStatus(status string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, status) }))
	s.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (s *session) put(key string, value []byte) {
	current, err := s.store.Get(s.Context(), key)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		s.Fatal(err)
	}
	if _, err := s.store.Put(s.Context(), key, value, current.Version, "test"); err != nil {
		s.Fatal(err)
	}
}

func (s *session) putProgress() {
	p := stop.Progress{}
	s.d.ScanArgs(s.T, "id", &p.ID)
	s.d.ScanArgs(s.T, "cell", &p.Cell)
	for _, line := range strings.Split(s.d.Input, "\n") {
		d := stop.DrainProgress{Incarnation: 1, TargetProcess: 1}
		if _, err := fmt.Sscan(line, &d.VM, &d.Slices, &d.InFlight); err != nil {
			s.Fatal(err)
		}
		p.VMs = append(p.VMs, d)
	}
	value, err := p.Encode()
	if err != nil {
		s.Fatal(err)
	}
	s.put(stop.ProgressKey(p.ID, p.Cell), value)
}

// putSegment writes the next segment of a cell's account. The argument damage changes its
// content without its digest; gap marks a gap in it.
func (s *session) putSegment() {
	segment := account.Segment{At: s.now}
	s.d.ScanArgs(s.T, "cell", &segment.Cell)
	s.d.ScanArgs(s.T, "number", &segment.Number)
	segment.Month = account.MonthOf(s.now)
	if segment.Number > 1 {
		id := segment.ID
		id.Number--
		former, err := s.store.Get(s.Context(), id.Key())
		if err != nil {
			s.Fatal(err)
		}
		sealed, err := account.Unseal(former.Value)
		if err != nil {
			s.Fatal(err)
		}
		link := sealed.Link()
		segment.Previous = &link
	}
	process := account.Process{Node: "vm-1", Incarnation: 1}
	var answered, unknown int64
	s.d.ScanArgs(s.T, "answered", &answered)
	s.d.ScanArgs(s.T, "unknown", &unknown)
	line := account.Line{Service: "booking", To: "m", Sheet: 4, SheetLine: 2}
	segment.Counts = []account.Count{{Line: line, Totals: account.Totals{Answered: answered, Unknown: unknown}}}
	segment.Spans = []account.Span{{Process: process, First: segment.Number, Last: segment.Number}}
	if s.d.HasArg("gap") {
		gap := account.Gap{Process: process, After: segment.Number, Since: s.now, Reason: account.GapSilent}
		segment.Gaps = []account.Gap{gap}
	}
	sealed, err := account.Seal(segment)
	if err != nil {
		s.Fatal(err)
	}
	if s.d.HasArg("damage") {
		sealed.Value = bytes.Replace(sealed.Value, []byte(`"answered":`), []byte(`"answered":1`), 1)
	}
	s.put(sealed.Key(), sealed.Value)
}

func (s *session) listKeys() string {
	listing, err := s.store.List(s.Context(), s.d.CmdArgs[0].Key)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, object := range listing.Objects {
		fmt.Fprintln(&b, object.Key)
	}
	return b.String()
}
