package measure

import (
	"fmt"
	"strings"
)

// figure is one measured value.
type figure struct {
	name     string
	value    float64
	unit     string
	baseline string
	target   string
	// note is printed after the value and gives the measurements that it is derived from.
	note string
}

// String returns the figure in the form in which it is printed.
func (f figure) String() string {
	baseline := f.baseline
	if baseline == "" {
		baseline = "none"
	}
	line := fmt.Sprintf("%s %s %s baseline=%s target=%s", f.name, format(f.value), f.unit, baseline, f.target)
	return strings.TrimRight(line+" "+f.note, " ")
}

func format(v float64) string { return fmt.Sprintf("%.3g", v) }

// addBaseline sets the baseline of each figure to the value of the figure of the same name.
func addBaseline(figures, baseline []figure) {
	for i := range figures {
		for _, other := range baseline {
			if other.name == figures[i].name {
				figures[i].baseline = format(other.value)
			}
		}
	}
}
