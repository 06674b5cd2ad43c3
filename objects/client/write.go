package client

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// Put implements objects.Store. The write id must be unique to this change of the object: after a
// lost response, Put reads the object back and recognizes its own write by the id. Retrying is safe
// because at most one attempt can find the object at the expected version.
//
// ErrUnavailable means that nothing was written. ErrUnknownOutcome means that the deadline passed
// before the outcome was known or, with ErrSuperseded, that another write has changed the object.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	w := conditionalWrite{client: c, key: key, expected: expected, kind: callPut}
	w.do = func(ctx context.Context) (objects.Version, error) {
		return c.store.Put(ctx, key, value, expected, writeID)
	}
	w.tookEffect = func(object objects.Object) bool {
		return object.Version != 0 && writeID != "" && object.WriteID == writeID
	}
	return w.run(ctx)
}

// Delete implements objects.Store. If a response was lost and the object no longer exists, Delete
// succeeds, even if another writer deleted the object.
func (c *Client) Delete(ctx context.Context, key string, expected objects.Version) error {
	w := conditionalWrite{client: c, key: key, expected: expected, kind: callDelete}
	w.do = func(ctx context.Context) (objects.Version, error) {
		return 0, c.store.Delete(ctx, key, expected)
	}
	w.tookEffect = func(object objects.Object) bool { return object.Version == 0 }
	_, err := w.run(ctx)
	return err
}

// conditionalWrite is one conditional write and its retries.
type conditionalWrite struct {
	client   *Client
	key      string
	expected objects.Version
	kind     callKind
	do       func(context.Context) (objects.Version, error)
	// tookEffect reports whether the object shows that the write took effect. The object has version
	// zero if it does not exist.
	tookEffect func(objects.Object) bool
	// inDoubt is set after an attempt that may have taken effect or may still do so.
	inDoubt bool
}

func (w *conditionalWrite) run(ctx context.Context) (objects.Version, error) {
	ctx, cancel := w.client.withDeadline(ctx)
	defer cancel()
	retry := w.client.newRetryState()
	for {
		version, err := attemptCall(ctx, w.client, w.kind, retry, w.do)
		if errors.Is(err, objects.ErrUnknownOutcome) {
			w.inDoubt = true
		}
		if w.inDoubt && err != nil {
			version, err = w.resolve(ctx, retry, err)
		}
		if !isRetryable(err) {
			return version, err
		}
		if retry.pause(ctx) != nil {
			return 0, w.deadlineError(err)
		}
	}
}

// errUnresolved reports that the object is unchanged, and that the write may still take effect.
var errUnresolved = errors.New("object unchanged, the write may still take effect")

func isRetryable(err error) bool {
	return errors.IsAny(err, errUnresolved, objects.ErrUnavailable)
}

// resolve determines the outcome of a write in doubt by reading the object back.
func (w *conditionalWrite) resolve(ctx context.Context, retry *retryState, cause error) (objects.Version, error) {
	object, err := attemptCall(ctx, w.client, callGet, retry, func(ctx context.Context) (objects.Object, error) {
		return w.client.store.Get(ctx, w.key)
	})
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return 0, w.readBackError(err)
	}
	switch {
	case w.tookEffect(object):
		w.client.metrics.resolved(w.kind)
		return object.Version, nil
	case w.isUnchanged(object):
		return 0, errors.Wrapf(errUnresolved, "key %q: %v", w.key, cause)
	default:
		superseded := errors.Wrapf(ErrSuperseded, "key %q: version %d: %v", w.key, object.Version, cause)
		return 0, errors.Mark(superseded, objects.ErrUnknownOutcome)
	}
}

// isUnchanged reports whether the object is at the expected version, or at an older one, which a
// lagging replica of the store may return.
func (w *conditionalWrite) isUnchanged(object objects.Object) bool {
	return object.Version == w.expected || 0 < object.Version && object.Version < w.expected
}

// readBackError returns the result of a failed read-back. It is retried only if the store is
// unavailable; otherwise the outcome of the write is unknown.
func (w *conditionalWrite) readBackError(err error) error {
	if errors.Is(err, objects.ErrUnavailable) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "read back the object of a write in doubt"), objects.ErrUnknownOutcome)
}

// deadlineError returns the result after the deadline. It is never ErrUnavailable if the write is
// in doubt.
func (w *conditionalWrite) deadlineError(err error) error {
	if !w.inDoubt {
		return err
	}
	return errors.Wrapf(objects.ErrUnknownOutcome, "key %q: deadline passed with the write in doubt: %v", w.key, err)
}
