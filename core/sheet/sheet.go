// Package sheet reads the planners' CSV sheet, checks it and compares it with another.
//
// A sheet has one row for each key range. Its columns, in any order, are service, kind,
// from, to, region, cell, targets and slices; the last three may be left out. Fields are
// separated by comma or semicolon, as the header line shows. Parse reports every fault
// with its line and column and never stops at the first.
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
	// KeyCurrent is the store's key of the accepted sheet. The version of that object is
	// the sheet's version.
	KeyCurrent = "sheet/current"
	// HistoryPrefix starts the keys of the sheets that were offered for acceptance.
	HistoryPrefix = "sheet/history/"

	// DefaultSlices is the number of slices of a range whose row names none.
	DefaultSlices = 64
	// MaxSlices is the largest number of slices of one range.
	MaxSlices = 4096
	// MaxNameBytes bounds names of services, regions, cells and VMs, in bytes.
	MaxNameBytes = 64
)

// Object is the value kept at KeyCurrent and below HistoryPrefix.
type Object struct {
	// CSV is the sheet as the operator gave it.
	CSV string `json:"csv"`
	// Layout is the meaning of CSV. Its Version is zero in the store.
	Layout keyspace.Layout `json:"layout"`
	// Who applied the sheet, and when by the operator's clock.
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	// Digest is the SHA-256 of CSV in hexadecimal.
	Digest string `json:"digest"`
	// Number counts accepted sheets from one.
	Number int64 `json:"number"`
	// HistoryKey is the key of this sheet's own copy below HistoryPrefix.
	HistoryKey string `json:"history_key"`
	// BaseVersion and BaseHistoryKey name the sheet that this one replaced; zero and empty
	// for the first.
	BaseVersion    int64  `json:"base_version"`
	BaseHistoryKey string `json:"base_history_key"`
}

// ErrObject reports a value that is not an Object.
var ErrObject = errors.New("malformed sheet object")

// Encode returns the stored form.
func (o Object) Encode() ([]byte, error) { return json.Marshal(o) }

// DecodeObject reads the stored form of the object with the given store version, which
// becomes the layout's version. It fails with ErrObject.
func DecodeObject(value []byte, version int64) (Object, error) {
	var o Object
	if err := json.Unmarshal(value, &o); err != nil {
		return Object{}, errors.Mark(errors.Wrap(err, "sheet object"), ErrObject)
	}
	o.Layout.Version = version
	return o, nil
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

// ValidName reports whether text may name a service, region, cell or VM: letters, digits,
// dot, underscore and hyphen, starting with a letter or digit.
func ValidName(text string) bool {
	for i, r := range text {
		ordinary := unicode.IsLetter(r) || unicode.IsDigit(r) || unicode.IsMark(r)
		if !ordinary && (i == 0 || (r != '.' && r != '_' && r != '-')) {
			return false
		}
	}
	return text != "" && len(text) <= MaxNameBytes
}
