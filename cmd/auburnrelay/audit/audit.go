// Package audit reads the account, the monthly record of request outcomes, from the store.
// It verifies the account's segments and sums up their counts.
package audit

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/sheet"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// cellsPrefix is the prefix of the keys of cell records.
	cellsPrefix = "cells/"
	// Segments are listed in blocks of blockSize, by a prefix without the last blockDigits
	// digits of the segment number.
	blockDigits = 2
	blockSize   = 100
	// maxMonthsAhead limits the search for the next month with segments.
	maxMonthsAhead = 13
)

// ErrMonth reports a malformed month.
var ErrMonth = errors.New("not a month such as 2026-11")

// Cell is the result of auditing one month of a cell.
type Cell struct {
	Name     string              `json:"name"`
	Segments uint64              `json:"segments"`
	Faults   []account.Fault     `json:"faults"`
	Gaps     []account.MarkedGap `json:"gaps"`
	rows     []account.Row
}

// Month is the account of one month over all cells.
type Month struct {
	Month string        `json:"month"`
	Rows  []account.Row `json:"rows"`
	Cells []Cell        `json:"cells"`
}

// Faults returns the faults of all cells.
func (m Month) Faults() []account.Fault {
	var all []account.Fault
	for _, c := range m.Cells {
		all = append(all, c.Faults...)
	}
	return all
}

// Reader reads the account from a store.
type Reader struct {
	Store objects.Store
	Now   func() time.Time
}

// Read returns the account of a month, such as "2026-11", over all cells that have a record
// or are named in the accepted sheet. It returns ErrMonth for a malformed month, an error
// for a malformed accepted sheet, or the store's error. Faults of segments are not errors;
// they are part of the result.
func (r Reader) Read(ctx context.Context, month string) (Month, error) {
	start, err := time.Parse(account.MonthFormat, month)
	if err != nil {
		return Month{}, errors.Wrapf(ErrMonth, "%q", month)
	}
	names, err := r.cellNames(ctx)
	if err != nil {
		return Month{}, err
	}
	m := Month{Month: month}
	var rows [][]account.Row
	for _, name := range names {
		c, err := r.auditCell(ctx, name, start)
		if err != nil {
			return Month{}, errors.Wrapf(err, "cell %s", name)
		}
		m.Cells = append(m.Cells, c)
		rows = append(rows, c.rows)
	}
	m.Rows = account.MergeRows(rows...)
	return m, nil
}

// cellNames returns the sorted names of the cells with a record and of those in the accepted sheet.
func (r Reader) cellNames(ctx context.Context) ([]string, error) {
	listing, err := r.Store.List(ctx, cellsPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the cells")
	}
	var names []string
	for _, object := range listing.Objects {
		if record, err := cell.DecodeRecord(object.Value); err == nil {
			names = append(names, record.Cell)
		}
	}
	inSheet, err := r.sheetCellNames(ctx)
	if err != nil {
		return nil, err
	}
	names = append(names, inSheet...)
	slices.Sort(names)
	return slices.Compact(names), nil
}

func (r Reader) sheetCellNames(ctx context.Context) ([]string, error) {
	object, err := r.Store.Get(ctx, sheet.KeyCurrent)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the accepted sheet")
	}
	current, err := sheet.DecodeStoredSheet(object.Value, int64(object.Version))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, service := range current.Layout.Services {
		for _, rng := range service.Ranges {
			if rng.Cell != "" {
				names = append(names, rng.Cell)
			}
		}
	}
	return names, nil
}

func (r Reader) auditCell(ctx context.Context, name string, start time.Time) (Cell, error) {
	month := account.MonthOf(start)
	previous, err := r.previousSegment(ctx, name, month)
	if err != nil {
		return Cell{}, err
	}
	next, err := r.nextLink(ctx, name, start)
	if err != nil {
		return Cell{}, err
	}
	a := account.NewAudit(name, month, previous)
	if err := r.addSegments(ctx, a, name, month, next.ID.Number); err != nil {
		return Cell{}, err
	}
	a.End(next)
	return Cell{Name: name, Segments: a.Segments(), Faults: a.Faults(), Gaps: a.Gaps(), rows: a.Rows()}, nil
}

// addSegments adds the month's segments to the audit. last is the number of the month's last
// segment, or zero if it is not known. addSegments stops at the first empty block beyond last.
func (r Reader) addSegments(ctx context.Context, a *account.Audit, name, month string, last uint64) error {
	prefix := account.MonthPrefix(name, month)
	for block := uint64(0); ; block++ {
		listing, err := r.Store.List(ctx, blockPrefix(name, month, block))
		if err != nil {
			return errors.Wrap(err, "list segments")
		}
		for _, object := range listing.Objects {
			number, err := strconv.ParseUint(strings.TrimPrefix(object.Key, prefix), 10, 64)
			if err == nil {
				a.Add(number, object.Value)
			}
		}
		if len(listing.Objects) == 0 && (block+1)*blockSize > last {
			return nil
		}
	}
}

func blockPrefix(name, month string, block uint64) string {
	first := account.ID{Cell: name, Month: month, Number: block * blockSize}.Key()
	return first[:len(first)-blockDigits]
}

// previousSegment returns the segment before the month's first one, or nil if there is none or it
// is malformed.
func (r Reader) previousSegment(ctx context.Context, name, month string) (*account.Sealed, error) {
	first, err := r.readSegment(ctx, account.ID{Cell: name, Month: month, Number: 1})
	if err != nil || first == nil || first.Previous == nil {
		return nil, err
	}
	return r.readSegment(ctx, first.Previous.ID)
}

// nextLink returns the link to the previous segment from the first segment of the next month that
// has segments, or the zero link if there is none up to now or within maxMonthsAhead months.
func (r Reader) nextLink(ctx context.Context, name string, start time.Time) (account.Link, error) {
	for ahead := 1; ahead <= maxMonthsAhead; ahead++ {
		month := start.AddDate(0, ahead, 0)
		if month.After(r.Now()) {
			break
		}
		first, err := r.readSegment(ctx, account.ID{Cell: name, Month: account.MonthOf(month), Number: 1})
		if err != nil {
			return account.Link{}, err
		}
		if first != nil && first.Previous != nil {
			return *first.Previous, nil
		}
	}
	return account.Link{}, nil
}

// readSegment returns a segment, or nil if it does not exist or is malformed.
func (r Reader) readSegment(ctx context.Context, id account.ID) (*account.Sealed, error) {
	object, err := r.Store.Get(ctx, id.Key())
	if errors.Is(err, objects.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read segment %s", id)
	}
	sealed, err := account.Unseal(object.Value)
	if err != nil {
		return nil, nil //nolint:nilerr // The audit of the segment's own month reports it.
	}
	return &sealed, nil
}

// DescribeGap describes a gap, a range of counts that may be missing, in one line of text.
func DescribeGap(g account.MarkedGap) string {
	until := ""
	if g.Before > 0 {
		until = fmt.Sprintf(" and before report %d", g.Before)
	}
	return fmt.Sprintf("node %s, process %d: counts after report %d (%s)%s may be missing: %s; marked by segment %s",
		g.Node, g.Incarnation, g.After, g.Since.UTC().Format(time.RFC3339), until, g.Reason, g.Segment)
}
