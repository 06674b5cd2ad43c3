package scale

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestFit checks the least-squares line, also for too few sizes, where a division by zero would give NaN.
func TestFit(t *testing.T) {
	rows := []struct {
		name          string
		sizes, values []float64
		want          linearFit
	}{
		{"nothing", nil, nil, linearFit{}},
		{"one size", []float64{4, 4}, []float64{1, 3}, linearFit{fixed: 2}},
		{"on a line", []float64{4, 8, 16, 32}, []float64{15, 23, 39, 71}, linearFit{fixed: 7, slope: 2}},
		{"not on a line", []float64{0, 1, 2}, []float64{0, 3, 0}, linearFit{fixed: 1}},
	}
	for _, row := range rows {
		got := leastSquares(row.sizes, row.values)
		if !near(got.fixed, row.want.fixed) || !near(got.slope, row.want.slope) {
			t.Errorf("%s: %+v, want %+v", row.name, got, row.want)
		}
	}
}

// near reports whether a and b are almost equal; it is false if either is NaN.
func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9 }

// TestParseCPU checks that the fields are counted after the program's name, and that short or malformed text is
// an error.
func TestParseCPU(t *testing.T) {
	// A program's name may contain spaces and parentheses.
	const stat = "77 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 13 14"
	got, err := parseCPU(stat)
	if err != nil || got != 3*time.Second {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "77 (x) S 1 2", strings.Replace(stat, "250", "x", 1)} {
		if _, err := parseCPU(bad); !errors.Is(err, ErrRead) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// TestParseResident checks the resident memory in bytes, and that short text is an error.
func TestParseResident(t *testing.T) {
	got, err := parseResident("900 100 50 1 0 60 0\n", 4096)
	if err != nil || got != 409600 {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := parseResident("900", 4096); !errors.Is(err, ErrRead) {
		t.Error(err)
	}
}

// TestPlaced checks that a cell without a standby, or with a slice that is moving or without a running owner, does
// not count as placed; the measurement would start too early.
func TestPlaced(t *testing.T) {
	type owner = struct {
		Owner  string `json:"owner"`
		Moving bool   `json:"moving"`
	}
	whole := status{Controller: "a", Standby: "b", Owners: []owner{{Owner: "a"}, {Owner: "b"}}}
	moving, lost, unowned, noStandby := whole, whole, whole, whole
	moving.Owners = []owner{{Owner: "a"}, {Owner: "b", Moving: true}}
	lost.Owners = []owner{{Owner: "a"}, {Owner: "c"}}
	unowned.Owners = []owner{{Owner: "a"}, {}}
	noStandby.Standby = ""
	for name, row := range map[string]struct {
		s      status
		slices int
		want   bool
	}{
		"all placed": {whole, 2, true}, "too few": {whole, 3, false}, "moving": {moving, 2, false},
		"lost": {lost, 2, false}, "unowned": {unowned, 2, false}, "no standby": {noStandby, 2, false},
	} {
		if row.s.allPlaced(row.slices, "c") != row.want {
			t.Errorf("%s: want %v", name, row.want)
		}
	}
}

// TestReportPrintsFits checks the printed lines, and that a figure with one value gets no fit.
func TestReportPrintsFits(t *testing.T) {
	var out bytes.Buffer
	r := newReport(&out)
	for _, f := range []struct {
		nodes int
		value float64
	}{{4, 15}, {8, 23}} {
		if err := r.add(f.nodes, figure{"bytes", f.value, "B/s"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.add(2, figure{"once", 1, "s"}); err != nil {
		t.Fatal(err)
	}
	if err := r.printFits(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if !strings.HasPrefix(text, "scale bytes nodes=4 15 B/s load=") {
		t.Error(text)
	}
	if !strings.HasSuffix(text, "scale fit bytes = 7 + 2 * nodes, B/s\n") || strings.Contains(text, "fit once") {
		t.Error(text)
	}
}
