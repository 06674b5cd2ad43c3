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
func runFaults(t *testing.T, open Open) {
	const held = 4 * short
	rows := []struct {
		name   string
		faults memstore.Faults
		// time is the timeout of the write.
		time time.Duration
		// write lists the allowed errors of a write; nil means that it must succeed.
		write []error
		// get and poll are the expected errors of reads and polls.
		get, poll error
		// effect tells that the write takes effect, possibly only after the fault has been removed.
		effect bool
	}{
		{name: "none", time: deadline, effect: true},
		{
			name: "down", faults: memstore.Faults{Down: true}, time: deadline,
			write: []error{objects.ErrUnavailable}, get: objects.ErrUnavailable, poll: objects.ErrUnavailable,
		},
		{name: "slow, within the deadline", faults: memstore.Faults{Delay: short}, time: deadline, effect: true},
		{
			name: "slow, beyond the deadline", faults: memstore.Faults{Delay: held}, time: short,
			write: []error{objects.ErrUnavailable, objects.ErrUnknownOutcome},
		},
		{
			name: "response lost", faults: memstore.Faults{LoseNext: 1}, time: deadline,
			write: []error{objects.ErrUnknownOutcome}, effect: true,
		},
		{
			name: "every response lost", faults: memstore.Faults{LoseShare: 1}, time: deadline,
			write: []error{objects.ErrUnknownOutcome}, effect: true,
		},
		{name: "write delayed, within the deadline", faults: memstore.Faults{DelayWrites: short}, time: deadline, effect: true},
		{
			name: "write delayed, beyond the deadline", faults: memstore.Faults{DelayWrites: held}, time: short,
			write: []error{objects.ErrUnknownOutcome}, effect: true,
		},
		{
			name: "watch broken", faults: memstore.Faults{WatchBroken: true}, time: deadline,
			poll: objects.ErrUnavailable, effect: true,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSession(t, open)
			v := s.put("a", "before", 0, nil)
			s.SetFaults(row.faults)
			_, err := s.Store.Put(s.context(row.time), "a", []byte("after"), v, "after")
			if (row.write != nil || err != nil) && !errors.IsAny(err, row.write...) {
				s.Errorf("put: got error %v, want one of %v", err, row.write)
			}
			_, err = s.Store.Get(s.context(deadline), "a")
			s.wantError("get", err, row.get)
			_, err = s.Store.Poll(s.context(deadline), "a", 0)
			s.wantError("poll", err, row.poll)
			s.SetFaults(memstore.Faults{})
			if row.effect {
				s.eventually("the write takes effect", func() bool { return s.value("a") == "after" })
				return
			}
			time.Sleep(held)
			s.wantObject("a", "before", v)
		})
	}
	t.Run("waiting poll fails", func(t *testing.T) { watchBreaks(newSession(t, open)) })
	t.Run("stale watch", func(t *testing.T) { watchIsStale(newSession(t, open)) })
}

func (s *session) value(key string) string {
	s.Helper()
	object, err := s.Store.Get(s.context(deadline), key)
	s.wantError("get", err, nil)
	return string(object.Value)
}

func watchBreaks(s *session) {
	v := s.put("a", "1", 0, nil)
	time.AfterFunc(PollWait/4, func() { s.SetFaults(memstore.Faults{WatchBroken: true}) })
	_, err := s.Store.Poll(s.context(deadline), "a", v)
	s.wantError("poll", err, objects.ErrUnavailable)
}

func watchIsStale(s *session) {
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
