// Package publish makes a sheet the accepted one, and reads accepted sheets back.
//
// A sheet is first written under a key of its own below sheet/history/; then one
// conditional write names it in sheet/current. Of several operators who start from the
// same version one wins. A lost answer is resolved by the id of the write.
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
	// ErrNoSheet reports that no sheet was ever accepted, or none of the asked version.
	ErrNoSheet = errors.New("no such sheet")
	// ErrRaced reports that another sheet was accepted after the version that the
	// operator saw.
	ErrRaced = errors.New("another sheet was accepted meanwhile")
	// ErrUnresolved reports that the sheet may or may not become accepted.
	ErrUnresolved = errors.New("it is not known whether the sheet was accepted")
)

// Accepted is an accepted sheet with its version; the zero value stands for none.
type Accepted struct {
	sheet.Object
	Version objects.Version
}

// Offer is a sheet that an operator wants to be accepted.
type Offer struct {
	CSV    []byte
	Layout keyspace.Layout
	Who    string
	When   time.Time
	// ID is fresh for each offer and sorts by time.
	ID string
	// Seen is the accepted sheet from which the operator worked.
	Seen Accepted
}

// Publisher reads and writes sheets.
type Publisher struct {
	Store objects.Store
	// Pause waits before a call is tried again; it fails when ctx ends.
	Pause func(ctx context.Context, try int) error
}

// Current returns the accepted sheet. It fails with ErrNoSheet when there is none.
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

// Before returns the accepted sheet that a replaced. It fails with ErrNoSheet when a was
// the first.
func (p Publisher) Before(ctx context.Context, a Accepted) (Accepted, error) {
	if a.BaseHistoryKey == "" {
		return Accepted{}, ErrNoSheet
	}
	object, err := p.get(ctx, a.BaseHistoryKey)
	if err != nil {
		return Accepted{}, errors.Wrapf(err, "read %s", a.BaseHistoryKey)
	}
	return decode(object.Value, objects.Version(a.BaseVersion))
}

// Publish makes the offer the accepted sheet. It fails with ErrRaced, ErrUnresolved or
// the store's errors. When the accepted sheet has the offer's text already it changes
// nothing and returns that sheet.
func (p Publisher) Publish(ctx context.Context, o Offer) (Accepted, error) {
	offered := o.object()
	if o.Seen.Version != 0 && o.Seen.Digest == offered.Digest {
		return o.Seen, nil
	}
	value, err := offered.Encode()
	if err != nil {
		return Accepted{}, errors.Wrap(err, "encode the sheet")
	}
	if _, err := p.Put(ctx, offered.HistoryKey, value, 0, o.ID); err != nil {
		return Accepted{}, errors.Wrap(err, "write the sheet's history; nothing was accepted")
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

func (o Offer) object() sheet.Object {
	number := o.Seen.Number + 1
	return sheet.Object{
		CSV:            string(o.CSV),
		Layout:         o.Layout,
		Who:            o.Who,
		When:           o.When,
		Digest:         sheet.Digest(o.CSV),
		Number:         number,
		HistoryKey:     fmt.Sprintf("%s%08d-%s", sheet.HistoryPrefix, number, o.ID),
		BaseVersion:    int64(o.Seen.Version),
		BaseHistoryKey: o.Seen.HistoryKey,
	}
}

// writeCurrent names the sheet in sheet/current. The same conditional write is sent until
// it is known which sheet followed the seen version: at most one can.
func (p Publisher) writeCurrent(ctx context.Context, offered sheet.Object, value []byte, o Offer) (objects.Version, error) {
	inDoubt := false
	for try := 1; ; try++ {
		version, err := p.Store.Put(ctx, sheet.KeyCurrent, value, o.Seen.Version, o.ID)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, objects.ErrConflict):
			return p.resolve(ctx, offered)
		case errors.Is(err, objects.ErrUnknownOutcome):
			inDoubt = true
			if p.hasMoved(ctx, o.Seen.Version) {
				return p.resolve(ctx, offered)
			}
		case !mayRetry(err):
			return 0, errors.Wrap(err, "write the sheet; nothing was accepted")
		}
		if p.Pause(ctx, try) != nil {
			return 0, gaveUp(err, inDoubt)
		}
	}
}

// hasMoved reports whether the accepted sheet is known not to be the seen one any more.
func (p Publisher) hasMoved(ctx context.Context, seen objects.Version) bool {
	object, err := p.Store.Get(ctx, sheet.KeyCurrent)
	return err == nil && object.Version != seen
}

func gaveUp(err error, inDoubt bool) error {
	if inDoubt {
		return errors.Mark(errors.Wrap(err, "write the sheet"), ErrUnresolved)
	}
	return errors.Wrap(err, "write the sheet; nothing was accepted")
}

// resolve finds out, after the version has moved, whether the offered sheet is among the
// accepted ones.
func (p Publisher) resolve(ctx context.Context, offered sheet.Object) (objects.Version, error) {
	accepted, err := p.Current(ctx)
	for err == nil && accepted.Number > offered.Number {
		accepted, err = p.Before(ctx, accepted)
	}
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "find out which sheet was accepted"), ErrUnresolved)
	}
	if accepted.HistoryKey != offered.HistoryKey {
		return 0, ErrRaced
	}
	return accepted.Version, nil
}

// discard removes the copy of a sheet that can no longer be accepted. It stays behind
// when the store does not answer; no accepted sheet refers to it.
func (p Publisher) discard(ctx context.Context, key string) {
	object, err := p.Store.Get(ctx, key)
	if err == nil {
		_ = p.Store.Delete(ctx, key, object.Version)
	}
}

func (p Publisher) get(ctx context.Context, key string) (objects.Object, error) {
	for try := 1; ; try++ {
		object, err := p.Store.Get(ctx, key)
		if err == nil || !mayRetry(err) || p.Pause(ctx, try) != nil {
			return object, err
		}
	}
}

// Get reads an object and tries again while the store cannot be reached.
func (p Publisher) Get(ctx context.Context, key string) (objects.Object, error) {
	return p.get(ctx, key)
}

// Put writes an object under an id that no other write has. It sends the same conditional
// write until its end is known. It fails with objects.ErrConflict when another write came
// first.
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
		if err == nil || !mayRetry(err) || p.Pause(ctx, try) != nil {
			return version, err
		}
	}
}

func mayRetry(err error) bool {
	return errors.IsAny(err, objects.ErrUnavailable, objects.ErrUnknownOutcome, objects.ErrBudgetExhausted)
}

func decode(value []byte, version objects.Version) (Accepted, error) {
	object, err := sheet.DecodeObject(value, int64(version))
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Object: object, Version: version}, nil
}
