package memstore

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// Poll implements objects.Store. It waits for Options.PollWait.
func (s *Store) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	return s.PollFor(ctx, prefix, after, s.pollWait)
}

// PollFor is Poll with the given wait time.
func (s *Store) PollFor(
	ctx context.Context, prefix string, after objects.Version, wait time.Duration,
) (objects.Batch, error) {
	if err := s.beforeCall(ctx); err != nil {
		return objects.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := s.batch(prefix, after)
		if err != nil || batch.Reset || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return objects.Batch{}, unavailableError(ctx)
		}
	}
}

// batch returns the current result of a poll and the channel that is closed at the next change.
func (s *Store) batch(prefix string, after objects.Version) (objects.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down || s.faults.WatchBroken:
		return objects.Batch{}, nil, errors.Wrap(objects.ErrUnavailable, "watch broken")
	case s.faults.StaleWatch && after > 0:
		return s.staleLocked(prefix, after), s.changed, nil
	case after < s.dropped || after > s.version:
		return s.resetLocked(prefix), s.changed, nil
	}
	return objects.Batch{Events: s.eventsLocked(prefix, after), Next: s.version}, s.changed, nil
}

// staleLocked responds like a replica that has lost the position of the watch. If there are newer
// changes, it starts from the oldest change kept. Otherwise it lags behind the caller and leaves out
// the latest change that the caller has seen.
func (s *Store) staleLocked(prefix string, after objects.Version) objects.Batch {
	batch := objects.Batch{Events: s.eventsLocked(prefix, s.dropped), Next: s.version}
	if s.version > after {
		return batch
	}
	batch.Next = s.dropped
	if n := len(batch.Events) - 1; n > 0 {
		batch.Events = batch.Events[:n]
		batch.Next = batch.Events[n-1].Object.Version
	}
	return batch
}

func (s *Store) resetLocked(prefix string) objects.Batch {
	batch := objects.Batch{Next: s.version, Reset: true}
	for _, object := range s.listLocked(prefix) {
		batch.Events = append(batch.Events, objects.Event{Object: object})
	}
	return batch
}

func (s *Store) eventsLocked(prefix string, after objects.Version) []objects.Event {
	var events []objects.Event
	for _, event := range s.events {
		if event.Object.Version > after && strings.HasPrefix(event.Object.Key, prefix) {
			events = append(events, cloneEvent(event))
		}
	}
	return events
}

func cloneEvent(event objects.Event) objects.Event {
	event.Object = cloneObject(event.Object)
	return event
}
