// Package stop holds planned stops of targets, VMs and failure domains: the object that
// operators write, its phases, and the check that a stop leaves no key without an owner.
//
// An operator writes the Stop; the controller of each cell that it touches moves the keys
// away and writes its Progress. The phase of the whole follows from both.
package stop

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// KeyPrefix starts the keys of planned stops.
	KeyPrefix = "stops/"
	// ProgressPrefix starts the keys of the cells' progress. It is apart from KeyPrefix so
	// that controllers watch only what operators write.
	ProgressPrefix = "stopprogress/"
)

var (
	// ErrMalformed reports a stored value that is not a stop or a progress.
	ErrMalformed = errors.New("malformed planned stop")
	// ErrScope reports a scope of unknown kind or without a name.
	ErrScope = errors.New("not a scope of a planned stop")
)

// Kind says what is stopped.
type Kind string

const (
	// Target is the target of one VM; its node goes on.
	Target Kind = "target"
	// VM is one VM with its node and target.
	VM Kind = "vm"
	// FailureDomain is every VM of a failure domain.
	FailureDomain Kind = "failure-domain"
)

// Scope is what a stop concerns.
type Scope struct {
	Kind Kind `json:"kind"`
	// Name is the name of the VM or of the failure domain.
	Name string `json:"name"`
}

// Check fails with ErrScope when the scope cannot be planned.
func (s Scope) Check() error {
	known := s.Kind == Target || s.Kind == VM || s.Kind == FailureDomain
	if !known || s.Name == "" {
		return errors.Wrapf(ErrScope, "%q %q", s.Kind, s.Name)
	}
	return nil
}

// Holds reports whether the scope concerns the member.
func (s Scope) Holds(m Member) bool {
	if s.Kind == FailureDomain {
		return m.FailureDomain == s.Name
	}
	return m.Name == s.Name
}

// Stop is a planned stop as operators write it.
type Stop struct {
	ID    string `json:"id"`
	Scope Scope  `json:"scope"`
	// At is when draining begins.
	At time.Time `json:"at"`
	// Who planned it, and when by the operator's clock.
	Who     string    `json:"who"`
	Planned time.Time `json:"planned"`
	// Forced tells that keys may be left without an owner.
	Forced bool `json:"forced"`
	// CancelledBy is the operator who cancelled the stop; empty if none did.
	CancelledBy string    `json:"cancelled_by,omitempty"`
	CancelledAt time.Time `json:"cancelled_at,omitzero"`
}

// Key returns the stop's key in the store.
func (s Stop) Key() string { return KeyPrefix + s.ID }

// IsCancelled reports whether an operator cancelled the stop.
func (s Stop) IsCancelled() bool { return s.CancelledBy != "" }

// IsDue reports whether the stop is to be carried out at the time.
func (s Stop) IsDue(now time.Time) bool { return !s.IsCancelled() && !now.Before(s.At) }

// Member is one node as the check and the controllers see it.
type Member struct {
	Name          string
	Incarnation   uint64
	TargetProcess uint64
	Region        string
	FailureDomain string
	Cell          string
	// Ready tells that the node's target takes work.
	Ready bool
}

// Drained is one VM that a cell's controller has drained or is draining.
type Drained struct {
	VM string `json:"vm"`
	// Incarnation is the node's process, TargetProcess the target's, when draining began.
	Incarnation   uint64 `json:"incarnation"`
	TargetProcess uint64 `json:"target_process"`
	// Slices is the number of slices that the VM still owns, InFlight the requests that
	// still run on it.
	Slices   int    `json:"slices"`
	InFlight uint32 `json:"in_flight"`
}

// IsHandedOver reports whether the VM owns nothing any more.
func (d Drained) IsHandedOver() bool { return d.Slices == 0 }

// IsReady reports whether the VM may be stopped without cutting a request.
func (d Drained) IsReady() bool { return d.Slices == 0 && d.InFlight == 0 }

// Progress is what the controller of one cell has done for a stop.
type Progress struct {
	ID   string    `json:"id"`
	Cell string    `json:"cell"`
	At   time.Time `json:"at"`
	VMs  []Drained `json:"vms"`
}

// ProgressKey returns the key of a cell's progress of a stop.
func ProgressKey(id, cell string) string { return ProgressPrefix + id + "/" + cell }

// Phase is how far a stop has come.
type Phase string

const (
	// Planned means that draining has not begun.
	Planned Phase = "planned"
	// Draining means that keys are being moved away.
	Draining Phase = "draining"
	// HandedOver means that no key is left, but requests still run.
	HandedOver Phase = "handed over"
	// Ready means that nothing is cut when the machines go.
	Ready Phase = "ready"
	// Cancelled means that an operator ended the stop.
	Cancelled Phase = "cancelled"
)

// PhaseOf returns the phase of a stop from the progress of all cells that it touches, which
// are those of its members.
func PhaseOf(s Stop, progress []Progress, members []Member, now time.Time) Phase {
	switch {
	case s.IsCancelled():
		return Cancelled
	case !s.IsDue(now):
		return Planned
	}
	phase := Ready
	for _, m := range members {
		if s.Scope.Holds(m) {
			phase = earlier(phase, phaseOfVM(m, progress))
		}
	}
	return phase
}

func phaseOfVM(m Member, progress []Progress) Phase {
	for _, p := range progress {
		for _, d := range p.VMs {
			if d.VM == m.Name && p.Cell == m.Cell {
				return d.phase()
			}
		}
	}
	return Draining
}

func (d Drained) phase() Phase {
	switch {
	case d.IsReady():
		return Ready
	case d.IsHandedOver():
		return HandedOver
	default:
		return Draining
	}
}

func earlier(a, b Phase) Phase {
	for _, phase := range []Phase{Draining, HandedOver, Ready} {
		if a == phase || b == phase {
			return phase
		}
	}
	return a
}

// Encode returns the stored form.
func (s Stop) Encode() ([]byte, error) { return json.Marshal(s) }

// Encode returns the stored form.
func (p Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// Decode reads the stored form of a stop. It fails with ErrMalformed.
func Decode(value []byte) (Stop, error) {
	var s Stop
	if err := json.Unmarshal(value, &s); err != nil {
		return Stop{}, errors.Mark(errors.Wrap(err, "planned stop"), ErrMalformed)
	}
	return s, nil
}

// DecodeProgress reads the stored form of a progress. It fails with ErrMalformed.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return Progress{}, errors.Mark(errors.Wrap(err, "progress of a planned stop"), ErrMalformed)
	}
	return p, nil
}
