package settings

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid is the error that every Faults matches under errors.Is.
var ErrInvalid = errors.New("invalid settings")

// Fault is an invalid, unknown or missing field, or a syntax error.
type Fault struct {
	// Path is the field's section and name, joined by a dot.
	Path string
	// Line is the field's line in the file, starting at 1; 0 if the file does not contain the
	// field.
	Line int
	// Problem says what is wrong with the field.
	Problem string
}

// String returns the fault as one line: the line number, the path and the problem.
func (f Fault) String() string {
	location := f.Path
	if f.Line > 0 {
		location = "line " + strconv.Itoa(f.Line) + ": " + location
	}
	return strings.TrimSuffix(location, ": ") + ": " + f.Problem
}

func (f Fault) less(o Fault) bool {
	if f.Line != o.Line {
		return f.Line < o.Line
	}
	return f.Path < o.Path
}

// Faults lists all faults of a settings file, ordered by line.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

func (f Faults) appendError(path string, err error) Faults {
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
	return describeTypeMismatch(strings.TrimPrefix(err.Error(), "toml: "))
}

// describeTypeMismatch shortens the decoder's message about a type mismatch: it omits the Go struct
// fields and names a struct type "section". Basic types keep their Go names, such as float64.
func describeTypeMismatch(text string) string {
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
