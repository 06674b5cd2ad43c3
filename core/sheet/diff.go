package sheet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// ChangeKind says what a change does to a range.
type ChangeKind uint8

const (
	// Added is a range that only the new sheet contains.
	Added ChangeKind = iota + 1
	// Removed is a range that only the old sheet contains.
	Removed
	// Changed is a range that both sheets contain with different rules.
	Changed
)

// Change is one difference between two sheets.
type Change struct {
	Kind ChangeKind
	// Old and New are the range before and after the change. Old is empty for Added, New for
	// Removed.
	Old, New keyspace.Range
	// MovesOwners is set if the old range is keyed and is removed, becomes shared, moves to
	// another cell or gets other allowed targets, so that its keys may change owners.
	MovesOwners bool
}

// Diff lists the changes from one sheet to another.
type Diff struct {
	Changes []Change
	// Slices is the number of slices of keyed ranges in the old sheet, MovedSlices the number
	// of those in ranges whose change has MovesOwners set.
	Slices, MovedSlices int
}

// Empty reports whether the two sheets have the same ranges and rules.
func (d Diff) Empty() bool { return len(d.Changes) == 0 }

// MovedShare returns the share of the old sheet's slices that move, from zero to one.
func (d Diff) MovedShare() float64 {
	if d.Slices == 0 {
		return 0
	}
	return float64(d.MovedSlices) / float64(d.Slices)
}

// Compare returns the difference between two layouts, ordered by service and first key.
func Compare(old, updated keyspace.Layout) Diff {
	before, after := rangesByID(old), rangesByID(updated)
	var d Diff
	for _, r := range allRanges(old) {
		d.addOld(r, after)
	}
	for _, r := range allRanges(updated) {
		if _, known := before[r.ID()]; !known {
			d.Changes = append(d.Changes, Change{Kind: Added, New: r})
		}
	}
	slices.SortStableFunc(d.Changes, compareChanges)
	return d
}

func (d *Diff) addOld(r keyspace.Range, after map[keyspace.RangeID]keyspace.Range) {
	successor, kept := after[r.ID()]
	change := Change{Kind: Changed, Old: r, New: successor}
	change.MovesOwners = r.Kind == keyspace.Keyed && (!kept || movesOwners(r, successor))
	if !kept {
		change.Kind = Removed
	}
	if r.Kind == keyspace.Keyed {
		d.Slices += int(r.Slices)
	}
	if change.MovesOwners {
		d.MovedSlices += int(r.Slices)
	}
	if !kept || !sameRules(r, successor) {
		d.Changes = append(d.Changes, change)
	}
}

func movesOwners(old, updated keyspace.Range) bool {
	return old.Cell != updated.Cell || updated.Kind != keyspace.Keyed || !slices.Equal(old.Targets, updated.Targets)
}

func sameRules(old, updated keyspace.Range) bool {
	return old.Kind == updated.Kind && old.Region == updated.Region && old.Cell == updated.Cell &&
		slices.Equal(old.Targets, updated.Targets)
}

func rangesByID(l keyspace.Layout) map[keyspace.RangeID]keyspace.Range {
	byID := map[keyspace.RangeID]keyspace.Range{}
	for _, r := range allRanges(l) {
		byID[r.ID()] = r
	}
	return byID
}

func allRanges(l keyspace.Layout) []keyspace.Range {
	var all []keyspace.Range
	for _, service := range l.Services {
		all = append(all, service.Ranges...)
	}
	return all
}

func compareChanges(a, b Change) int {
	x, y := a.affected(), b.affected()
	if c := strings.Compare(x.Service, y.Service); c != 0 {
		return c
	}
	if c := strings.Compare(x.From, y.From); c != 0 {
		return c
	}
	return int(b.Kind) - int(a.Kind)
}

func (c Change) affected() keyspace.Range {
	if c.Kind == Added {
		return c.New
	}
	return c.Old
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + Describe(c.New)
	case Removed:
		return "- " + Describe(c.Old)
	default:
		return "~ " + Describe(c.Old) + " -> " + rules(c.New)
	}
}

// Describe returns a range with its rules as one line of text.
func Describe(r keyspace.Range) string {
	return fmt.Sprintf("%s %s [%s, %s) %s", r.Service, r.Kind, bound(r.From, "first"), bound(r.To, "last"), rules(r))
}

func rules(r keyspace.Range) string {
	text := fmt.Sprintf("region=%s cell=%s slices=%d", orAny(r.Region), orAny(r.Cell), r.Slices)
	if len(r.Targets) > 0 {
		text += " targets=" + strings.Join(r.Targets, "|")
	}
	return text
}

func bound(key, open string) string {
	if key == "" {
		return open
	}
	return fmt.Sprintf("%q", key)
}

func orAny(name string) string {
	if name == "" {
		return "any"
	}
	return name
}
