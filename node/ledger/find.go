package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/objects"
)

// maxMonthsSearched is the number of months that are searched for the cell's last segment, from the
// next month backwards.
const maxMonthsSearched = 13

// finder searches for the last segment of a cell.
type finder struct {
	store objects.Store
	cell  string
	// known is a segment that is known to be in the store; the zero ID if there is none.
	known account.ID
}

// last returns the cell's last segment, or nil if it has none.
func (f finder) last(ctx context.Context, now time.Time) (*account.Sealed, error) {
	month := time.Date(now.UTC().Year(), now.UTC().Month()+1, 1, 0, 0, 0, 0, time.UTC)
	for range maxMonthsSearched {
		first := uint64(1)
		if account.MonthOf(month) == f.known.Month {
			first = f.known.Number
		}
		found, err := f.lastOf(ctx, account.MonthOf(month), first)
		if found != nil || err != nil {
			return found, err
		}
		month = month.AddDate(0, -1, 0)
	}
	return nil, nil
}

// lastOf returns the last segment of a month, searching from number on, or nil if that segment
// does not exist. As numbers have no gaps, it uses an exponential and then a binary search.
func (f finder) lastOf(ctx context.Context, month string, number uint64) (*account.Sealed, error) {
	found, err := f.get(ctx, month, number)
	if found == nil || err != nil {
		return nil, err
	}
	present, absent := number, uint64(0)
	for step := uint64(1); absent == 0 || absent-present > 1; {
		probe := present + step
		if absent > 0 {
			probe = present + (absent-present)/2
		}
		next, err := f.get(ctx, month, probe)
		if err != nil {
			return nil, err
		}
		if next == nil {
			absent = probe
			continue
		}
		found, present = next, probe
		step *= 2
	}
	return found, nil
}

func (f finder) get(ctx context.Context, month string, number uint64) (*account.Sealed, error) {
	id := account.ID{Cell: f.cell, Month: month, Number: number}
	object, err := f.store.Get(ctx, id.Key())
	if errors.Is(err, objects.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read segment %s", id)
	}
	sealed, err := account.Unseal(object.Value)
	return &sealed, errors.Wrapf(err, "decode segment %s", id)
}
