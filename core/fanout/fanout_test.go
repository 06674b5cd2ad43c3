package fanout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestPlaces runs the scripts in testdata. "place self=N avoid=(N,...)" prints the place of a node
// among the members listed in the input.
func TestPlaces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var self string
			d.ScanArgs(t, "self", &self)
			var avoid []string
			d.MaybeScanArgs(t, "avoid", &avoid)
			p := Find(strings.Fields(d.Input), self, func(name string) bool { return slices.Contains(avoid, name) })
			if p.Source == "" {
				return "store"
			}
			return fmt.Sprintf("source=%s level=%d slot=%d patience=%v", p.Source, p.Level, p.Slot, p.Patience())
		})
	})
}

// TestLoadOfATree checks, for regions of several sizes, that no node has more than Degree followers
// and that each node reaches the one that reads the store.
func TestLoadOfATree(t *testing.T) {
	for _, size := range []int{1, 2, 7, 8, 43, 44, 300, 1300} {
		members := make([]string, size)
		for i := range members {
			members[i] = fmt.Sprintf("vm-%04d", i)
		}
		followers, readers := make(map[string]int), 0
		levels := make(map[string]int)
		for _, name := range members {
			p := Find(members, name, func(string) bool { return false })
			if p.Source == "" {
				readers++
				continue
			}
			followers[p.Source]++
			levels[name] = p.Level
			if want := levels[p.Source] + 1; p.Level != want {
				t.Errorf("%d nodes: %s has level %d, want %d", size, name, p.Level, want)
			}
		}
		if readers != 1 {
			t.Errorf("%d nodes: %d read the store", size, readers)
		}
		for name, n := range followers {
			if n > Degree {
				t.Errorf("%d nodes: %s has %d followers", size, name, n)
			}
		}
	}
}
