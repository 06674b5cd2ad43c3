// Package sheet parses, validates and compares sheets. A sheet is the CSV file in which
// planners assign key ranges of services to regions and cells.
//
// A sheet has one row for each key range. Its columns, in any order, are service, kind,
// from, to, region, cell, targets and slices; the last three are optional. The separator is
// a comma or a semicolon, whichever the header line contains more often. Parse reports all
// faults with their line and column and does not stop at the first one.
package sheet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

const (
	// KeyCurrent is the store key of the accepted sheet. The version of that object is the
	// sheet's version.
	KeyCurrent = "sheet/current"
	// HistoryPrefix is the prefix of the store keys of all submitted sheets, accepted or not.
	HistoryPrefix = "sheet/history/"

	// DefaultSlices is the number of slices of a range whose row does not set it.
	DefaultSlices = 64
	// MaxSlices is the largest number of slices of one range.
	MaxSlices = 4096
	// MaxNameBytes is the maximum length of names of services, regions, cells and VMs, in bytes.
	MaxNameBytes = 64
)

// StoredSheet is the value stored at KeyCurrent and below HistoryPrefix.
type StoredSheet struct {
	// CSV is the text of the sheet as submitted by the operator.
	CSV string `json:"csv"`
	// Layout is the result of parsing CSV. Its Version is zero in the store.
	Layout keyspace.Layout `json:"layout"`
	// Who is the operator who applied the sheet, and When the time by the operator's clock.
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	// Digest is the SHA-256 of CSV in hexadecimal.
	Digest string `json:"digest"`
	// Number is the sequence number of the accepted sheet, starting at one.
	Number int64 `json:"number"`
	// HistoryKey is the key of this sheet's own copy below HistoryPrefix.
	HistoryKey string `json:"history_key"`
	// BaseVersion and BaseHistoryKey identify the sheet that this one replaced; they are zero
	// and empty for the first sheet.
	BaseVersion    int64  `json:"base_version"`
	BaseHistoryKey string `json:"base_history_key"`
}

// ErrStoredSheet reports a stored value that is not an encoded StoredSheet.
var ErrStoredSheet = errors.New("malformed stored sheet")

// Encode returns the stored form.
func (s StoredSheet) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeStoredSheet decodes the stored form of a sheet. version is the sheet's version in the store
// and becomes the layout's version. It returns ErrStoredSheet if the value is malformed.
func DecodeStoredSheet(value []byte, version int64) (StoredSheet, error) {
	var s StoredSheet
	if err := json.Unmarshal(value, &s); err != nil {
		return StoredSheet{}, errors.Mark(errors.Wrapf(err, "decode stored sheet, store version %d", version), ErrStoredSheet)
	}
	s.Layout.Version = version
	return s, nil
}

// Digest returns the SHA-256 of a sheet's text in hexadecimal.
func Digest(csv []byte) string {
	sum := sha256.Sum256(csv)
	return hex.EncodeToString(sum[:])
}

// CellOrRegion returns the cell, or the region's name when the cell is empty.
func CellOrRegion(cell, region string) string {
	if cell == "" {
		return region
	}
	return cell
}

// ValidName reports whether text is a valid name of a service, region, cell or VM: letters,
// digits, dot, underscore and hyphen, starting with a letter or digit, of at most
// MaxNameBytes.
func ValidName(text string) bool {
	for i, r := range text {
		ordinary := unicode.IsLetter(r) || unicode.IsDigit(r) || unicode.IsMark(r)
		if !ordinary && (i == 0 || (r != '.' && r != '_' && r != '-')) {
			return false
		}
	}
	return text != "" && len(text) <= MaxNameBytes
}
