// Package roster holds listings of the entries of nodes and computes the differences between them, so that a listing
// that one node of a region reads from the store can be passed on to the others without its unchanged parts.
//
// A snapshot is named by its version and a digest of its content, whoever took it. Most entries differ from one
// snapshot to the next only in the number that counts their renewals; a difference holds three small numbers for each
// of these. A snapshot that is computed from a difference is checked against the digest that the sender names.
//
// The package reads no clock and calls nothing. Snapshots are immutable and may be used concurrently.
package roster

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Content is an entry without the number of its renewal. Items with an unchanged content share one Content.
type Content struct {
	// before and after are the text before and after the number; after is empty if there is no number.
	before, after string
	counted       bool
	hash          uint64
}

// renewalField precedes the number of the renewal in the JSON text of an entry. A string of the text cannot contain
// it, since its quotes would be escaped. Text is put together again exactly as it was, whatever the number means.
const renewalField = `"renewal":`

// Split returns the content of an entry and the number of its renewal; zero if the entry names none.
func Split(value []byte) (*Content, int64) {
	text := string(value)
	at := strings.Index(text, renewalField)
	if at < 0 {
		return newContent(text, "", false), 0
	}
	begin := at + len(renewalField)
	end := begin
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	renewal, err := strconv.ParseInt(text[begin:end], 10, 64)
	if err != nil || strconv.FormatInt(renewal, 10) != text[begin:end] {
		return newContent(text, "", false), 0
	}
	return newContent(text[:begin], text[end:], true), renewal
}

func newContent(before, after string, counted bool) *Content {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(before)
	_, _ = h.Write([]byte{0, boolByte(counted)})
	_, _ = h.WriteString(after)
	return &Content{before: before, after: after, counted: counted, hash: h.Sum64()}
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (c *Content) isEqual(other *Content) bool {
	return c == other || c.hash == other.hash && c.counted == other.counted && c.before == other.before && c.after == other.after
}

// IsCounted reports whether the text of the entry holds a number of its renewal.
func (c *Content) IsCounted() bool { return c.counted }

// Value returns the text of the entry with the given number of its renewal.
func (c *Content) Value(renewal int64) []byte {
	if !c.counted {
		return []byte(c.before)
	}
	var b bytes.Buffer
	b.WriteString(c.before)
	b.WriteString(strconv.FormatInt(renewal, 10))
	b.WriteString(c.after)
	return b.Bytes()
}

// Item is the entry of one node in a snapshot.
type Item struct {
	Name string
	// Version is the version of the entry in the store.
	Version int64
	// Renewal is the number of the renewal, not negative.
	Renewal int64
	Content *Content
}

// NewItem returns the item of an entry with the given text.
func NewItem(name string, version int64, value []byte) Item {
	content, renewal := Split(value)
	return Item{Name: name, Version: version, Renewal: renewal, Content: content}
}

// isWithinBounds reports whether other nodes accept the item. The number of a renewal has at most 19 digits.
func (item Item) isWithinBounds() bool {
	const digits = 19
	size := len(item.Content.before) + len(item.Content.after) + digits
	return item.Name != "" && len(item.Name) <= maxNameBytes && size <= maxContentBytes && item.Version > 0
}

// ID names a snapshot.
type ID struct {
	Version int64  `json:"version"`
	Digest  uint64 `json:"digest"`
}

// Snapshot is an immutable listing of all entries.
type Snapshot struct {
	id    ID
	items []Item
}

// newSnapshot returns a snapshot of items that are sorted by name.
func newSnapshot(version int64, items []Item) *Snapshot {
	h := xxhash.New()
	var numbers []byte
	for _, item := range items {
		numbers = binary.AppendUvarint(numbers[:0], uint64(len(item.Name)))
		numbers = binary.AppendVarint(numbers, item.Version)
		numbers = binary.AppendVarint(numbers, item.Renewal)
		numbers = binary.BigEndian.AppendUint64(numbers, item.Content.hash)
		_, _ = h.WriteString(item.Name)
		_, _ = h.Write(numbers)
	}
	return &Snapshot{id: ID{Version: version, Digest: h.Sum64()}, items: items}
}

// ID returns the name of the snapshot; zero for nil.
func (s *Snapshot) ID() ID {
	if s == nil {
		return ID{}
	}
	return s.id
}

// Items returns the entries, sorted by name. The caller must not change them.
func (s *Snapshot) Items() []Item {
	if s == nil {
		return nil
	}
	return s.items
}

// Find returns the entry of a node, and whether there is one.
func (s *Snapshot) Find(name string) (Item, bool) {
	items := s.Items()
	i, found := slices.BinarySearchFunc(items, name, func(item Item, name string) int { return cmp.Compare(item.Name, name) })
	if !found {
		return Item{}, false
	}
	return items[i], true
}

// Merge returns the snapshot after a listing of all entries at the given version was read; s may be nil. A listing
// may come from a stale copy of the store: an entry keeps the later of its two versions, and one that the listing
// lacks stays if it is later than the listing. Entries beyond the bounds of this package are left out, since they could
// not be passed on. Merge reports false and returns s if the listing as a whole is older.
func (s *Snapshot) Merge(version int64, listed []Item) (*Snapshot, bool) {
	if version < s.ID().Version {
		return s, false
	}
	items := slices.Clone(listed)
	items = slices.DeleteFunc(items, func(item Item) bool { return !item.isWithinBounds() })
	slices.SortFunc(items, byName)
	items = slices.CompactFunc(items, func(a, b Item) bool { return a.Name == b.Name })
	missing := 0
	for _, known := range s.Items() {
		i, found := slices.BinarySearchFunc(items[:len(items)-missing], known, byName)
		switch {
		case found && known.Version >= items[i].Version:
			items[i] = known
		case found && known.Content.isEqual(items[i].Content):
			items[i].Content = known.Content
		case !found && known.Version > version:
			items = append(items, known)
			missing++
		}
	}
	slices.SortFunc(items, byName)
	return newSnapshot(version, items[:min(len(items), maxItems)]), true
}

// Reuse returns the snapshot with the contents that are equal to those of an earlier one shared with it.
func (s *Snapshot) Reuse(earlier *Snapshot) *Snapshot {
	items := slices.Clone(s.items)
	for i, item := range items {
		if known, found := earlier.Find(item.Name); found && known.Content.isEqual(item.Content) {
			items[i].Content = known.Content
		}
	}
	return &Snapshot{id: s.id, items: items}
}

func byName(a, b Item) int { return cmp.Compare(a.Name, b.Name) }
