package contract

import (
	"strconv"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/objects"
)

func runWatch(t *testing.T, open OpenFunc) {
	rows := []struct {
		name string
		run  func(s *fixture)
	}{
		{"changes since a listing", watchSinceListing},
		{"only below the prefix", func(s *fixture) {
			s.put("a/1", "1", 0, nil)
			v := s.put("b/1", "2", 0, nil)
			s.wantEvents(s.poll("b/", 0), false, objects.Event{Object: newObject("b/1", "2", v)})
		}},
		{"waits for a change", watchWaits},
		{"empty when the wait ends", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			batch := s.poll("a", v)
			s.wantEvents(batch, false)
			if batch.Next < v {
				s.Errorf("next %d after %d", batch.Next, v)
			}
		}},
		{"a change elsewhere does not end the wait with events", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			time.AfterFunc(PollWait/4, func() { _, _ = s.Store.Put(s.context(callTimeout), "b", nil, 0, "w") })
			s.wantEvents(s.poll("a", v), false)
		}},
		{"reset when the changes are no longer kept", watchReset},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(newFixture(t, open)) })
	}
}

func watchSinceListing(s *fixture) {
	v1 := s.put("a/1", "1", 0, nil)
	listing, err := s.Store.List(s.context(callTimeout), "a/")
	s.wantError("list", err, nil)
	v2 := s.put("a/1", "2", v1, nil)
	v3 := s.put("a/2", "3", 0, nil)
	s.remove("a/1", v2, nil)
	batch := s.poll("a/", listing.Version)
	s.wantEvents(batch, false,
		objects.Event{Object: newObject("a/1", "2", v2)},
		objects.Event{Object: newObject("a/2", "3", v3)},
		objects.Event{Object: objects.Object{Key: "a/1", Version: v3 + 1}, Deleted: true},
	)
	if batch.Next != v3+1 {
		s.Errorf("next %d, want %d", batch.Next, v3+1)
	}
	s.wantEvents(s.poll("a/", batch.Next), false)
}

func watchWaits(s *fixture) {
	v := s.put("a", "1", 0, nil)
	written := make(chan objects.Version, 1)
	time.AfterFunc(PollWait/4, func() {
		version, _ := s.Store.Put(s.context(callTimeout), "a", []byte("2"), v, "2")
		written <- version
	})
	batch := s.poll("a", v)
	s.wantEvents(batch, false, objects.Event{Object: newObject("a", "2", <-written)})
}

func watchReset(s *fixture) {
	v := s.put("a/old", "1", 0, nil)
	last := s.put("a/new", "2", 0, nil)
	first := last
	for i := range History {
		last = s.put("a/new", strconv.Itoa(i), last, nil)
	}
	s.wantEvents(s.poll("a/", v), true,
		objects.Event{Object: newObject("a/new", strconv.Itoa(History-1), last)},
		objects.Event{Object: newObject("a/old", "1", v)},
	)
	if batch := s.poll("a/", first); batch.Reset || len(batch.Events) != History {
		s.Errorf("poll within the history: reset %v, %d events", batch.Reset, len(batch.Events))
	}
}

// newObject returns an object that has its value as write id.
func newObject(key, value string, version objects.Version) objects.Object {
	return objects.Object{Key: key, Value: []byte(value), Version: version, WriteID: value}
}

func (s *fixture) wantEvents(batch objects.Batch, reset bool, want ...objects.Event) {
	s.Helper()
	same := batch.Reset == reset && len(batch.Events) == len(want)
	for i := range want {
		same = same && sameEvent(batch.Events[i], want[i])
	}
	if !same {
		s.Errorf("got %+v, want reset %v, events %+v", batch, reset, want)
	}
}

func sameEvent(a, b objects.Event) bool {
	return a.Deleted == b.Deleted && a.Object.Key == b.Object.Key && a.Object.Version == b.Object.Version &&
		string(a.Object.Value) == string(b.Object.Value) && a.Object.WriteID == b.Object.WriteID
}
