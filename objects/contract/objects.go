package contract

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

func runObjects(t *testing.T, open OpenFunc) {
	rows := []struct {
		name string
		run  func(s *fixture)
	}{
		{"create, then create again", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			s.put("a", "2", 0, objects.ErrConflict)
			s.wantObject("a", "1", v)
		}},
		{"update at the version", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			w := s.put("a", "2", v, nil)
			if w <= v {
				s.Errorf("version %d after %d", w, v)
			}
			s.wantObject("a", "2", w)
		}},
		{"update at an older version", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			w := s.put("a", "2", v, nil)
			s.put("a", "3", v, objects.ErrConflict)
			s.wantObject("a", "2", w)
		}},
		{"update of an object that does not exist", func(s *fixture) {
			s.put("a", "1", 7, objects.ErrConflict)
			s.wantObject("a", "", 0)
		}},
		{"versions come from one counter", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			w := s.put("b", "1", 0, nil)
			if x := s.put("a", "2", v, nil); w <= v || x <= w {
				s.Errorf("versions %d, %d, %d", v, w, x)
			}
		}},
		{"delete", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			s.remove("a", v+1, objects.ErrConflict)
			s.wantObject("a", "1", v)
			s.remove("a", v, nil)
			s.wantObject("a", "", 0)
			s.remove("a", v, objects.ErrNotFound)
		}},
		{"versions increase across a deletion", func(s *fixture) {
			v := s.put("a", "1", 0, nil)
			s.remove("a", v, nil)
			s.put("a", "2", v, objects.ErrConflict)
			if w := s.put("a", "2", 0, nil); w <= v {
				s.Errorf("version %d after %d", w, v)
			}
		}},
		{"largest value", func(s *fixture) {
			value := strings.Repeat("x", objects.MaxValueBytes)
			_, err := s.Store.Put(s.context(callTimeout), "a", []byte(value), 0, "w")
			s.wantError("put", err, nil)
			object, err := s.Store.Get(s.context(callTimeout), "a")
			s.wantError("get", err, nil)
			if string(object.Value) != value {
				s.Errorf("got %d bytes", len(object.Value))
			}
		}},
		{"value above the limit", func(s *fixture) {
			s.put("a", strings.Repeat("x", objects.MaxValueBytes+1), 0, objects.ErrTooLarge)
			s.wantObject("a", "", 0)
		}},
		{"empty value", func(s *fixture) {
			_, err := s.Store.Put(s.context(callTimeout), "a", nil, 0, "w")
			s.wantError("put", err, nil)
			object, err := s.Store.Get(s.context(callTimeout), "a")
			s.wantError("get", err, nil)
			if len(object.Value) != 0 || object.WriteID != "w" {
				s.Errorf("got %+v", object)
			}
		}},
		{"keys with any characters", func(s *fixture) {
			for _, key := range []string{"cells/alföld 1", "a//b", "a/../b", "50%", "a?b=c#d", "a+b&c", "%2F"} {
				s.wantObject(key, key, s.put(key, key, 0, nil))
			}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(newFixture(t, open)) })
	}
}

func runListing(t *testing.T, open OpenFunc) {
	s := newFixture(t, open)
	s.put("b/2", "1", 0, nil)
	s.put("b/1", "2", 0, nil)
	s.put("a/1", "3", 0, nil)
	last := s.put("c", "4", 0, nil)
	for prefix, want := range map[string]string{"": "a/1 b/1 b/2 c", "b/": "b/1 b/2", "b/2": "b/2", "d": ""} {
		listing, err := s.Store.List(s.context(callTimeout), prefix)
		s.wantError("list", err, nil)
		var keys []string
		for _, object := range listing.Objects {
			keys = append(keys, object.Key)
		}
		if got := strings.Join(keys, " "); got != want || listing.Version != last {
			s.Errorf("prefix %q: got %q at version %d, want %q at %d", prefix, got, listing.Version, want, last)
		}
	}
}

// runRace runs concurrent writers on one object. In each round all writers expect the same version,
// and exactly one may succeed.
func runRace(t *testing.T, open OpenFunc) {
	const writers, rounds = 4, 20
	s := newFixture(t, open)
	var expected objects.Version
	for round := range rounds {
		var wins []objects.Version
		var mu sync.Mutex
		var group sync.WaitGroup
		for writer := range writers {
			group.Go(func() {
				id := fmt.Sprintf("%d by %d", round, writer)
				version, err := s.Store.Put(s.context(callTimeout), "a", []byte("x"), expected, id)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					wins = append(wins, version)
				} else if !errors.Is(err, objects.ErrConflict) {
					s.Errorf("racing write: %v", err)
				}
			})
		}
		group.Wait()
		if len(wins) != 1 {
			s.Fatalf("%d writers won on version %d", len(wins), expected)
		}
		expected = wins[0]
	}
}
