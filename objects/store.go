// Package objects defines the interface to the platform's object store.
//
// The store keeps named objects of at most MaxValueBytes. Versions come from a single counter that
// is incremented by every change to any object, so the versions of each object increase
// monotonically, also when the store loses changes (see Version). All shared and persistent state of
// the system goes through Store.
package objects

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size limit of a value, in bytes. The platform's store accepts objects of up
// to 1 MB, and values are stored in base64, which adds a third.
const MaxValueBytes = 760 << 10

var (
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object is not at the expected version; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnknownOutcome reports a write that may or may not have taken effect, or may still do so.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrUnavailable reports that the store could not be reached; nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrTooLarge reports a value larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrBudgetExhausted reports that the process has exhausted its call budget.
	ErrBudgetExhausted = errors.New("store call budget exhausted")
)

// Object is a stored value with its version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	// WriteID is the id that the writer of this version passed to Put.
	WriteID string
}

// Listing is the state of all objects with a key prefix at one version.
type Listing struct {
	Objects []Object
	// Version is the store's version of the listing; a watch from it misses no later change.
	Version Version
}

// Event is a change reported by a watch.
type Event struct {
	Object  Object
	Deleted bool
}

// Batch is the result of one poll.
type Batch struct {
	Events []Event
	// Next is the version to pass to the next poll.
	Next Version
	// Reset means that the store no longer keeps the changes since the requested version. The
	// events then hold the complete current state below the prefix.
	Reset bool
}

// Store is the interface to the platform's object store.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object is at the expected version; zero means that it must not
	// exist. It returns the new version, ErrConflict, or ErrUnknownOutcome if the response was
	// lost.
	Put(ctx context.Context, key string, value []byte, expected Version, writeID string) (Version, error)
	// Delete removes the object if it is at the expected version. It fails with ErrNotFound,
	// ErrConflict or, if the response was lost, ErrUnknownOutcome.
	Delete(ctx context.Context, key string, expected Version) error
	// Poll waits for changes below prefix after the given version and returns them. It returns a
	// batch without events if there are none within the store's wait time.
	Poll(ctx context.Context, prefix string, after Version) (Batch, error)
}
