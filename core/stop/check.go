package stop

import (
	"fmt"
	"path"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// Unserved is a range that would have no target left after a stop.
type Unserved struct{ Range keyspace.Range }

// String returns the range as one line of text.
func (u Unserved) String() string {
	return fmt.Sprintf("line %d: %s [%q, %q) in cell %q would have no target", u.Range.Line, u.Range.Service,
		u.Range.From, u.Range.To, u.Range.Cell)
}

// Check returns the ranges that have a target now and would have none after the planned stop
// and all other stops that are not cancelled.
func Check(planned Stop, others []Stop, layout keyspace.Layout, members []Member) []Unserved {
	var unserved []Unserved
	for _, r := range rangesOf(layout) {
		now := remaining(r, nil, members)
		afterStop := remaining(r, append([]Stop{planned}, others...), members)
		if now > 0 && afterStop == 0 {
			unserved = append(unserved, Unserved{Range: r})
		}
	}
	return unserved
}

// RangesWithoutTarget returns the ranges that no ready member may serve.
func RangesWithoutTarget(layout keyspace.Layout, members []Member) []keyspace.Range {
	var ranges []keyspace.Range
	for _, r := range rangesOf(layout) {
		if remaining(r, nil, members) == 0 {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// remaining counts the ready members that may serve the range and are not affected by a stop.
func remaining(r keyspace.Range, stops []Stop, members []Member) int {
	count := 0
	for _, m := range members {
		if m.Ready && MayServe(r, m) && !isStopped(stops, m) {
			count++
		}
	}
	return count
}

func isStopped(stops []Stop, m Member) bool {
	return slices.ContainsFunc(stops, func(s Stop) bool { return !s.IsCancelled() && s.Scope.Includes(m) })
}

// MayServe reports whether the region, cell and target patterns of the range allow the member
// to serve it.
func MayServe(r keyspace.Range, m Member) bool {
	if r.Region != "" && r.Region != m.Region {
		return false
	}
	if r.Cell != "" && r.Cell != m.Cell {
		return false
	}
	if len(r.Targets) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Targets, func(pattern string) bool {
		matched, err := path.Match(pattern, m.Name)
		return err == nil && matched
	})
}

func rangesOf(l keyspace.Layout) []keyspace.Range {
	var all []keyspace.Range
	for _, service := range l.Services {
		all = append(all, service.Ranges...)
	}
	return all
}

// Effective returns the stops that a check must take into account: those that are not cancelled
// and are either not due yet or still affect a member that was not replaced.
func Effective(stops []Stop, progress []Progress, members []Member, now time.Time) []Stop {
	var kept []Stop
	for _, s := range stops {
		finished := s.IsDue(now) && !slices.ContainsFunc(members, func(m Member) bool {
			return s.Scope.Includes(m) && !isReplaced(s, progress, m)
		})
		if !s.IsCancelled() && !finished {
			kept = append(kept, s)
		}
	}
	return kept
}
