package keyspace

import (
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestLocate(t *testing.T) {
	left := Range{Service: "booking", Kind: Keyed, To: "m", Slices: 8}
	right := Range{Service: "booking", Kind: Keyed, From: "m", Slices: 8}
	layout := Layout{Services: []Service{{Name: "booking", Kind: Keyed, Ranges: []Range{left, right}}}}
	for key, want := range map[string]RangeID{"a": left.ID(), "lzzz": left.ID(), "m": right.ID(), "z": right.ID()} {
		got, err := layout.Locate("booking", key)
		if err != nil || got.ID() != want {
			t.Errorf("key %q: got %v, %v", key, got.ID(), err)
		}
	}
	if _, err := layout.Locate("parts", "a"); !errors.Is(err, ErrUnknownService) {
		t.Errorf("unknown service: got error %v, want ErrUnknownService", err)
	}
	if left.Overlaps(right) || !left.Overlaps(Range{Service: "booking", From: "l"}) {
		t.Error("adjacent ranges must not overlap, and ranges with common keys must")
	}
}

func TestSlicesShareKeysEvenly(t *testing.T) {
	const keys, slices = 64000, 64
	r := Range{Service: "s", Slices: slices}
	var counts [slices]int
	for i := range keys {
		counts[r.SliceOf("key-"+strconv.Itoa(i)).Index]++
	}
	for i, n := range counts {
		if n < keys/slices*8/10 || n > keys/slices*12/10 {
			t.Errorf("slice %d holds %d keys", i, n)
		}
	}
}
