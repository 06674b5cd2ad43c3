package settings

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid is matched by all Faults.
var ErrInvalid = errors.New("invalid settings")

// Fault is one wrong, unknown or missing field.
type Fault struct {
	// Path is the field's section and name, joined by a dot.
	Path string
	// Line is the field's line, counted from one; zero when the file does not hold it.
	Line    int
	Problem string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	place := f.Path
	if f.Line > 0 {
		place = "line " + strconv.Itoa(f.Line) + ": " + place
	}
	return strings.TrimSuffix(place, ": ") + ": " + f.Problem
}

func (f Fault) before(o Fault) bool {
	if f.Line != o.Line {
		return f.Line < o.Line
	}
	return f.Path < o.Path
}

// Faults is every fault of one settings file, in the order of their lines.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) hold.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

func (f Faults) add(path string, err error) Faults {
	if err == nil {
		return f
	}
	return append(f, Fault{Path: path, Problem: problemOf(err)})
}

func (f Faults) paths() map[string]bool {
	paths := make(map[string]bool, len(f))
	for _, fault := range f {
		paths[fault.Path] = true
	}
	return paths
}

func problemOf(err error) string {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return "unknown field"
	}
	return describeDecode(strings.TrimPrefix(err.Error(), "toml: "))
}

// describeDecode words a mismatch of types without the names of Go types.
func describeDecode(text string) string {
	found, mismatch := strings.CutPrefix(text, "cannot decode TOML ")
	if !mismatch {
		return text
	}
	found, _, _ = strings.Cut(found, " into ")
	wanted := text[strings.LastIndex(text, " ")+1:]
	if strings.HasPrefix(wanted, "settings.") {
		wanted = "section"
	}
	return found + " where " + wanted + " is expected"
}

func syntaxFault(err error) Fault {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return Fault{Problem: err.Error()}
	}
	row, _ := decode.Position()
	return Fault{Line: row, Problem: problemOf(err)}
}
