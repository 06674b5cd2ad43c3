package objects

import (
	"log/slog"
	"strconv"
)

// revisionBits is the number of bits of a Version that hold the revision: enough for 34,000 years of a
// change each millisecond. The bits above hold the era.
const revisionBits = 40

// MaxEra is the largest era of a Version.
const MaxEra = 1<<(63-revisionBits) - 1

// Version identifies a state of an object; zero means that the object does not exist.
//
// It consists of the store's revision and its era. The store's revision grows with each change, but a
// store that returns from an older copy goes back to a former revision and gives out the following
// ones again. It then begins a new era. The versions of an era are greater than all versions of
// earlier ones, so a greater version is always a later state.
type Version int64

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision int64) Version { return Version(era<<revisionBits | revision) }

// Era returns the era of the version.
func (v Version) Era() int64 { return int64(v) >> revisionBits }

// Revision returns the store's revision within the era; zero if the object does not exist.
func (v Version) Revision() int64 { return int64(v) & (1<<revisionBits - 1) }

// String returns the revision and, after era zero, the era before it, as in "1/173".
func (v Version) String() string {
	revision := strconv.FormatInt(v.Revision(), 10)
	if v.Era() == 0 {
		return revision
	}
	return strconv.FormatInt(v.Era(), 10) + "/" + revision
}

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value { return slog.StringValue(v.String()) }
