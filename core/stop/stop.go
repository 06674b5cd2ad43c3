// Package stop implements planned stops of targets, VMs and failure domains: the stored
// objects, their phases, and the check that a stop leaves no key without an owner.
//
// An operator writes a Stop. The controller of each affected cell moves the keys away and
// writes its Progress. The phase of the stop is computed from both.
package stop

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// KeyPrefix is the prefix of the store keys of planned stops.
	KeyPrefix = "stops/"
	// ProgressPrefix is the prefix of the store keys of the cells' progress. It is not below
	// KeyPrefix so that controllers, which watch KeyPrefix, see only what operators write.
	ProgressPrefix = "stopprogress/"
)

var (
	// ErrMalformed reports a stored value that is not an encoded Stop or Progress.
	ErrMalformed = errors.New("malformed planned stop")
	// ErrScope reports a scope of unknown kind or without a name.
	ErrScope = errors.New("not a scope of a planned stop")
)

// Kind is what a stop applies to.
type Kind string

const (
	// Target is the target of one VM. The node on the VM keeps running.
	Target Kind = "target"
	// VM is one VM with its node and target.
	VM Kind = "vm"
	// FailureDomain is all VMs of a failure domain.
	FailureDomain Kind = "failure-domain"
)

// Scope identifies the target, VM or failure domain that a stop applies to.
type Scope struct {
	Kind Kind `json:"kind"`
	// Name is the name of the VM or of the failure domain.
	Name string `json:"name"`
}

// Check returns ErrScope if the kind is unknown or the name is empty.
func (s Scope) Check() error {
	known := s.Kind == Target || s.Kind == VM || s.Kind == FailureDomain
	if !known || s.Name == "" {
		return errors.Wrapf(ErrScope, "%q %q", s.Kind, s.Name)
	}
	return nil
}

// Includes reports whether the scope includes the member.
func (s Scope) Includes(m Member) bool {
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
	// Who is the operator who planned the stop, and Planned the time by the operator's clock.
	Who     string    `json:"who"`
	Planned time.Time `json:"planned"`
	// Forced allows the stop to leave keys without an owner.
	Forced bool `json:"forced"`
	// CancelledBy is the operator who cancelled the stop; empty if it is not cancelled.
	CancelledBy string    `json:"cancelled_by,omitempty"`
	CancelledAt time.Time `json:"cancelled_at,omitzero"`
}

// Key returns the stop's key in the store.
func (s Stop) Key() string { return KeyPrefix + s.ID }

// IsCancelled reports whether an operator cancelled the stop.
func (s Stop) IsCancelled() bool { return s.CancelledBy != "" }

// IsDue reports whether the stop is in effect at the time.
func (s Stop) IsDue(now time.Time) bool { return !s.IsCancelled() && !now.Before(s.At) }

// Member is the state of one node that the check and the controllers use.
type Member struct {
	Name          string
	Incarnation   uint64
	TargetProcess uint64
	Region        string
	FailureDomain string
	Cell          string
	// Ready is set if the node's target accepts work.
	Ready bool
}

// DrainProgress is the progress of one VM that the cell's controller drains or has drained.
type DrainProgress struct {
	VM string `json:"vm"`
	// Incarnation and TargetProcess identify the processes of the node and the target that
	// ran when draining began.
	Incarnation   uint64 `json:"incarnation"`
	TargetProcess uint64 `json:"target_process"`
	// Slices is the number of slices that the VM still owns, InFlight the number of requests
	// that still run on it.
	Slices   int    `json:"slices"`
	InFlight uint32 `json:"in_flight"`
}

// IsHandedOver reports whether the VM owns no slices any more.
func (d DrainProgress) IsHandedOver() bool { return d.Slices == 0 }

// IsReady reports whether the VM can be stopped without interrupting a request.
func (d DrainProgress) IsReady() bool { return d.Slices == 0 && d.InFlight == 0 }

// Progress is the state of a stop in one cell, written by the cell's controller.
type Progress struct {
	ID   string          `json:"id"`
	Cell string          `json:"cell"`
	At   time.Time       `json:"at"`
	VMs  []DrainProgress `json:"vms"`
}

// ProgressKey returns the store key of the progress of a stop in a cell.
func ProgressKey(id, cell string) string { return ProgressPrefix + id + "/" + cell }

// Phase is the phase of a stop.
type Phase string

const (
	// Planned means that draining has not begun.
	Planned Phase = "planned"
	// Draining means that slices are being moved away.
	Draining Phase = "draining"
	// HandedOver means that no slices are left, but requests still run.
	HandedOver Phase = "handed over"
	// Ready means that the targets or VMs can be stopped without interrupting a request.
	Ready Phase = "ready"
	// Cancelled means that an operator cancelled the stop.
	Cancelled Phase = "cancelled"
)

// PhaseOf computes the phase of a stop from its progress in all affected cells; progress must not
// contain that of other stops. It is the earliest phase of any affected member.
func PhaseOf(s Stop, progress []Progress, members []Member, now time.Time) Phase {
	switch {
	case s.IsCancelled():
		return Cancelled
	case !s.IsDue(now):
		return Planned
	}
	phase := Ready
	for _, m := range members {
		if s.Scope.Includes(m) {
			phase = earlierPhase(phase, phaseOfVM(m, progress))
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

func (d DrainProgress) phase() Phase {
	switch {
	case d.IsReady():
		return Ready
	case d.IsHandedOver():
		return HandedOver
	default:
		return Draining
	}
}

func earlierPhase(a, b Phase) Phase {
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

// Decode decodes the stored form of a stop. It returns ErrMalformed if the value is not one.
func Decode(value []byte) (Stop, error) {
	var s Stop
	if err := json.Unmarshal(value, &s); err != nil {
		return Stop{}, errors.Mark(errors.Wrap(err, "decode planned stop"), ErrMalformed)
	}
	return s, nil
}

// DecodeProgress decodes the stored form of a progress. It returns ErrMalformed if the value is
// not one.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return Progress{}, errors.Mark(errors.Wrap(err, "decode progress of a planned stop"), ErrMalformed)
	}
	return p, nil
}
