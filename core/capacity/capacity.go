// Package capacity works out, from measured slopes, what each role costs at the size that
// the system is designed for. docs/CAPACITY.md holds its table; a test keeps both equal.
package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSlopes reports a slopes file that cannot be read.
var ErrSlopes = errors.New("malformed slopes")

// notMeasured is what the slopes file holds in place of a figure that no run gave.
const notMeasured = "not measured"

// Slope is one measured figure.
type Slope struct {
	Name string
	// Value is the figure; Measured is false when no run gave it.
	Value    float64
	Measured bool
	Unit     string
	// Command is the run that gave the figure.
	Command string
}

// Slopes holds measured figures by name.
type Slopes map[string]Slope

// ReadSlopes reads a CSV file with the columns name, value, unit and command. It fails with
// ErrSlopes; a figure without the command of its run is a fault.
func ReadSlopes(r io.Reader) (Slopes, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil || len(records) == 0 {
		return nil, errors.Wrapf(ErrSlopes, "%v", err)
	}
	slopes := Slopes{}
	for _, record := range records[1:] {
		s, err := slopeOf(record)
		if err != nil {
			return nil, err
		}
		slopes[s.Name] = s
	}
	return slopes, nil
}

func slopeOf(record []string) (Slope, error) {
	s := Slope{Name: record[0], Unit: record[2], Command: record[3]}
	if record[1] == notMeasured {
		return s, nil
	}
	value, err := strconv.ParseFloat(record[1], 64)
	if err != nil || s.Command == "" {
		return Slope{}, errors.Wrapf(ErrSlopes, "%s: value %q, command %q", s.Name, record[1], s.Command)
	}
	s.Value, s.Measured = value, true
	return s, nil
}

// Size is what the system is designed for.
type Size struct {
	Nodes             float64
	NodesPerCell      float64
	RequestsPerSecond float64
	// SlicesPerNode is the number of slices for each node, LinesPerNode the number of
	// lines of the account that a node counts on in one report.
	SlicesPerNode float64
	LinesPerNode  float64
	// ReportSeconds and SegmentSeconds are the account's intervals.
	ReportSeconds  float64
	SegmentSeconds float64
	SheetsPerDay   float64
	RestartsPerDay float64
	// RestartShare is the share of a day's restarts that comes in one morning hour.
	RestartShare float64
}

// Designed returns the size of the users' plan for two years, with the project's defaults.
func Designed() Size {
	return Size{
		Nodes: 2600, NodesPerCell: 24, RequestsPerSecond: 39e6, SlicesPerNode: 64, LinesPerNode: 20,
		ReportSeconds: 10, SegmentSeconds: 60, SheetsPerDay: 1700, RestartsPerDay: 240,
		RestartShare: 0.5,
	}
}

// Cells returns the number of cells.
func (s Size) Cells() float64 { return math.Ceil(s.Nodes / s.NodesPerCell) }

// Row is one line of the table.
type Row struct {
	Role, Quantity string
	// Value is the figure at the designed size; Known is false when a slope is missing.
	Value float64
	Known bool
	Unit  string
	// Budget is the most that is allowed; zero if nothing is set.
	Budget float64
	// From names the slopes used, or says that the row is arithmetic.
	From string
}

// Verdict returns "met", "missed", "not measured", or a dash where no budget is set.
func (r Row) Verdict() string {
	switch {
	case !r.Known:
		return notMeasured
	case r.Budget == 0:
		return "-"
	case r.Value <= r.Budget:
		return "met"
	default:
		return "missed"
	}
}

// Markdown returns the rows as a table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | quantity | at the designed size | unit | budget | verdict | from |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Quantity, r.value(), r.Unit, r.budget(), r.Verdict(), r.From)
	}
	return b.String()
}

func (r Row) value() string {
	if !r.Known {
		return notMeasured
	}
	return figure(r.Value)
}

func (r Row) budget() string {
	if r.Budget == 0 {
		return "-"
	}
	return figure(r.Budget)
}

// figure returns a number with three digits, or whole if it is large.
func figure(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
