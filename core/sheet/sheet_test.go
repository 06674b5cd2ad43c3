package sheet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

func describeLayout(l keyspace.Layout) string {
	var b strings.Builder
	for _, service := range l.Services {
		for _, r := range service.Ranges {
			fmt.Fprintf(&b, "line %d: %s\n", r.Line, Describe(r))
		}
	}
	return b.String()
}

// unescape replaces escape sequences in test scripts that stand for characters and bytes which
// editors and the script parser would alter.
func unescape(text string) []byte {
	replacer := strings.NewReplacer(`\r`, "\r", `\ufeff`, "\ufeff", `\xf5`, "\xf5", `\u030b`, "\u030b", `\s`, " ")
	return []byte(replacer.Replace(text))
}

func TestSheet(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var base keyspace.Layout
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			layout, err := Parse(unescape(d.Input))
			if err != nil {
				if !errors.Is(err, ErrInvalid) {
					t.Errorf("%s: the error does not match ErrInvalid", d.Pos)
				}
				return err.Error() + "\n"
			}
			switch d.Cmd {
			case "base":
				base = layout
			case "diff":
				return describeDiff(Compare(base, layout))
			}
			return describeLayout(layout)
		})
	})
}

func describeDiff(d Diff) string {
	var b strings.Builder
	for _, change := range d.Changes {
		fmt.Fprintf(&b, "%s moves=%v\n", change, change.MovesOwners)
	}
	fmt.Fprintf(&b, "%d of %d slices move\n", d.MovedSlices, d.Slices)
	return b.String()
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"horsebox", "lending"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "sheet.csv"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("service,kind,from,to,region\nbooking,keyed,,,alfold\n")
	f.Add("\ufeffservice;kind;from;to;region\r\n\"boo\nking\";keyed;;;ő\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		layout, err := Parse([]byte(text))
		if err != nil && len(err.Error()) == 0 {
			t.Error("a rejected sheet lists no faults")
		}
		if err == nil && len(layout.Services) == 0 {
			t.Error("an accepted sheet has no services")
		}
	})
}
