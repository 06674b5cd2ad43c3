package feed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// maxUnpackedBytes bounds an uncompressed value. It exceeds the largest object of the store in JSON.
const maxUnpackedBytes = 8 << 20

// packedObject is an object with a compressed value, as it is kept and passed on. Configurations and
// tables repeat the same names many times.
type packedObject struct {
	Key     string          `json:"key"`
	Version objects.Version `json:"version"`
	Value   []byte          `json:"value,omitempty"`
	// Deleted is set on the tombstone of an object that was deleted at this version or before it.
	Deleted bool `json:"deleted,omitempty"`
}

// packNewer compresses the objects with a version after the given one.
func packNewer(list []objects.Object, after objects.Version) []packedObject {
	var packed []packedObject
	for _, o := range list {
		if o.Version > after {
			packed = append(packed, pack(o))
		}
	}
	return packed
}

// packBatch returns what a batch of the store changes. Of several events for one key only the last counts.
func packBatch(batch objects.Batch, after objects.Version) []packedObject {
	last := make(map[string]int, len(batch.Events))
	for i, e := range batch.Events {
		last[e.Object.Key] = i
	}
	var present []objects.Object
	var deleted []packedObject
	for i, e := range batch.Events {
		switch {
		case last[e.Object.Key] != i:
		case e.Deleted:
			deleted = append(deleted, packedObject{Key: e.Object.Key, Version: batch.Next, Deleted: true})
		default:
			present = append(present, e.Object)
		}
	}
	return append(packNewer(present, after), deleted...)
}

// keysOf returns the keys of objects as a set.
func keysOf(list []objects.Object) map[string]bool {
	keys := make(map[string]bool, len(list))
	for _, o := range list {
		keys[o.Key] = true
	}
	return keys
}

// writers holds idle gzip writers, which allocate 800 KB each.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func pack(o objects.Object) packedObject {
	var compressed bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(o.Value)
	_ = w.Close()
	return packedObject{Key: o.Key, Version: o.Version, Value: compressed.Bytes()}
}

// unpack returns the object without a write id, which only its writer needs.
func (p packedObject) unpack() (objects.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(p.Value))
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "read the compressed value")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "decompress the value")
	}
	return objects.Object{Key: p.Key, Version: p.Version, Value: value}, nil
}
