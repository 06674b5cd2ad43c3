package memstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// Faults are the faults injected into a store; the zero value injects none.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseResponseRate is the fraction of writes, 0 to 1, that take effect but lose their response.
	LoseResponseRate float64
	// LoseNextResponses is the number of following writes that take effect but lose their response.
	LoseNextResponses int
	// DelayWrites delays each write by this time. The write takes effect even if the caller has
	// stopped waiting.
	DelayWrites time.Duration
	// WatchBroken makes every poll fail, also those already waiting.
	WatchBroken bool
	// StaleWatch makes polls return changes that are not newer than the requested version, alone
	// or together with newer ones.
	StaleWatch bool
}

// SetFaults replaces the faults and wakes up waiting polls.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// CurrentFaults returns the current faults.
func (s *Store) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// beforeCall applies the faults that occur before a call takes effect.
func (s *Store) beforeCall(ctx context.Context) error {
	faults := s.CurrentFaults()
	if faults.Down {
		return errors.Wrap(objects.ErrUnavailable, "store is down")
	}
	if faults.Delay > 0 {
		return sleep(ctx, faults.Delay)
	}
	if ctx.Err() != nil {
		return unavailableError(ctx)
	}
	return nil
}

type writeResult struct {
	version objects.Version
	err     error
}

// write runs apply under the lock, after the delay for writes if one is set. Its response may be
// lost.
func (s *Store) write(ctx context.Context, apply func() (objects.Version, error)) (objects.Version, error) {
	if err := s.beforeCall(ctx); err != nil {
		return 0, err
	}
	delay := s.CurrentFaults().DelayWrites
	if delay <= 0 {
		return s.applyNow(apply)
	}
	done := make(chan writeResult, 1)
	time.AfterFunc(delay, func() {
		version, err := s.applyNow(apply)
		done <- writeResult{version, err}
	})
	select {
	case result := <-done:
		return result.version, result.err
	case <-ctx.Done():
		return 0, errors.Wrap(objects.ErrUnknownOutcome, "the caller gave up on a delayed write")
	}
}

func (s *Store) applyNow(apply func() (objects.Version, error)) (objects.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := apply()
	if s.loseResponseLocked() {
		return 0, errors.Wrap(objects.ErrUnknownOutcome, "answer lost")
	}
	return version, err
}

func (s *Store) loseResponseLocked() bool {
	if s.faults.LoseNextResponses > 0 {
		s.faults.LoseNextResponses--
		return true
	}
	return s.faults.LoseResponseRate > 0 && s.random.Float64() < s.faults.LoseResponseRate
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailableError(ctx)
	}
}

func unavailableError(ctx context.Context) error {
	return errors.Wrapf(objects.ErrUnavailable, "call ended before its effect: %v", ctx.Err())
}
