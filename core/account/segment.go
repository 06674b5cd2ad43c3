package account

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyPrefix starts the store's keys of all segments.
const KeyPrefix = "account/"

// ErrSegment reports a stored value that is not a segment or whose digest is wrong.
var ErrSegment = errors.New("malformed segment")

// ID identifies a segment.
type ID struct {
	Cell  string `json:"cell"`
	Month string `json:"month"`
	// Number counts the segments of the cell and month from one.
	Number uint64 `json:"number"`
}

// Key returns the segment's key in the store.
func (id ID) Key() string { return fmt.Sprintf("%s%06d", MonthPrefix(id.Cell, id.Month), id.Number) }

// String returns "cell/month/number".
func (id ID) String() string { return fmt.Sprintf("%s/%s/%d", id.Cell, id.Month, id.Number) }

// MonthPrefix starts the keys of a cell's segments of one month.
func MonthPrefix(cell, month string) string { return KeyPrefix + cell + "/" + month + "/" }

// Link names a segment together with its digest.
type Link struct {
	ID     ID     `json:"id"`
	Digest string `json:"digest"`
}

// Span is a run of reports of one process that a segment books.
type Span struct {
	Process
	// First and Last are the numbers of the first and last report.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Since and Until bound the reports' periods.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Late tells that the reports belong to a month whose segments were closed.
	Late bool `json:"late,omitempty"`
}

// GapReason says how counts got lost.
type GapReason string

const (
	// GapRestarted means that the node runs again as another process.
	GapRestarted GapReason = "restarted"
	// GapSilent means that the process sends no reports any more. Should it send them
	// later, they are booked and the gap is closed.
	GapSilent GapReason = "silent"
	// GapMissing means that reports before the first that came were never booked.
	GapMissing GapReason = "missing"
)

// Gap marks counts that may be missing: all that the process counted after a report.
type Gap struct {
	Process
	// After is the number of the last report booked; zero if none was.
	After uint64 `json:"after"`
	// Before is the number of the next report booked; zero if none will be.
	Before uint64 `json:"before,omitempty"`
	// Since is the end of the last period booked; Seen is when the process last reported.
	Since  time.Time `json:"since"`
	Seen   time.Time `json:"seen"`
	Reason GapReason `json:"reason"`
}

// Open is the state of a process whose reports are still expected.
type Open struct {
	Process
	// Last is the number of the last report booked.
	Last uint64 `json:"last"`
	// Until is the end of that report's period, Seen when the process last reported.
	Until time.Time `json:"until"`
	Seen  time.Time `json:"seen"`
	// Silent tells that a gap was marked for the process.
	Silent bool `json:"silent,omitempty"`
	// Closed tells that the process ended. It is remembered so that a report that was sent
	// before is not booked again.
	Closed bool `json:"closed,omitempty"`
}

// Segment is one numbered part of a cell's account.
type Segment struct {
	ID
	// Closes tells that the month has no segment after this one. Without such a segment no
	// segment of a later month is written, so two collectors cannot part at a month's end.
	Closes bool `json:"closes,omitempty"`
	// Previous is the segment before this one, of the same month or an earlier one; nil for
	// the cell's first.
	Previous *Link `json:"previous"`
	// Writer is the process that booked the segment, and At its wall time.
	Writer Process   `json:"writer"`
	At     time.Time `json:"at"`
	Counts []Count   `json:"counts"`
	Spans  []Span    `json:"spans"`
	Gaps   []Gap     `json:"gaps"`
	// Open lists the processes whose reports are expected, after this segment.
	Open []Open `json:"open"`
}

// stored is the form of a segment in the store. The digest covers the body's bytes.
type stored struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body"`
}

// Sealed is a segment in its stored form.
type Sealed struct {
	Segment
	Digest string
	// Value is what the store keeps.
	Value []byte
}

// Link returns the link to the segment.
func (s Sealed) Link() Link { return Link{ID: s.ID, Digest: s.Digest} }

// Seal returns the segment in its stored form.
func Seal(s Segment) (Sealed, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Sealed{}, errors.Wrap(err, "encode segment")
	}
	digest := digestOf(body)
	value, err := json.Marshal(stored{Digest: digest, Body: body})
	return Sealed{Segment: s, Digest: digest, Value: value}, errors.Wrap(err, "encode segment")
}

// Unseal reads the stored form and checks its digest. It fails with ErrSegment.
func Unseal(value []byte) (Sealed, error) {
	var form stored
	if err := json.Unmarshal(value, &form); err != nil {
		return Sealed{}, errors.Mark(errors.Wrap(err, "segment"), ErrSegment)
	}
	if digest := digestOf(form.Body); digest != form.Digest {
		return Sealed{}, errors.Wrapf(ErrSegment, "the content has digest %.12s, not %.12s", digest, form.Digest)
	}
	var segment Segment
	if err := json.Unmarshal(form.Body, &segment); err != nil {
		return Sealed{}, errors.Mark(errors.Wrap(err, "segment"), ErrSegment)
	}
	return Sealed{Segment: segment, Digest: form.Digest, Value: value}, nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
