package contract

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// runFaults checks the results of single calls under a fault, and the state of the store after the
// fault has been removed.
func runFaults(t *testing.T, open OpenFunc) {
	const longDelay = 4 * shortTimeout
	rows := []struct {
		name   string
		faults memstore.Faults
		// timeout bounds the write.
		timeout time.Duration
		// writeErrors lists the allowed errors of a write; nil means that it must succeed.
		writeErrors []error
		// getError and pollError are the expected errors of reads and polls.
		getError, pollError error
		// takesEffect tells that the write takes effect, possibly only after the fault has been
		// removed.
		takesEffect bool
	}{
		{name: "none", timeout: callTimeout, takesEffect: true},
		{
			name: "down", faults: memstore.Faults{Down: true}, timeout: callTimeout,
			writeErrors: []error{objects.ErrUnavailable}, getError: objects.ErrUnavailable, pollError: objects.ErrUnavailable,
		},
		{name: "slow, within the deadline", faults: memstore.Faults{Delay: shortTimeout}, timeout: callTimeout, takesEffect: true},
		{
			name: "slow, beyond the deadline", faults: memstore.Faults{Delay: longDelay}, timeout: shortTimeout,
			writeErrors: []error{objects.ErrUnavailable, objects.ErrUnknownOutcome},
		},
		{
			name: "response lost", faults: memstore.Faults{LoseNextResponses: 1}, timeout: callTimeout,
			writeErrors: []error{objects.ErrUnknownOutcome}, takesEffect: true,
		},
		{
			name: "every response lost", faults: memstore.Faults{LoseResponseRate: 1}, timeout: callTimeout,
			writeErrors: []error{objects.ErrUnknownOutcome}, takesEffect: true,
		},
		{name: "write delayed, within the deadline", faults: memstore.Faults{DelayWrites: shortTimeout}, timeout: callTimeout, takesEffect: true},
		{
			name: "write delayed, beyond the deadline", faults: memstore.Faults{DelayWrites: longDelay}, timeout: shortTimeout,
			writeErrors: []error{objects.ErrUnknownOutcome}, takesEffect: true,
		},
		{
			name: "watch broken", faults: memstore.Faults{WatchBroken: true}, timeout: callTimeout,
			pollError: objects.ErrUnavailable, takesEffect: true,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, open)
			v := s.put("a", "before", 0, nil)
			s.SetFaults(row.faults)
			_, err := s.Store.Put(s.context(row.timeout), "a", []byte("after"), v, "after")
			if (row.writeErrors != nil || err != nil) && !errors.IsAny(err, row.writeErrors...) {
				s.Errorf("put: got error %v, want one of %v", err, row.writeErrors)
			}
			_, err = s.Store.Get(s.context(callTimeout), "a")
			s.wantError("get", err, row.getError)
			_, err = s.Store.Poll(s.context(callTimeout), "a", 0)
			s.wantError("poll", err, row.pollError)
			s.SetFaults(memstore.Faults{})
			if row.takesEffect {
				s.eventually("the write takes effect", func() bool { return s.value("a") == "after" })
				return
			}
			time.Sleep(longDelay)
			s.wantObject("a", "before", v)
		})
	}
	t.Run("waiting poll fails", func(t *testing.T) { waitingPollFails(newFixture(t, open)) })
	t.Run("stale watch", func(t *testing.T) { watchStale(newFixture(t, open)) })
}

func (s *fixture) value(key string) string {
	s.Helper()
	object, err := s.Store.Get(s.context(callTimeout), key)
	s.wantError("get", err, nil)
	return string(object.Value)
}

func waitingPollFails(s *fixture) {
	v := s.put("a", "1", 0, nil)
	time.AfterFunc(PollWait/4, func() { s.SetFaults(memstore.Faults{WatchBroken: true}) })
	_, err := s.Store.Poll(s.context(callTimeout), "a", v)
	s.wantError("poll", err, objects.ErrUnavailable)
}

func watchStale(s *fixture) {
	v1 := s.put("a", "1", 0, nil)
	v2 := s.put("a", "2", v1, nil)
	s.SetFaults(memstore.Faults{StaleWatch: true})
	lagging := s.poll("a", v2)
	if len(lagging.Events) == 0 || lagging.Events[0].Object.Version > v1 || lagging.Next >= v2 {
		s.Errorf("poll after %d returned no older version: %+v", v2, lagging)
	}
	early := s.poll("a", v1)
	if len(early.Events) != 2 || early.Events[0].Object.Version > v1 || early.Next != v2 {
		s.Errorf("poll after %d did not start from an older version: %+v", v1, early)
	}
}
