// Package holding decides which target holds which keys of a service.
//
// The key space 0 to KeyMax is divided into Slices of equal length. A Table stores for each slice
// its owner, the fencing token of its grant, and, while the slice is being moved, its next owner.
// The table is the durable record of the service and changes only by conditional writes of the
// whole table. Fencing tokens come from one counter of the table, so a slice's token increases with
// each change of its owner. These slices and tokens are not those of packages keyspace and fence,
// which package cell uses.
//
// A slice is assigned to a new owner only when the previous one can no longer process requests for
// its keys: it released them, its grant has lapsed, or its process is known to have ended. The
// functions here only record such a change; the caller must have established that it is safe.
//
// A Table does no locking.
package holding

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// KeyMax is the largest key.
	KeyMax = 65535
	// SliceCount is the number of slices of a service. Adjacent slices go to different targets,
	// which spreads a busy range; with three targets, the 342 grants of each still fit into one response
	// of 4 KiB in the platform's compact encoding.
	SliceCount = 1024
	// SliceKeys is the number of keys in a slice.
	SliceKeys = (KeyMax + 1) / SliceCount
)

// ErrTable reports data that does not decode to a table.
var ErrTable = errors.New("malformed table of slices")

// Owner is one process of a target together with the node in front of it. A restarted target is
// another Owner.
type Owner struct {
	// Node is the name of the node that controls access to the target.
	Node string `json:"node"`
	// Target is the target's id.
	Target string `json:"target"`
	// Born is the start time of the target in Unix milliseconds; it distinguishes restarts under
	// the same id.
	Born int64 `json:"born"`
}

// Slice is the state of one slice.
type Slice struct {
	// Owner is an index into Table.Owners; negative for a slice without an owner.
	Owner int
	// Fence is the fencing token of the owner's grant.
	Fence int64
	// Handover is the token that the previous owner gave when it released the slice.
	Handover string
	// Next is an index into Table.Owners for a slice that its owner is to release to another one;
	// negative otherwise.
	Next int
}

// Table records the owners of all slices of one service.
type Table struct {
	Service string
	// Fence is the highest fencing token issued so far.
	Fence  int64
	Owners []Owner
	Slices [SliceCount]Slice
	// Gone lists owners whose targets have recently ended. Nodes that have not noticed it yet must
	// not assign slices to them.
	Gone []Owner
	// Era is the store's era in which the table was last written.
	Era int64
	// EraFence is the highest fencing token issued before the era (see BeginEra); zero once the table is
	// settled.
	EraFence int64
	// Reported lists the nodes that have reported what they knew when the era began (see Report).
	Reported []string
}

// maxGone is the largest number of entries in Table.Gone.
const maxGone = 16

// NewTable returns a table whose slices have no owner.
func NewTable(service string) *Table {
	t := &Table{Service: service}
	for i := range t.Slices {
		t.Slices[i] = Slice{Owner: -1, Next: -1}
	}
	return t
}

// SliceOf returns the index of the slice that contains key.
func SliceOf(key int) int { return key / SliceKeys }

// Clone returns a deep copy of t.
func (t *Table) Clone() *Table {
	c := *t
	c.Owners = append([]Owner(nil), t.Owners...)
	c.Gone = append([]Owner(nil), t.Gone...)
	c.Reported = append([]string(nil), t.Reported...)
	return &c
}

// OwnerOf returns the owner of a slice; false if it has none.
func (t *Table) OwnerOf(slice int) (Owner, bool) {
	s := t.Slices[slice]
	if s.Owner < 0 {
		return Owner{}, false
	}
	return t.Owners[s.Owner], true
}

// NextOf returns the owner that a slice is being moved to; false if it is not being moved.
func (t *Table) NextOf(slice int) (Owner, bool) {
	s := t.Slices[slice]
	if s.Next < 0 {
		return Owner{}, false
	}
	return t.Owners[s.Next], true
}

// OwnersInUse returns the owners and next owners of all slices.
func (t *Table) OwnersInUse() []Owner {
	used := make([]bool, len(t.Owners))
	for i := range t.Slices {
		for _, owner := range []int{t.Slices[i].Owner, t.Slices[i].Next} {
			if owner >= 0 {
				used[owner] = true
			}
		}
	}
	var owners []Owner
	for i, owner := range t.Owners {
		if used[i] {
			owners = append(owners, owner)
		}
	}
	return owners
}

// ensureOwner returns the index of an owner in Owners, appending it if it is missing.
func (t *Table) ensureOwner(o Owner) int {
	for i, known := range t.Owners {
		if known == o {
			return i
		}
	}
	t.Owners = append(t.Owners, o)
	return len(t.Owners) - 1
}

// compact removes owners that no slice refers to.
func (t *Table) compact() {
	newIndex := make([]int, len(t.Owners))
	for i := range newIndex {
		newIndex[i] = -1
	}
	var kept []Owner
	remap := func(i *int) {
		if *i < 0 {
			return
		}
		if newIndex[*i] < 0 {
			newIndex[*i] = len(kept)
			kept = append(kept, t.Owners[*i])
		}
		*i = newIndex[*i]
	}
	for i := range t.Slices {
		remap(&t.Slices[i].Owner)
		remap(&t.Slices[i].Next)
	}
	t.Owners = kept
}

// record is the encoded form of a table, run-length encoded.
type record struct {
	Service string  `json:"service"`
	Fence   int64   `json:"fence"`
	Owners  []Owner `json:"owners"`
	Gone    []Owner `json:"gone,omitempty"`
	Runs    []run   `json:"runs"`
	Era     int64   `json:"era,omitempty"`
	// EraFence is that of Table.
	EraFence int64    `json:"era_fence,omitempty"`
	Reported []string `json:"reported,omitempty"`
}

// run is a number of consecutive slices in the same state.
type run struct {
	Count    int    `json:"n"`
	Owner    int    `json:"o"`
	Fence    int64  `json:"f"`
	Handover string `json:"h,omitempty"`
	Next     int    `json:"x"`
}

// Encode returns the table as compressed JSON. It first removes owners that no slice refers to,
// which changes the indexes into Owners.
func (t *Table) Encode() ([]byte, error) {
	t.compact()
	r := record{Service: t.Service, Fence: t.Fence, Owners: t.Owners, Gone: t.Gone, Era: t.Era, EraFence: t.EraFence, Reported: t.Reported}
	for i, s := range t.Slices {
		if i > 0 && s == t.Slices[i-1] {
			r.Runs[len(r.Runs)-1].Count++
			continue
		}
		r.Runs = append(r.Runs, run{Count: 1, Owner: s.Owner, Fence: s.Fence, Handover: s.Handover, Next: s.Next})
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode table of slices")
	}
	return compress(encoded), nil
}

// maxRecordBytes bounds a decompressed record; 1024 runs with a handover token each take 80 KB.
const maxRecordBytes = 1 << 20

// compress compresses a record: its runs are very similar, and each change is sent to every node.
func compress(encoded []byte) []byte {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(encoded)
	_ = w.Close()
	return compressed.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxRecordBytes))
	return encoded, errors.Wrap(err, "decompress")
}

// Decode reads the form that Encode writes. It fails with ErrTable.
func Decode(data []byte) (*Table, error) {
	encoded, err := decompress(data)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode table of slices"), ErrTable)
	}
	var r record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode table of slices"), ErrTable)
	}
	t := &Table{Service: r.Service, Fence: r.Fence, Owners: r.Owners, Gone: r.Gone, Era: r.Era, EraFence: r.EraFence, Reported: r.Reported}
	at := 0
	for _, run := range r.Runs {
		bad := run.Count < 1 || run.Count > SliceCount-at || run.Owner < -1 || run.Owner >= len(r.Owners) ||
			run.Next < -1 || run.Next >= len(r.Owners) || run.Fence > r.Fence
		if bad {
			return nil, errors.Wrapf(ErrTable, "invalid run at slice %d", at)
		}
		for range run.Count {
			t.Slices[at] = Slice{Owner: run.Owner, Fence: run.Fence, Handover: run.Handover, Next: run.Next}
			at++
		}
	}
	if at != SliceCount {
		return nil, errors.Wrapf(ErrTable, "runs cover only %d slices", at)
	}
	return t, nil
}
