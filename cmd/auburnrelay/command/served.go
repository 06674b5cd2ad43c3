package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/fleetview"
	"github.com/auburnrelay/auburnrelay/cmd/auburnrelay/publish"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/sheet"
	"github.com/auburnrelay/auburnrelay/core/stop"
)

// checkServed prints each range of the offered sheet that no announced target may serve. It
// returns ErrRefused, unless forced, if the range's cell has targets, or if a target serves
// keys of the range under the old sheet: these would be left without a target. A cell that
// has no targets yet is not an error.
func (p *program) checkServed(ctx context.Context, publisher publish.Publisher, old, offered keyspace.Layout, force bool) error {
	records, err := fleetview.Cells(ctx, publisher.Store)
	if err != nil {
		return err
	}
	members := fleetview.Members(records)
	refused := 0
	for _, r := range stop.RangesWithoutTarget(offered, members) {
		_ = p.printf("line %d: no announced target may serve %s\n", r.Line, sheet.Describe(r))
		if hasTargets(r, members) || takesFromTarget(r, old, members) {
			refused++
		}
	}
	if refused > 0 && !force {
		return errors.Wrapf(ErrRefused, "%d ranges would have no target; repeat with --force if this is meant", refused)
	}
	return nil
}

// hasTargets reports whether any target may serve the range when its rule on targets is
// ignored.
func hasTargets(r keyspace.Range, members []stop.Member) bool {
	r.Targets = nil
	return hasReadyTarget(r, members)
}

// takesFromTarget reports whether a target serves keys of the range under the old sheet.
func takesFromTarget(r keyspace.Range, old keyspace.Layout, members []stop.Member) bool {
	for _, service := range old.Services {
		for _, former := range service.Ranges {
			if former.Overlaps(r) && hasReadyTarget(former, members) {
				return true
			}
		}
	}
	return false
}

func hasReadyTarget(r keyspace.Range, members []stop.Member) bool {
	for _, m := range members {
		if m.Ready && stop.MayServe(r, m) {
			return true
		}
	}
	return false
}
