// Package admission decides which requests a target works on, which wait and which are shed.
//
// The target's slots are the limit of concurrency. Long work may take only some of them, one
// key may not take all of them, and what waits is shed by its delay before its deadline makes
// the work useless. Which work is long is learned from how long it took.
//
// A Queue is pure: time is passed in as the offset of a clock of the user's choice, and the
// user serialises the calls.
package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPolicy reports settings that a Queue cannot work with.
var ErrPolicy = errors.New("invalid admission policy")

// Discipline selects the rules of the queue.
type Discipline uint8

const (
	// Protected applies all rules of this package.
	Protected Discipline = iota
	// FirstCome serves in order of arrival and sheds only when the queue is full. It is the
	// baseline of measurements.
	FirstCome
)

// Policy holds the settings of a Queue.
type Policy struct {
	Discipline Discipline
	// LongShare is the share of the slots that long work may take, above 0 and up to 1; at
	// least one slot in any case.
	LongShare float64
	// LongPatience is how long waiting long work leaves the slots beyond its first one to short
	// work, in multiples of its expected time. It smooths long work, so that it holds few slots
	// most of the time rather than many at some times.
	LongPatience float64
	// LongFactor is how many times the typical work time makes work long.
	LongFactor float64
	// LongFloor is the work time below which no work is long.
	LongFloor time.Duration
	// QueueLength bounds the waiting requests, long and short each.
	QueueLength int
	// KeyShare is the share of the slots that one key may take while others wait, and its
	// share of the places in the queue.
	KeyShare float64
	// DelayTarget is the queue delay that short work may have at overload, in multiples of the
	// typical work time.
	DelayTarget float64
	// DelayInterval is how long the delay must stay above its target to count as overload,
	// and the delay that short work may have otherwise, in multiples of the typical work time.
	DelayInterval float64
	// DelayFloor is the least delay target; the interval is kept as many times longer.
	DelayFloor time.Duration
	// Warmup is how long a new target takes to be given all its slots; zero gives them at once.
	Warmup time.Duration
	// WarmupShare is the share of the slots that a new target is given at once.
	WarmupShare float64
	// Pushback is how long a slot stays withheld after the target has shed a request.
	Pushback time.Duration
}

// DefaultPolicy returns the settings that docs/design/load.md justifies.
func DefaultPolicy() Policy {
	return Policy{
		LongShare:     1.0 / 3,
		LongPatience:  2,
		LongFactor:    8,
		LongFloor:     20 * time.Millisecond,
		QueueLength:   256,
		KeyShare:      0.5,
		DelayTarget:   2,
		DelayInterval: 10,
		DelayFloor:    4 * time.Millisecond,
		Warmup:        0,
		WarmupShare:   1.0 / 3,
		Pushback:      time.Second,
	}
}

// BaselinePolicy returns first come, first served without shedding, for measurements.
func BaselinePolicy() Policy {
	return Policy{Discipline: FirstCome, QueueLength: 1 << 20}
}

// Check returns ErrPolicy with the first setting that is out of bounds.
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
	case p.LongPatience < 0:
		return errors.Wrap(ErrPolicy, "patience of long work must not be negative")
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
