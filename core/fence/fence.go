// Package fence orders grants of one slice.
package fence

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports text that is not a fence.
var ErrMalformed = errors.New("malformed fence")

// Fence numbers a grant. A target that checks fences refuses one below the highest that
// it has seen for the slice. Fences of one slice only grow.
type Fence struct {
	// Epoch is the epoch of the cell's record when the grant was made.
	Epoch uint64 `json:"epoch"`
	// Seq grows with each assignment within the epoch.
	Seq uint64 `json:"seq"`
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool {
	if f.Epoch != o.Epoch {
		return f.Epoch < o.Epoch
	}
	return f.Seq < o.Seq
}

// String returns "epoch.seq".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Seq) }

// Parse reads the form that String writes. It fails with ErrMalformed.
func Parse(text string) (Fence, error) {
	var f Fence
	if _, err := fmt.Sscanf(text, "%d.%d", &f.Epoch, &f.Seq); err != nil || f.String() != text {
		return Fence{}, errors.Wrapf(ErrMalformed, "fence %q", text)
	}
	return f, nil
}
