// Package ratelimit follows the limits that targets name in their answers and paces requests to them.
//
// Nothing here reads a clock or locks: times are passed in, and the caller must serialize the calls.
package ratelimit

import (
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
)

// Statement is what an answer of a target says about its limit.
type Statement uint8

const (
	// Silent means that the answer shows neither that the target has a limit nor that it has none.
	Silent Statement = iota
	// Named means that the answer names a limit.
	Named
	// Ended means that the target answers without a limit.
	Ended
)

// Limit is the number of requests per second that a target takes from all nodes together.
type Limit struct {
	PerSecond float64
	// Valid is set if the target has a limit.
	Valid bool
}

// Tracker follows the limit of one target process.
type Tracker struct {
	process exchange.TargetProcess
	limit   Limit
	// namedAt is when an answer last named a limit.
	namedAt time.Duration
	// observed is set once an answer of the process has made a statement. Reports of other nodes are
	// older than that and are ignored from then on.
	observed bool
}

// Limit returns the limit of the process; it is not valid for any other process than the last one
// observed.
func (t *Tracker) Limit(p exchange.TargetProcess) Limit {
	if p != t.process {
		return Limit{}
	}
	return t.limit
}

// Observe records the statement of an answer that is received now to a request sent at sentAt.
// Answers are received in any order: one to a request that was sent before the limit was last named
// can lower the limit, but neither raise nor end it. Observe reports whether the limit changed.
func (t *Tracker) Observe(p exchange.TargetProcess, sentAt, now time.Duration, s Statement, perSecond float64) bool {
	t.follow(p)
	before := t.limit
	overtaken := t.limit.Valid && sentAt < t.namedAt
	switch s {
	case Named:
		if !overtaken || perSecond < t.limit.PerSecond {
			t.limit = Limit{PerSecond: perSecond, Valid: true}
		}
		t.namedAt, t.observed = now, true
	case Ended:
		if !overtaken {
			t.limit = Limit{}
		}
		t.observed = true
	case Silent:
	}
	return t.limit != before
}

// Report records the limit that another node knows from earlier answers. It counts only until this
// node receives an answer of the process. Report reports whether the limit changed.
func (t *Tracker) Report(p exchange.TargetProcess, limit Limit) bool {
	t.follow(p)
	if t.observed || !limit.Valid || limit == t.limit {
		return false
	}
	t.limit = limit
	return true
}

// follow forgets the former process when p is another one.
func (t *Tracker) follow(p exchange.TargetProcess) {
	if t.process != p {
		*t = Tracker{process: p}
	}
}
