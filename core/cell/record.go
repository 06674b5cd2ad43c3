package cell

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

// ErrMalformedRecord reports a stored record that cannot be read.
var ErrMalformedRecord = errors.New("malformed cell record")

// Assignment names the owner of a slice and the successor that takes the slice over if the
// owner is lost while the store cannot be written.
type Assignment struct {
	Owner     string `json:"o,omitempty"`
	Successor string `json:"s,omitempty"`
	// Seq is the number of the assignment, unique within the cell.
	Seq uint64 `json:"q,omitempty"`
}

// RangeRecord is one range that the cell serves.
type RangeRecord struct {
	Range keyspace.Range `json:"range"`
	// Hot lists the keys with a slice of their own: Hot[i] has the slice index Range.Slices+i.
	Hot []string `json:"hot,omitempty"`
	// Slices has one assignment per slice; those of hot keys come last.
	Slices []Assignment `json:"slices"`
}

// Record is the durable state of a cell.
type Record struct {
	Cell   string `json:"cell"`
	Region string `json:"region"`
	Epoch  uint64 `json:"epoch"`
	// FenceEpoch is the epoch of the cell's fences. It increases with Epoch and, when the cell
	// takes a range from other cells, above their fence epochs.
	FenceEpoch uint64 `json:"fence_epoch"`
	Controller Node   `json:"controller"`
	Standby    Node   `json:"standby"`
	// RoleVersion increases with each write that changes the standby or the controller.
	RoleVersion uint64 `json:"naming"`
	// PreviousController is the controller of the previous epoch.
	PreviousController Node          `json:"previous"`
	SheetVersion       int64         `json:"sheet_version"`
	Seq                uint64        `json:"seq"`
	Nodes              []Member      `json:"nodes"`
	Ranges             []RangeRecord `json:"ranges"`
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode cell record")
}

// DecodeRecord decodes the stored form of a record. Its errors match ErrMalformedRecord.
func DecodeRecord(data []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrapf(ErrMalformedRecord, "%v", err)
	}
	for i := range r.Ranges {
		rr := &r.Ranges[i]
		if len(rr.Slices) != int(rr.Range.Slices)+len(rr.Hot) {
			return nil, errors.Wrapf(ErrMalformedRecord, "range %s has %d assignments, want %d", rr.Range.ID(), len(rr.Slices), int(rr.Range.Slices)+len(rr.Hot))
		}
	}
	return r, nil
}

// Clone returns a copy whose nodes, ranges and assignments can be changed independently.
func (r *Record) Clone() *Record {
	c := *r
	c.Nodes = slices.Clone(r.Nodes)
	c.Ranges = slices.Clone(r.Ranges)
	for i := range c.Ranges {
		c.Ranges[i].Hot = slices.Clone(r.Ranges[i].Hot)
		c.Ranges[i].Slices = slices.Clone(r.Ranges[i].Slices)
	}
	return &c
}

// Node returns the entry of the named node.
func (r *Record) Node(name string) (Member, bool) {
	for _, n := range r.Nodes {
		if n.Name == name {
			return n, true
		}
	}
	return Member{}, false
}

// ControllerMember returns the controller's entry with its addresses.
func (r *Record) ControllerMember() Member {
	m, _ := r.Node(r.Controller.Name)
	m.Node = r.Controller
	return m
}

// assignment returns the assignment of a slice, nil if the record does not contain the slice.
func (r *Record) assignment(id keyspace.SliceID) *Assignment {
	for i := range r.Ranges {
		if r.Ranges[i].Range.ID() == id.Range && int(id.Index) < len(r.Ranges[i].Slices) {
			return &r.Ranges[i].Slices[id.Index]
		}
	}
	return nil
}

// forEachSlice calls f for every slice of the record.
func (r *Record) forEachSlice(f func(id keyspace.SliceID, rr *RangeRecord, a *Assignment)) {
	for i := range r.Ranges {
		rr := &r.Ranges[i]
		id := keyspace.SliceID{Range: rr.Range.ID()}
		for j := range rr.Slices {
			id.Index = uint32(j)
			f(id, rr, &rr.Slices[j])
		}
	}
}

// epochShift is the number of low bits of an assignment number that count the assignments of
// one epoch; the bits above hold the epoch.
const epochShift = 32

// fence returns the fence of an assignment under the record's current fence epoch.
func (r *Record) fence(seq uint64) fence.Fence { return fence.Fence{Epoch: r.FenceEpoch, Seq: seq} }

// putNode adds or replaces a node's entry, keeping the entries sorted by name.
func (r *Record) putNode(m Member) {
	i, found := slices.BinarySearchFunc(r.Nodes, m.Name, func(n Member, name string) int {
		return strings.Compare(n.Name, name)
	})
	if found {
		r.Nodes[i] = m
		return
	}
	r.Nodes = slices.Insert(r.Nodes, i, m)
}

// maxContacts is the maximum number of a cell's nodes that other cells know.
const maxContacts = 6

// Summary returns what other cells need to know of the record's cell.
func (r *Record) Summary() OtherCell {
	o := OtherCell{Cell: r.Cell, Region: r.Region, SheetVersion: r.SheetVersion, FenceEpoch: r.FenceEpoch}
	for _, name := range []string{r.Controller.Name, r.Standby.Name} {
		if n, ok := r.Node(name); ok && name != "" {
			o.Contacts = append(o.Contacts, n)
		}
	}
	for _, n := range r.Nodes {
		if len(o.Contacts) < maxContacts && n.Name != r.Controller.Name && n.Name != r.Standby.Name {
			o.Contacts = append(o.Contacts, n)
		}
	}
	for i := range r.Ranges {
		o.Ranges = append(o.Ranges, r.Ranges[i].Range)
		o.RangeIDs = append(o.RangeIDs, r.Ranges[i].Range.ID())
	}
	return o
}
