package contract

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/objects"
)

// runRestore checks that versions grow across the return of the store to an older copy.
func runRestore(t *testing.T, open OpenFunc) {
	rows := []struct {
		name string
		run  func(s *fixture)
	}{
		{"a former state has a later version", func(s *fixture) {
			v1 := s.put("a", "1", 0, nil)
			older := s.Memory.Copy()
			v2 := s.put("a", "2", v1, nil)
			s.Memory.Restore(older)
			object, err := s.Store.Get(s.context(callTimeout), "a")
			s.wantError("get a", err, nil)
			if string(object.Value) != "1" || object.Version <= v2 {
				s.Errorf("got %+v after version %d", object, v2)
			}
		}},
		{"a revision that is given out again is another version", func(s *fixture) {
			v1 := s.put("a", "1", 0, nil)
			older := s.Memory.Copy()
			v2 := s.put("a", "2", v1, nil)
			s.Memory.Restore(older)
			object, err := s.Store.Get(s.context(callTimeout), "a")
			s.wantError("get a", err, nil)
			v3 := s.put("a", "3", object.Version, nil)
			if v3.Revision() != v2.Revision() || v3 <= v2 {
				s.Errorf("version %d after %d", v3, v2)
			}
			s.put("a", "4", v2, objects.ErrConflict)
			s.remove("a", v2, objects.ErrConflict)
			s.wantObject("a", "3", v3)
		}},
		{"a lost object can be created again", func(s *fixture) {
			older := s.Memory.Copy()
			v1 := s.put("a", "1", 0, nil)
			s.Memory.Restore(older)
			s.wantObject("a", "", 0)
			if v2 := s.put("a", "2", 0, nil); v2 <= v1 {
				s.Errorf("version %d after %d", v2, v1)
			}
		}},
		{"a watch from before the return is reset", restoreResetsWatch},
		{"a watch that waits during the return is reset", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			older := s.Memory.Copy()
			time.AfterFunc(PollWait/4, func() { s.Memory.Restore(older) })
			batch := s.poll("a", v)
			if !batch.Reset || batch.Next <= v || len(batch.Events) != 1 || batch.Events[0].Object.Version <= v {
				s.Errorf("got %+v after version %d", batch, v)
			}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(newFixture(t, open)) })
	}
}

// restoreResetsWatch polls after a revision that the store has given out again.
func restoreResetsWatch(s *fixture) {
	v1 := s.put("a", "1", 0, nil)
	older := s.Memory.Copy()
	v2 := s.put("a", "2", v1, nil)
	s.Memory.Restore(older)
	s.put("b", "1", 0, nil)
	batch := s.poll("", v2)
	if !batch.Reset || batch.Next <= v2 || len(batch.Events) != 2 {
		s.Errorf("got %+v after version %d", batch, v2)
	}
}
