// Package bans shares among the nodes of a cell which requests crash targets, through the store's
// object quarantine/CELL.
//
// The store is read only when something speaks for it: a crash here, a slice that is new here, a
// request that another target lost. At rest it costs the store nothing, however many nodes there
// are. While the store is down, changes are kept and each node knows its own.
//
// Locks: Sharer.mu guards the changes not yet shared and is a leaf.
package bans

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/client"
)

// keyPrefix is the place of the cells' objects in the store.
const keyPrefix = "quarantine/"

// maxPending bounds the changes that wait for the store; the oldest are dropped first.
const maxPending = 1024

// Config holds the settings of a Sharer.
type Config struct {
	// Cell is the name of the node's cell.
	Cell   string
	Store  platform.Store
	Policy quarantine.Policy
	// Pause is the least time between two uses of the store.
	Pause  time.Duration
	Logger *slog.Logger
}

// DefaultPause is the least time between two uses of the store.
const DefaultPause = time.Second

// Sharer carries changes to the store and the cell's entries back. Share and Refresh do not block.
type Sharer struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	pending []quarantine.Change
}

// New returns a sharer that does nothing before Run.
func New(cfg Config) *Sharer { return &Sharer{cfg: cfg, wake: make(chan struct{}, 1)} }

// Share takes changes for the cell.
func (s *Sharer) Share(changes []quarantine.Change) {
	s.mu.Lock()
	s.pending = append(s.pending, changes...)
	if excess := len(s.pending) - maxPending; excess > 0 {
		s.pending = slices.Delete(s.pending, 0, excess)
	}
	s.mu.Unlock()
	s.Refresh()
}

// Refresh asks for the cell's entries to be read.
func (s *Sharer) Refresh() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run carries changes until ctx ends; merge takes the cell's entries.
func (s *Sharer) Run(ctx context.Context, merge func([]quarantine.Entry)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		entries, err := s.sync(ctx)
		if err != nil {
			s.cfg.Logger.Warn("quarantine not shared", "cell", s.cfg.Cell, "reason", err.Error())
			s.Refresh()
		} else {
			merge(entries)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.cfg.Pause):
		}
	}
}

// message is the form of the object.
type message struct {
	Entries []quarantine.Entry `json:"entries"`
}

// sync folds the pending changes into the object, or only reads it when there are none. The
// changes stay pending until the write is known to have taken effect.
func (s *Sharer) sync(ctx context.Context) ([]quarantine.Entry, error) {
	s.mu.Lock()
	changes := slices.Clone(s.pending)
	s.mu.Unlock()
	var writeIDs []string
	for {
		object, entries, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return entries, nil
		}
		if slices.Contains(writeIDs, object.WriteID) {
			s.forget(changes)
			return entries, nil
		}
		folded := s.cfg.Policy.Fold(time.Now(), entries, changes)
		id := client.NewWriteID()
		writeIDs = append(writeIDs, id)
		done, err := s.write(ctx, folded, object.Version, id)
		if err != nil {
			return nil, err
		}
		if done {
			s.forget(changes)
			return folded, nil
		}
	}
}

func (s *Sharer) read(ctx context.Context) (platform.Object, []quarantine.Entry, error) {
	object, err := s.cfg.Store.Get(ctx, keyPrefix+s.cfg.Cell)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, nil, nil
	}
	if err != nil {
		return platform.Object{}, nil, errors.Wrap(err, "read the cell's quarantine")
	}
	var in message
	if err := json.Unmarshal(object.Value, &in); err != nil {
		// An object that cannot be read is replaced: it holds no promise to anyone.
		s.cfg.Logger.Error("quarantine replaced", "cell", s.cfg.Cell, "reason", err.Error())
		return object, nil, nil
	}
	return object, in.Entries, nil
}

// write reports whether the write took effect; false asks for another look at the object.
func (s *Sharer) write(ctx context.Context, entries []quarantine.Entry, expected platform.Version, id string) (bool, error) {
	value, err := json.Marshal(message{Entries: entries})
	if err != nil {
		return false, errors.Wrap(err, "encode the cell's quarantine")
	}
	_, err = s.cfg.Store.Put(ctx, keyPrefix+s.cfg.Cell, value, expected, id)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknownOutcome):
		return false, nil
	default:
		return false, errors.Wrap(err, "write the cell's quarantine")
	}
}

// forget drops changes that were shared; they are the oldest pending ones.
func (s *Sharer) forget(changes []quarantine.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = slices.DeleteFunc(s.pending, func(c quarantine.Change) bool { return slices.Contains(changes, c) })
}
