// Package contract is the conformance test suite of objects.Store. Each implementation calls Run from
// its own test.
package contract

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	// PollWait is the time that the store of a harness must wait in a poll.
	PollWait = 200 * time.Millisecond
	// History is the number of changes that the store of a harness must keep for watches.
	History = 64

	// callTimeout bounds each call that is expected to succeed.
	callTimeout = 5 * time.Second
	// shortTimeout is the timeout of calls that are expected to time out.
	shortTimeout = 50 * time.Millisecond
)

// Harness is an empty store with a function that injects its faults.
type Harness struct {
	Store     objects.Store
	SetFaults func(memstore.Faults)
	// Memory holds the objects of the store.
	Memory *memstore.Store
}

// OpenFunc returns a new harness for one test.
type OpenFunc func(t *testing.T) Harness

// Run runs the whole suite.
func Run(t *testing.T, open OpenFunc) {
	t.Run("objects", func(t *testing.T) { runObjects(t, open) })
	t.Run("listing", func(t *testing.T) { runListing(t, open) })
	t.Run("watch", func(t *testing.T) { runWatch(t, open) })
	t.Run("race", func(t *testing.T) { runRace(t, open) })
	t.Run("faults", func(t *testing.T) { runFaults(t, open) })
	t.Run("restore", func(t *testing.T) { runRestore(t, open) })
	t.Run("client", func(t *testing.T) { runClient(t, open) })
}

// fixture is the store under test with helpers that fail the test.
type fixture struct {
	*testing.T
	Harness
}

func newFixture(t *testing.T, open OpenFunc) *fixture {
	t.Helper()
	return &fixture{T: t, Harness: open(t)}
}

// context returns a context that ends after d or at the end of the test.
func (s *fixture) context(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	s.Cleanup(cancel)
	return ctx
}

// put writes the value, uses it as the write id too, and checks the returned error.
func (s *fixture) put(key, value string, expected objects.Version, want error) objects.Version {
	s.Helper()
	version, err := s.Store.Put(s.context(callTimeout), key, []byte(value), expected, value)
	s.wantError("put "+key, err, want)
	return version
}

func (s *fixture) remove(key string, expected objects.Version, want error) {
	s.Helper()
	s.wantError("delete "+key, s.Store.Delete(s.context(callTimeout), key, expected), want)
}

// wantObject checks value, write id and version of the object. An empty value means that the object
// must not exist.
func (s *fixture) wantObject(key, value string, version objects.Version) {
	s.Helper()
	object, err := s.Store.Get(s.context(callTimeout), key)
	if value == "" {
		s.wantError("get "+key, err, objects.ErrNotFound)
		return
	}
	s.wantError("get "+key, err, nil)
	if string(object.Value) != value || object.WriteID != value || object.Version != version || object.Key != key {
		s.Errorf("get %s: got %+v, want value and write id %q at version %d", key, object, value, version)
	}
}

func (s *fixture) poll(prefix string, after objects.Version) objects.Batch {
	s.Helper()
	batch, err := s.Store.Poll(s.context(callTimeout), prefix, after)
	s.wantError("poll "+prefix, err, nil)
	return batch
}

func (s *fixture) wantError(what string, got, want error) {
	s.Helper()
	if want == nil && got != nil || want != nil && !errors.Is(got, want) {
		s.Fatalf("%s: got error %v, want %v", what, got, want)
	}
}

// eventually waits until holds returns true.
func (s *fixture) eventually(what string, holds func() bool) {
	s.Helper()
	for end := time.Now().Add(callTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.Fatalf("not within %v: %s", callTimeout, what)
		}
	}
}
