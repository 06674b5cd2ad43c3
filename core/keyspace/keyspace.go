// Package keyspace maps the keys of a service to ranges and slices.
//
// A Layout is the parsed form of one accepted sheet, the operator's table of ranges.
// A range is a lexicographic interval of keys; it is divided into a fixed number of
// slices, which are contiguous intervals of the key's hash. Keys are not stored
// individually.
package keyspace

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

var (
	// ErrUnknownService reports a service that the layout does not name.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoRange reports a key that lies in no range of its service.
	ErrNoRange = errors.New("no range holds the key")
)

// Kind tells whether the keys of a service have exclusive owners.
type Kind uint8

const (
	// Keyed services have exactly one owner for each key.
	Keyed Kind = iota + 1
	// Shared services have no owners: any healthy target may serve a request.
	Shared
)

// String returns the name of the kind in sheets, or "invalid".
func (k Kind) String() string {
	switch k {
	case Keyed:
		return "keyed"
	case Shared:
		return "shared"
	default:
		return "invalid"
	}
}

// RangeID is a hash of the service, bounds and slice count of a range. Changing any
// of them makes it a different range.
type RangeID uint64

// String returns the identifier in hexadecimal.
func (r RangeID) String() string { return strconv.FormatUint(uint64(r), 16) }

// SliceID identifies one slice of one range. Indexes at or above the range's slice
// count identify slices that contain a single hot key.
type SliceID struct {
	Range RangeID
	Index uint32
}

// String returns "range/index".
func (s SliceID) String() string {
	return s.Range.String() + "/" + strconv.FormatUint(uint64(s.Index), 10)
}

// Range is one row of a sheet: the keys in [From, To) and where they are served.
type Range struct {
	Service string `json:"service"`
	Kind    Kind   `json:"kind"`
	// From is the first key of the range; empty means from the lowest key.
	From string `json:"from"`
	// To is the first key after the range; empty means up to the highest key.
	To string `json:"to"`
	// Region and Cell name the place where the range is served.
	Region string `json:"region"`
	Cell   string `json:"cell"`
	// Targets lists glob patterns of the VM names that may serve; empty allows all.
	Targets []string `json:"targets,omitempty"`
	// Slices is the number of slices the range is divided into, at least one.
	Slices uint32 `json:"slices"`
	// Line is the line of the sheet that defines the range, starting at one.
	Line int `json:"line"`
}

// ID returns the identifier of the range.
func (r Range) ID() RangeID {
	h := xxhash.New()
	for _, part := range []string{r.Service, r.From, r.To, strconv.FormatUint(uint64(r.Slices), 10)} {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(part)
	}
	return RangeID(h.Sum64())
}

// Contains reports whether key lies in the range.
func (r Range) Contains(key string) bool {
	return key >= r.From && (r.To == "" || key < r.To)
}

// Overlaps reports whether both ranges belong to the same service and have keys in common.
func (r Range) Overlaps(o Range) bool {
	if r.Service != o.Service {
		return false
	}
	return (r.To == "" || o.From < r.To) && (o.To == "" || r.From < o.To)
}

// SliceOf returns the slice that contains key according to its hash, without regard
// to slices of single hot keys.
func (r Range) SliceOf(key string) SliceID {
	hash := xxhash.Sum64String(key)
	index := uint32((hash >> 32) * uint64(r.Slices) >> 32)
	return SliceID{Range: r.ID(), Index: index}
}

// Service is a named set of ranges of one kind, ordered by From.
type Service struct {
	Name   string  `json:"name"`
	Kind   Kind    `json:"kind"`
	Ranges []Range `json:"ranges"`
}

// Layout is the content of one accepted sheet, organised for lookups.
type Layout struct {
	// Version is the sheet's version in the store; it increases with every change.
	Version  int64     `json:"version"`
	Services []Service `json:"services"`
}

// Locate returns the range of service that contains key. It fails with
// ErrUnknownService or ErrNoRange.
func (l *Layout) Locate(service, key string) (Range, error) {
	for i := range l.Services {
		if l.Services[i].Name == service {
			return l.Services[i].locate(key)
		}
	}
	return Range{}, errors.Wrapf(ErrUnknownService, "service %q", service)
}

func (s *Service) locate(key string) (Range, error) {
	for _, r := range s.Ranges {
		if r.Contains(key) {
			return r, nil
		}
	}
	return Range{}, errors.Wrapf(ErrNoRange, "service %q, key %q", s.Name, key)
}
