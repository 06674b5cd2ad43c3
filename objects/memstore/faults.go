package memstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// Faults says how the store misbehaves; the zero value is a sound store.
type Faults struct {
	// Down fails every call.
	Down bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseShare is the share of writes, 0 to 1, whose answer is lost after the effect.
	LoseShare float64
	// LoseNext is the number of coming writes whose answer is lost after the effect.
	LoseNext int
	// DelayWrites holds each write back for this long; it takes effect then, also when
	// its caller has given up.
	DelayWrites time.Duration
	// WatchBroken fails every poll, also those that wait.
	WatchBroken bool
	// StaleWatch answers polls with changes that are not after the version asked for, alone or
	// together with newer ones.
	StaleWatch bool
}

// SetFaults replaces the faults and wakes the polls that wait.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// CurrentFaults returns the faults in force.
func (s *Store) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// admit carries out the faults that come before a call's effect.
func (s *Store) admit(ctx context.Context) error {
	faults := s.CurrentFaults()
	if faults.Down {
		return errors.Wrap(objects.ErrUnavailable, "store is down")
	}
	if faults.Delay > 0 {
		return sleep(ctx, faults.Delay)
	}
	if ctx.Err() != nil {
		return unavailable(ctx)
	}
	return nil
}

type writeResult struct {
	version objects.Version
	err     error
}

// write runs apply under the lock, later if writes are delayed, and may lose its answer.
func (s *Store) write(ctx context.Context, apply func() (objects.Version, error)) (objects.Version, error) {
	if err := s.admit(ctx); err != nil {
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
	if s.loseLocked() {
		return 0, errors.Wrap(objects.ErrUnknownOutcome, "answer lost")
	}
	return version, err
}

func (s *Store) loseLocked() bool {
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseShare > 0 && s.random.Float64() < s.faults.LoseShare
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailable(ctx)
	}
}

func unavailable(ctx context.Context) error {
	return errors.Wrapf(objects.ErrUnavailable, "call ended before its effect: %v", ctx.Err())
}
