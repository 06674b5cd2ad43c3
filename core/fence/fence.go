// Package fence implements fencing tokens, which order the grants of a slice.
package fence

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports text that does not parse as a fence.
var ErrMalformed = errors.New("malformed fence")

// Fence is the fencing token of a grant. The fences of a slice increase with each grant; a
// target that checks fences refuses requests with one below the highest that it has seen for
// the slice.
type Fence struct {
	// Epoch is the epoch of the cell's record at the time of the grant.
	Epoch uint64 `json:"epoch"`
	// Seq increases with each assignment within the epoch.
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

// Parse parses the form that String returns. It fails with ErrMalformed.
func Parse(text string) (Fence, error) {
	var f Fence
	if _, err := fmt.Sscanf(text, "%d.%d", &f.Epoch, &f.Seq); err != nil || f.String() != text {
		return Fence{}, errors.Wrapf(ErrMalformed, "fence %q", text)
	}
	return f, nil
}
