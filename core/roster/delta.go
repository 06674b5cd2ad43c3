package roster

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports a difference that is malformed or belongs to another snapshot.
var ErrInvalid = errors.New("invalid difference of entries")

const (
	// MaxBytes bounds an encoded difference in bytes. Entries take about 815 bytes, so it is enough for 10,000 nodes.
	MaxBytes = 8 << 20
	// maxItems bounds the entries of a snapshot, above the largest fleet (2,600 nodes).
	maxItems = 1 << 14
	// maxNameBytes and maxContentBytes bound the name and the text of an entry in bytes. The longest entries hold the
	// suspects of a node beside its target and voters.
	maxNameBytes    = 256
	maxContentBytes = 64 << 10
)

// The kinds of rows of an encoded difference. Rows that name an entry of the base do so by the distance from the entry
// that was named before; they come first, in the order of the base.
const (
	rowEnd = iota
	// rowRenewed holds version and renewal of an entry whose content is unchanged.
	rowRenewed
	// rowEdited also holds the part of the text after the renewal that has changed.
	rowEdited
	// rowRemoved is for an entry that is gone, or that a rowWhole replaces.
	rowRemoved
	// rowWhole holds a name and a whole entry.
	rowWhole
)

// Diff returns the difference from base to next as bytes that Apply understands; base may be nil. The length of the
// result grows with what has changed.
func Diff(base, next *Snapshot) []byte {
	e := &encoder{version: next.id.Version}
	e.varint(next.id.Version)
	e.bytes = binary.BigEndian.AppendUint64(e.bytes, next.id.Digest)
	var whole []Item
	items := next.Items()
	for i, known := range base.Items() {
		for len(items) > 0 && items[0].Name < known.Name {
			whole, items = append(whole, items[0]), items[1:]
		}
		if len(items) == 0 || items[0].Name != known.Name {
			e.row(rowRemoved, i)
			continue
		}
		item := items[0]
		items = items[1:]
		switch {
		case item.Content.isEqual(known.Content):
			if item.Version != known.Version || item.Renewal != known.Renewal {
				e.row(rowRenewed, i)
				e.renewal(known, item)
			}
		case item.Content.counted && known.Content.counted && item.Content.before == known.Content.before:
			e.row(rowEdited, i)
			e.renewal(known, item)
			e.edit(known.Content.after, item.Content.after)
		default:
			e.row(rowRemoved, i)
			whole = append(whole, item)
		}
	}
	for _, item := range append(whole, items...) {
		e.whole(item)
	}
	e.bytes = append(e.bytes, rowEnd)
	return e.bytes
}

// encoder appends rows to bytes.
type encoder struct {
	bytes []byte
	// version is the version of the snapshot; those of its entries are encoded as the distance from it, which is small.
	version int64
	// next is the index after that of the last entry of the base that was named.
	next int
}

func (e *encoder) varint(n int64)   { e.bytes = binary.AppendVarint(e.bytes, n) }
func (e *encoder) uvarint(n int)    { e.bytes = binary.AppendUvarint(e.bytes, uint64(n)) }
func (e *encoder) text(text string) { e.uvarint(len(text)); e.bytes = append(e.bytes, text...) }

func (e *encoder) row(kind byte, index int) {
	e.bytes = append(e.bytes, kind)
	e.uvarint(index - e.next)
	e.next = index + 1
}

func (e *encoder) renewal(known, item Item) {
	e.varint(e.version - item.Version)
	e.varint(item.Renewal - known.Renewal)
}

// edit encodes the text after the renewal by the lengths of its beginning and end that are unchanged and the part
// between them.
func (e *encoder) edit(known, text string) {
	shorter := min(len(known), len(text))
	begin := 0
	for begin < shorter && known[begin] == text[begin] {
		begin++
	}
	end := 0
	for end < shorter-begin && known[len(known)-1-end] == text[len(text)-1-end] {
		end++
	}
	e.uvarint(begin)
	e.uvarint(end)
	e.text(text[begin : len(text)-end])
}

func (e *encoder) whole(item Item) {
	e.bytes = append(e.bytes, rowWhole)
	e.text(item.Name)
	e.varint(e.version - item.Version)
	e.text(string(item.Content.Value(item.Renewal)))
}

// Apply returns the snapshot that a difference from base yields. It fails with ErrInvalid if the difference is
// malformed, exceeds the bounds of this package, or does not yield the snapshot that it names.
func Apply(base *Snapshot, data []byte) (*Snapshot, error) {
	d := &decoder{bytes: data, base: base.Items()}
	d.version = d.varint()
	digest := d.uint64()
	kind := d.row()
	for ; kind != rowEnd && kind != rowWhole; kind = d.row() {
		d.known(kind)
	}
	d.items = append(d.items, d.base[d.next:]...)
	for ; kind == rowWhole; kind = d.row() {
		d.whole()
	}
	if kind != rowEnd || len(d.bytes) > 0 {
		d.fail()
	}
	if d.failed || d.version <= 0 || len(d.items) > maxItems {
		return nil, errors.Wrapf(ErrInvalid, "%d bytes, %d entries, version %d", len(data), len(d.items), d.version)
	}
	slices.SortFunc(d.items, byName)
	for i := 1; i < len(d.items); i++ {
		if d.items[i-1].Name == d.items[i].Name {
			return nil, errors.Wrapf(ErrInvalid, "two entries of %q", d.items[i].Name)
		}
	}
	s := newSnapshot(d.version, d.items)
	if s.id.Digest != digest {
		return nil, errors.Wrap(ErrInvalid, "it belongs to another snapshot")
	}
	return s, nil
}

// decoder reads rows from bytes. After the first value that is malformed or out of range, all values are zero and all
// rows are rowEnd.
type decoder struct {
	bytes   []byte
	failed  bool
	version int64
	base    []Item
	next    int
	items   []Item
}

func (d *decoder) fail() { d.failed, d.bytes = true, nil }

func (d *decoder) varint() int64 {
	n, size := binary.Varint(d.bytes)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.bytes = d.bytes[size:]
	return n
}

// uvarint returns a number of at most limit.
func (d *decoder) uvarint(limit int) int {
	n, size := binary.Uvarint(d.bytes)
	if size <= 0 || n > uint64(limit) {
		d.fail()
		return 0
	}
	d.bytes = d.bytes[size:]
	return int(n)
}

func (d *decoder) uint64() uint64 {
	if len(d.bytes) < 8 {
		d.fail()
		return 0
	}
	n := binary.BigEndian.Uint64(d.bytes)
	d.bytes = d.bytes[8:]
	return n
}

func (d *decoder) text(limit int) string {
	n := d.uvarint(min(limit, len(d.bytes)))
	if d.failed || n > len(d.bytes) {
		d.fail()
		return ""
	}
	text := string(d.bytes[:n])
	d.bytes = d.bytes[n:]
	return text
}

func (d *decoder) row() byte {
	if len(d.bytes) == 0 {
		d.failed = true
		return rowEnd
	}
	kind := d.bytes[0]
	d.bytes = d.bytes[1:]
	return kind
}

// known decodes a row that names an entry of the base.
func (d *decoder) known(kind byte) {
	distance := d.uvarint(len(d.base))
	if d.failed || distance >= len(d.base)-d.next {
		d.fail()
		return
	}
	d.items = append(d.items, d.base[d.next:d.next+distance]...)
	item := d.base[d.next+distance]
	d.next += distance + 1
	switch kind {
	case rowRemoved:
		return
	case rowRenewed:
		d.renewal(&item)
	case rowEdited:
		d.renewal(&item)
		d.edit(&item)
	default:
		d.fail()
	}
	d.items = append(d.items, item)
}

func (d *decoder) renewal(item *Item) {
	item.Version = d.entryVersion()
	increase := d.varint()
	if increase > math.MaxInt64-max(item.Renewal, 0) || item.Renewal+increase < 0 {
		d.fail()
		return
	}
	item.Renewal += increase
}

// entryVersion decodes the version of an entry, which may be later than that of a listing of several pages.
func (d *decoder) entryVersion() int64 {
	distance := d.varint()
	if distance >= d.version || distance < d.version-math.MaxInt64 {
		d.fail()
		return 0
	}
	return d.version - distance
}

func (d *decoder) edit(item *Item) {
	known := item.Content.after
	begin := d.uvarint(len(known))
	end := d.uvarint(len(known) - begin)
	middle := d.text(maxContentBytes)
	if d.failed || !item.Content.counted || len(item.Content.before)+begin+len(middle)+end > maxContentBytes {
		d.fail()
		return
	}
	item.Content = newContent(item.Content.before, known[:begin]+middle+known[len(known)-end:], true)
}

func (d *decoder) whole() {
	name, version := d.text(maxNameBytes), d.entryVersion()
	value := d.text(maxContentBytes)
	if d.failed || name == "" || len(d.items) >= maxItems {
		d.fail()
		return
	}
	d.items = append(d.items, NewItem(name, version, []byte(value)))
}
