package sheet

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is matched by all Faults.
var ErrInvalid = errors.New("invalid sheet")

// Fault is one validation error of a sheet.
type Fault struct {
	// Line and Column are the position in the file, counted from one; Column counts
	// characters. Line is zero if the fault concerns the sheet as a whole.
	Line, Column int
	// Field is the name of the sheet's column; empty if the fault concerns the whole line.
	Field   string
	Problem string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Problem
	}
	if f.Field == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Problem)
	}
	return fmt.Sprintf("line %d, column %d (%s): %s", f.Line, f.Column, f.Field, f.Problem)
}

// Faults lists all faults of one sheet, ordered by position.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) hold.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}
