// Package capacity computes the resource usage of each role at the size that the system is
// designed for. It is a linear model: measured slopes, the costs per request, node, slice and
// so on, are multiplied by the size. docs/CAPACITY.md contains the resulting table; a test
// keeps the two equal.
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

// notMeasured replaces a value that was not measured, in the slopes file and in the table.
const notMeasured = "not measured"

// Slope is a measured coefficient of the model: a cost per unit, such as bytes per line, or a
// fixed cost.
type Slope struct {
	Name string
	// Value is the coefficient in Unit. It is valid only if Measured is set.
	Value    float64
	Measured bool
	Unit     string
	// Command is the command whose run gave the value.
	Command string
}

// Slopes holds slopes by name.
type Slopes map[string]Slope

// ReadSlopes reads a CSV file with the columns name, value, unit and command. It returns
// ErrSlopes if the file is malformed or a value has no command.
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

// Size is the size of a deployment.
type Size struct {
	Nodes             float64
	NodesPerCell      float64
	RequestsPerSecond float64
	// SlicesPerNode is the number of slices per node, LinesPerNode the number of account lines
	// in one report of a node.
	SlicesPerNode float64
	LinesPerNode  float64
	// ReportSeconds and SegmentSeconds are the intervals between two reports of a node and two
	// segments of a cell.
	ReportSeconds  float64
	SegmentSeconds float64
	SheetsPerDay   float64
	RestartsPerDay float64
	// RestartShare is the share of a day's restarts that happen within one hour of the morning.
	RestartShare float64
}

// DesignSize returns the size that the system is designed for: the users' plan for the next two
// years, with the default settings.
func DesignSize() Size {
	return Size{
		Nodes: 2600, NodesPerCell: 24, RequestsPerSecond: 39e6, SlicesPerNode: 64, LinesPerNode: 20,
		ReportSeconds: 10, SegmentSeconds: 60, SheetsPerDay: 1700, RestartsPerDay: 240,
		RestartShare: 0.5,
	}
}

// Cells returns the number of cells.
func (s Size) Cells() float64 { return math.Ceil(s.Nodes / s.NodesPerCell) }

// Row is one row of the table.
type Row struct {
	Role, Quantity string
	// Value is the result for the size. It is valid only if Known is set; Known is not set if a
	// slope was not measured.
	Value float64
	Known bool
	Unit  string
	// Budget is the maximum allowed value; zero if there is none.
	Budget float64
	// From lists the slopes used, or is "arithmetic" if the row uses none.
	From string
}

// Verdict returns "met", "missed" or "not measured", or "-" if there is no budget.
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

// Markdown formats the rows as a Markdown table.
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
	return formatNumber(r.Value)
}

func (r Row) budget() string {
	if r.Budget == 0 {
		return "-"
	}
	return formatNumber(r.Budget)
}

// formatNumber formats a number with three significant digits, or as an integer from 1000 on.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
