package account

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyPrefix is the prefix of the store keys of all segments.
const KeyPrefix = "account/"

// ErrSegment reports a stored value that is not an encoded segment or whose digest is wrong.
var ErrSegment = errors.New("malformed segment")

// ID identifies a segment.
type ID struct {
	Cell  string `json:"cell"`
	Month string `json:"month"`
	// Number is the sequence number of the segment within the cell and month, starting at one.
	Number uint64 `json:"number"`
}

// Key returns the store key of the segment.
func (id ID) Key() string { return fmt.Sprintf("%s%06d", MonthPrefix(id.Cell, id.Month), id.Number) }

// String returns "cell/month/number".
func (id ID) String() string { return fmt.Sprintf("%s/%s/%d", id.Cell, id.Month, id.Number) }

// MonthPrefix returns the prefix of the store keys of a cell's segments of one month.
func MonthPrefix(cell, month string) string { return KeyPrefix + cell + "/" + month + "/" }

// Link identifies a segment and its digest.
type Link struct {
	ID     ID     `json:"id"`
	Digest string `json:"digest"`
}

// Span is a sequence of consecutive reports of one process that a segment books.
type Span struct {
	Process
	// First and Last are the numbers of the first and last report.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Since and Until are the start of the first report's period and the end of the last one's.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Late is set if the reports belong to an earlier month that was already closed.
	Late bool `json:"late,omitempty"`
}

// GapReason is the reason for which a gap was recorded.
type GapReason string

const (
	// GapRestarted means that the node restarted as another process.
	GapRestarted GapReason = "restarted"
	// GapSilent means that the process stopped sending messages. If it sends further reports
	// later, they are booked and the gap is closed.
	GapSilent GapReason = "silent"
	// GapMissing means that the node no longer has some reports that the account does not list
	// as booked.
	GapMissing GapReason = "missing"
)

// Gap records that counts may be missing: those of a process after report After and before
// report Before.
type Gap struct {
	Process
	// After is the number of the last report booked; zero if there was none.
	After uint64 `json:"after"`
	// Before is the number of the next report to be booked; zero if none is expected.
	Before uint64 `json:"before,omitempty"`
	// Since is the end of the last period booked, Seen the time of the last message of the
	// process.
	Since  time.Time `json:"since"`
	Seen   time.Time `json:"seen"`
	Reason GapReason `json:"reason"`
}

// ProcessState is the state of a process that the account knows: one whose reports are expected, or
// one that ended within the retention time.
type ProcessState struct {
	Process
	// Last is the number of the last report booked.
	Last uint64 `json:"last"`
	// Until is the end of that report's period, Seen the time of the last message of the
	// process.
	Until time.Time `json:"until"`
	Seen  time.Time `json:"seen"`
	// Silent is set after a gap was recorded because the process sent no messages.
	Silent bool `json:"silent,omitempty"`
	// Closed is set when the process has ended. The entry is kept so that a duplicate of a
	// booked report is not booked again.
	Closed bool `json:"closed,omitempty"`
}

// Segment is one numbered part of a cell's account.
type Segment struct {
	ID
	// Closes is set on the last segment of a month. No segment of a later month is written
	// before it, so that two collectors cannot continue in different months.
	Closes bool `json:"closes,omitempty"`
	// Previous links to the preceding segment, of the same month or an earlier one; nil for
	// the cell's first segment.
	Previous *Link `json:"previous"`
	// Writer is the process that built the segment, and At the time by its wall clock.
	Writer Process   `json:"writer"`
	At     time.Time `json:"at"`
	Counts []Count   `json:"counts"`
	Spans  []Span    `json:"spans"`
	Gaps   []Gap     `json:"gaps"`
	// Open lists the state of all known processes after this segment.
	Open []ProcessState `json:"open"`
}

// encodedSegment is the encoding of a segment in the store. The digest covers the bytes of the body.
type encodedSegment struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body"`
}

// Sealed is a segment with its digest and its encoded value.
type Sealed struct {
	Segment
	Digest string
	// Value is the encoded segment as written to the store.
	Value []byte
}

// Link returns the link to the segment.
func (s Sealed) Link() Link { return Link{ID: s.ID, Digest: s.Digest} }

// Seal encodes the segment and computes its digest.
func Seal(s Segment) (Sealed, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Sealed{}, errors.Wrap(err, "encode segment")
	}
	digest := digestOf(body)
	value, err := json.Marshal(encodedSegment{Digest: digest, Body: body})
	return Sealed{Segment: s, Digest: digest, Value: value}, errors.Wrap(err, "encode segment")
}

// Unseal decodes a stored segment and verifies its digest. It returns ErrSegment if the value
// is malformed or the digest is wrong.
func Unseal(value []byte) (Sealed, error) {
	var encoded encodedSegment
	if err := json.Unmarshal(value, &encoded); err != nil {
		return Sealed{}, errors.Mark(errors.Wrap(err, "decode segment"), ErrSegment)
	}
	if digest := digestOf(encoded.Body); digest != encoded.Digest {
		return Sealed{}, errors.Wrapf(ErrSegment, "the content has digest %.12s, not %.12s", digest, encoded.Digest)
	}
	var segment Segment
	if err := json.Unmarshal(encoded.Body, &segment); err != nil {
		return Sealed{}, errors.Mark(errors.Wrap(err, "decode segment"), ErrSegment)
	}
	return Sealed{Segment: segment, Digest: encoded.Digest, Value: value}, nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
