// Package admission decides which requests run on a target, which wait and which are shed.
//
// The number of slots of a target limits its concurrency. Long requests may take only a share
// of the slots, and no single key may take all of them. Waiting requests are shed when their
// queue delay is too high or when they can no longer meet their deadline. Whether a class of
// requests is long is estimated from the time that earlier requests of the class took.
//
// A Queue reads no clock and starts no goroutine. The caller passes in the time as the offset
// of any monotonic clock and must serialize the calls.
package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPolicy reports settings that are out of bounds.
var ErrPolicy = errors.New("invalid admission policy")

// Discipline selects the rules of the queue.
type Discipline uint8

const (
	// Protected applies all rules of this package.
	Protected Discipline = iota
	// FirstCome serves requests in order of arrival and sheds only when the queue is full. It is
	// the baseline for measurements.
	FirstCome
)

// Policy holds the settings of a Queue.
type Policy struct {
	Discipline Discipline
	// LongShare is the share of the slots that long work may take, above 0 and up to 1. Long
	// work may always take at least one slot.
	LongShare float64
	// LongStartDelay is the time that long work must wait before it may take more than one slot,
	// in multiples of its expected time. Until then the other slots are left to short work. The
	// wait smooths bursts of long work, so that it holds a few slots steadily rather than many
	// slots at times.
	LongStartDelay float64
	// LongFactor is the multiple of the typical work time, the estimated median over all
	// classes, above which work is long.
	LongFactor float64
	// LongFloor is the work time up to which work is never long.
	LongFloor time.Duration
	// QueueLength is the maximum number of waiting requests, for long and short work each.
	QueueLength int
	// KeyShare is the share of the slots that one key may take while other keys wait, and its
	// share of the places in the queue.
	KeyShare float64
	// DelayTarget is the queue delay above which short work is shed during overload, in
	// multiples of the typical work time.
	DelayTarget float64
	// DelayInterval is how long the delay must stay above its target to count as overload, and
	// the queue delay above which short work is shed otherwise, in multiples of the typical
	// work time.
	DelayInterval float64
	// DelayFloor is the lower bound of the delay target. The interval grows with the target, so
	// that their ratio stays the same.
	DelayFloor time.Duration
	// Warmup is the time over which a new target's slots are ramped up; zero grants them all
	// at once.
	Warmup time.Duration
	// WarmupShare is the share of the slots that a new target has at the start of Warmup.
	WarmupShare float64
	// Pushback is how long one slot is withheld after the target has shed a request.
	Pushback time.Duration
}

// DefaultPolicy returns the settings that docs/design/load.md justifies.
func DefaultPolicy() Policy {
	return Policy{
		LongShare:      1.0 / 3,
		LongStartDelay: 2,
		LongFactor:     8,
		LongFloor:      20 * time.Millisecond,
		QueueLength:    256,
		KeyShare:       0.5,
		DelayTarget:    2,
		DelayInterval:  10,
		DelayFloor:     4 * time.Millisecond,
		Warmup:         0,
		WarmupShare:    1.0 / 3,
		Pushback:       time.Second,
	}
}

// BaselinePolicy returns a first-come, first-served policy whose queue is long enough that it
// sheds nothing in practice, for measurements.
func BaselinePolicy() Policy {
	return Policy{Discipline: FirstCome, QueueLength: 1 << 20}
}

// Check returns an error that wraps ErrPolicy and names the first setting out of bounds.
func (p Policy) Check() error {
	if p.QueueLength < 1 {
		return errors.Wrap(ErrPolicy, "queue length must be positive")
	}
	if p.Discipline == FirstCome {
		return nil
	}
	switch {
	case p.LongShare <= 0 || p.LongShare > 1:
		return errors.Wrap(ErrPolicy, "share of long work must be above 0 and at most 1")
	case p.LongStartDelay < 0:
		return errors.Wrap(ErrPolicy, "start delay of long work must not be negative")
	case p.LongFactor <= 1:
		return errors.Wrap(ErrPolicy, "factor of long work must be above 1")
	case p.KeyShare <= 0 || p.KeyShare > 1:
		return errors.Wrap(ErrPolicy, "share of one key must be above 0 and at most 1")
	case p.DelayTarget <= 0 || p.DelayInterval < p.DelayTarget || p.DelayFloor <= 0:
		return errors.Wrap(ErrPolicy, "delay target and floor must be positive, the target at most the interval")
	case p.WarmupShare <= 0 || p.WarmupShare > 1:
		return errors.Wrap(ErrPolicy, "warm-up share must be above 0 and at most 1")
	case p.Warmup < 0 || p.Pushback < 0 || p.LongFloor < 0:
		return errors.Wrap(ErrPolicy, "times must not be negative")
	}
	return nil
}
