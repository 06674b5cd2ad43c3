package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

var update = flag.Bool("update", false, "write the table into docs/CAPACITY.md")

const (
	page  = "../../docs/CAPACITY.md"
	begin = "<!-- table: go test ./capacity -update -->\n"
	end   = "<!-- end of table -->\n"
)

func readSlopes(t *testing.T) Slopes {
	t.Helper()
	file, err := os.Open("slopes.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	slopes, err := ReadSlopes(file)
	if err != nil {
		t.Fatal(err)
	}
	return slopes
}

// TestPageHoldsTheTable checks that the table in the page equals the one computed from the
// slopes.
func TestPageHoldsTheTable(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, hasBegin := strings.Cut(string(text), begin)
	old, tail, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		t.Fatalf("%s does not contain the table markers", page)
	}
	table := Markdown(Rows(DesignSize(), readSlopes(t)))
	if old == table {
		return
	}
	if !*update {
		t.Fatalf("the table in the page is out of date; run go test ./capacity -update\n%s", table)
	}
	if err := os.WriteFile(page, []byte(head+begin+table+end+tail), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSlopesNameTheirRuns checks that the file contains every slope in use, and that a value
// without the command of its run is rejected.
func TestSlopesNameTheirRuns(t *testing.T) {
	slopes := readSlopes(t)
	for _, row := range Rows(DesignSize(), slopes) {
		for _, name := range strings.Split(row.From, ", ") {
			if _, known := slopes[name]; !known && name != "arithmetic" {
				t.Errorf("row %s, %s: the file has no slope %q", row.Role, row.Quantity, name)
			}
		}
	}
	if _, err := ReadSlopes(strings.NewReader("name,value,unit,command\nx,5,s,\n")); !errors.Is(err, ErrSlopes) {
		t.Errorf("value without command: got error %v, want ErrSlopes", err)
	}
}

func TestVerdict(t *testing.T) {
	for want, row := range map[string]Row{
		"met":          {Known: true, Value: 2, Budget: 2},
		"missed":       {Known: true, Value: 2.1, Budget: 2},
		"-":            {Known: true, Value: 2},
		"not measured": {Budget: 2},
	} {
		if got := row.Verdict(); got != want {
			t.Errorf("%+v: got verdict %s", row, got)
		}
	}
}
