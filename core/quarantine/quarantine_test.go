package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var epoch = time.Unix(1_800_000_000, 0)

// node is one node of a scripted cell with its tracker and the changes that it has not shared yet.
type node struct {
	tracker *Tracker
	changes []Change
}

// TestQuarantine runs the scripts in testdata: crashes in a cell whose nodes share entries. Times
// are in seconds; fingerprints are small numbers.
func TestQuarantine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		policy := DefaultPolicy()
		nodes := map[string]*node{}
		var cell []Entry
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				var seconds int
				d.ScanArgs(t, "at", &seconds)
				now = epoch.Add(time.Duration(seconds) * time.Second)
			}
			name := "a"
			if d.HasArg("node") {
				d.ScanArgs(t, "node", &name)
			}
			if nodes[name] == nil {
				nodes[name] = &node{tracker: New(policy)}
				nodes[name].tracker.Merge(cell)
			}
			n := nodes[name]
			if d.Cmd == "share" {
				cell = policy.ApplyChanges(now, cell, n.changes)
				n.changes = nil
				for _, other := range nodes {
					other.tracker.Merge(cell)
				}
				return fmt.Sprintf("cell: %d\n", len(cell))
			}
			return n.runCommand(d, now)
		})
	})
}

func (n *node) runCommand(d *datadriven.TestData, now time.Time) string {
	var out strings.Builder
	for word := range strings.FieldsSeq(d.Input) {
		f := parseFingerprint(word)
		switch d.Cmd {
		case "begin":
			n.tracker.Begin(f)
		case "well":
			n.changes = append(n.changes, n.tracker.Finish(now, f, true, false)...)
		case "broken":
			n.changes = append(n.changes, n.tracker.Finish(now, f, false, true)...)
		case "failed":
			n.changes = append(n.changes, n.tracker.Finish(now, f, false, false)...)
		case "check":
			verdict, left := n.tracker.Check(now, f)
			fmt.Fprintf(&out, "%s: %s %v\n", word, [...]string{"", "free", "suspect", "banned"}[verdict], left)
		}
	}
	if d.Cmd == "crash" {
		changes := n.tracker.Crash(now)
		n.changes = append(n.changes, changes...)
		for _, c := range changes {
			fmt.Fprintf(&out, "blamed %d\n", c.Fingerprint)
		}
	}
	return out.String()
}

func parseFingerprint(word string) Fingerprint {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return Fingerprint(n)
}

func TestFingerprintsDiffer(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, parts := range [][4]string{{"a", "GET", "k", ""}, {"a", "GET", "", "k"}, {"aG", "ET", "k", ""}, {"a", "PUT", "k", ""}} {
		f := FingerprintOf(parts[0], parts[1], parts[2], parts[3])
		if seen[f] {
			t.Errorf("%v has the same fingerprint as another request", parts)
		}
		seen[f] = true
	}
}

func TestEntriesAreBounded(t *testing.T) {
	policy := DefaultPolicy()
	tracker := New(policy)
	for i := range 3 * policy.MaxEntries {
		tracker.Begin(Fingerprint(i))
	}
	tracker.Crash(epoch)
	if n := len(tracker.Entries(epoch)); n > policy.MaxEntries {
		t.Errorf("%d entries, want at most %d", n, policy.MaxEntries)
	}
}
