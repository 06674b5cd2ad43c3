// Package publish replaces the accepted sheet in the store, and reads the accepted sheet and
// those before it.
//
// A sheet is first stored under a key of its own below sheet/history/ and then written to
// sheet/current by a conditional write, so only one of several operators who start from the
// same version succeeds. If the store's answer to a write is lost, the write id or the
// history key of the stored object shows whether the write took effect.
package publish

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/sheet"
	"github.com/auburnrelay/auburnrelay/objects"
)

var (
	// ErrNoSheet reports that no sheet was accepted yet, or none with the requested version.
	ErrNoSheet = errors.New("no such sheet")
	// ErrRaced reports that another sheet was accepted after the version on which the
	// operator's sheet is based.
	ErrRaced = errors.New("another sheet was accepted meanwhile")
	// ErrUnresolved reports that the sheet may have been accepted or may still be.
	ErrUnresolved = errors.New("it is not known whether the sheet was accepted")
)

// Accepted is an accepted sheet with its version in the store; the zero value means no sheet.
type Accepted struct {
	sheet.StoredSheet
	Version objects.Version
}

// Offer is a sheet submitted by an operator.
type Offer struct {
	CSV []byte
	// Layout is the result of parsing CSV.
	Layout keyspace.Layout
	// Who is the operator's name, and When the time by the operator's clock.
	Who  string
	When time.Time
	// ID is unique to the offer; ids sort by time.
	ID string
	// Base is the accepted sheet that the offer is based on and replaces.
	Base Accepted
}

// Publisher reads and writes sheets.
type Publisher struct {
	Store objects.Store
	// Pause waits before a retry of a store call; it returns an error when ctx ends. try is the
	// number of attempts so far.
	Pause func(ctx context.Context, try int) error
}

// Current returns the accepted sheet, or ErrNoSheet if there is none.
func (p Publisher) Current(ctx context.Context) (Accepted, error) {
	object, err := p.get(ctx, sheet.KeyCurrent)
	if errors.Is(err, objects.ErrNotFound) {
		return Accepted{}, ErrNoSheet
	}
	if err != nil {
		return Accepted{}, errors.Wrap(err, "read the accepted sheet")
	}
	return decode(object.Value, object.Version)
}

// Previous returns the accepted sheet that was replaced by a, or ErrNoSheet if a was the first.
func (p Publisher) Previous(ctx context.Context, a Accepted) (Accepted, error) {
	if a.BaseHistoryKey == "" {
		return Accepted{}, ErrNoSheet
	}
	object, err := p.get(ctx, a.BaseHistoryKey)
	if err != nil {
		return Accepted{}, errors.Wrapf(err, "read %s", a.BaseHistoryKey)
	}
	return decode(object.Value, objects.Version(a.BaseVersion))
}

// Publish replaces the accepted sheet by the offer. It returns ErrRaced, ErrUnresolved or the
// store's error. If the offer has the same text as the sheet it is based on, Publish changes
// nothing and returns that sheet.
func (p Publisher) Publish(ctx context.Context, o Offer) (Accepted, error) {
	offered := o.storedSheet()
	if o.Base.Version != 0 && o.Base.Digest == offered.Digest {
		return o.Base, nil
	}
	value, err := offered.Encode()
	if err != nil {
		return Accepted{}, errors.Wrap(err, "encode the sheet")
	}
	if _, err := p.Put(ctx, offered.HistoryKey, value, 0, o.ID); err != nil {
		return Accepted{}, errors.Wrap(err, "write the sheet's history entry; the sheet was not accepted")
	}
	version, err := p.writeCurrent(ctx, offered, value, o)
	if errors.Is(err, ErrRaced) {
		p.discard(ctx, offered.HistoryKey)
	}
	if err != nil {
		return Accepted{}, err
	}
	return decode(value, version)
}

func (o Offer) storedSheet() sheet.StoredSheet {
	number := o.Base.Number + 1
	return sheet.StoredSheet{
		CSV:            string(o.CSV),
		Layout:         o.Layout,
		Who:            o.Who,
		When:           o.When,
		Digest:         sheet.Digest(o.CSV),
		Number:         number,
		HistoryKey:     fmt.Sprintf("%s%08d-%s", sheet.HistoryPrefix, number, o.ID),
		BaseVersion:    int64(o.Base.Version),
		BaseHistoryKey: o.Base.HistoryKey,
	}
}

// writeCurrent writes the offered sheet to sheet/current. It repeats the same conditional write
// until it is known whether this sheet or another one replaced the base version (at most one
// can), the error cannot be retried or Pause fails.
func (p Publisher) writeCurrent(ctx context.Context, offered sheet.StoredSheet, value []byte, o Offer) (objects.Version, error) {
	inDoubt := false
	for try := 1; ; try++ {
		version, err := p.Store.Put(ctx, sheet.KeyCurrent, value, o.Base.Version, o.ID)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, objects.ErrConflict):
			return p.resolve(ctx, offered)
		case errors.Is(err, objects.ErrUnknownOutcome):
			inDoubt = true
			if p.isReplaced(ctx, o.Base.Version) {
				return p.resolve(ctx, offered)
			}
		case !isRetryable(err):
			return 0, errors.Wrap(err, "write the sheet; it was not accepted")
		}
		if p.Pause(ctx, try) != nil {
			return 0, unfinishedError(err, inDoubt)
		}
	}
}

// isReplaced reports whether the accepted sheet is known to have a version other than base.
func (p Publisher) isReplaced(ctx context.Context, base objects.Version) bool {
	object, err := p.Store.Get(ctx, sheet.KeyCurrent)
	return err == nil && object.Version != base
}

// unfinishedError returns the error of writeCurrent when it stops retrying after err. inDoubt is set
// if any attempt may have taken effect.
func unfinishedError(err error, inDoubt bool) error {
	if inDoubt {
		return errors.Mark(errors.Wrap(err, "write the sheet; it may have been accepted, apply it again to find out"), ErrUnresolved)
	}
	return errors.Wrap(err, "write the sheet; it was not accepted")
}

// resolve determines, after the accepted sheet was replaced, whether the offered sheet was
// accepted, by following the accepted sheets back to the offered sheet's number. It returns the
// offered sheet's version, or ErrRaced if another sheet has the number.
func (p Publisher) resolve(ctx context.Context, offered sheet.StoredSheet) (objects.Version, error) {
	accepted, err := p.Current(ctx)
	for err == nil && accepted.Number > offered.Number {
		accepted, err = p.Previous(ctx, accepted)
	}
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "read the accepted sheet; yours may have been accepted, apply it again to find out"), ErrUnresolved)
	}
	if accepted.HistoryKey != offered.HistoryKey {
		return 0, ErrRaced
	}
	return accepted.Version, nil
}

// discard deletes the history entry of a sheet that cannot be accepted any more. If the store
// fails, the entry remains; this is harmless because no accepted sheet refers to it.
func (p Publisher) discard(ctx context.Context, key string) {
	object, err := p.Store.Get(ctx, key)
	if err == nil {
		_ = p.Store.Delete(ctx, key, object.Version)
	}
}

func (p Publisher) get(ctx context.Context, key string) (objects.Object, error) {
	for try := 1; ; try++ {
		object, err := p.Store.Get(ctx, key)
		if err == nil || !isRetryable(err) || p.Pause(ctx, try) != nil {
			return object, err
		}
	}
}

// Get reads an object. It retries while the store is unavailable, until Pause fails.
func (p Publisher) Get(ctx context.Context, key string) (objects.Object, error) {
	return p.get(ctx, key)
}

// Put writes an object if its version in the store is the expected one. id must be unique to the
// write: it shows whether a write whose answer was lost took effect. Put repeats the same
// conditional write until the outcome is known, the error cannot be retried or Pause fails. It
// returns objects.ErrConflict if another write came first.
func (p Publisher) Put(ctx context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	inDoubt := false
	for try := 1; ; try++ {
		version, err := p.Store.Put(ctx, key, value, expected, id)
		inDoubt = inDoubt || errors.Is(err, objects.ErrUnknownOutcome)
		if inDoubt && err != nil {
			if stored, getErr := p.Store.Get(ctx, key); getErr == nil && stored.WriteID == id {
				return stored.Version, nil
			}
		}
		if err == nil || !isRetryable(err) || p.Pause(ctx, try) != nil {
			return version, err
		}
	}
}

func isRetryable(err error) bool {
	return errors.IsAny(err, objects.ErrUnavailable, objects.ErrUnknownOutcome, objects.ErrBudgetExhausted)
}

func decode(value []byte, version objects.Version) (Accepted, error) {
	stored, err := sheet.DecodeStoredSheet(value, int64(version))
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{StoredSheet: stored, Version: version}, nil
}
