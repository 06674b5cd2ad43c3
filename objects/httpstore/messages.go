package httpstore

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

// ObjectMessage is one object in JSON; the value is in base64.
type ObjectMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	WriteID string `json:"write_id"`
	// Deleted marks the deletion of the object in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// ListingMessage is the answer to a listing.
type ListingMessage struct {
	Version int64           `json:"version"`
	Objects []ObjectMessage `json:"objects"`
}

// BatchMessage is the answer to one poll of a watch.
type BatchMessage struct {
	Next   int64           `json:"next"`
	Reset  bool            `json:"reset"`
	Events []ObjectMessage `json:"events"`
}

// NewListingMessage returns the message of a listing.
func NewListingMessage(l objects.Listing) ListingMessage {
	m := ListingMessage{Version: int64(l.Version), Objects: make([]ObjectMessage, 0, len(l.Objects))}
	for _, object := range l.Objects {
		m.Objects = append(m.Objects, newObjectMessage(object))
	}
	return m
}

// Listing returns the listing of the message.
func (m ListingMessage) Listing() objects.Listing {
	l := objects.Listing{Version: objects.Version(m.Version)}
	for _, object := range m.Objects {
		l.Objects = append(l.Objects, object.object())
	}
	return l
}

// NewBatchMessage returns the message of a batch.
func NewBatchMessage(b objects.Batch) BatchMessage {
	m := BatchMessage{Next: int64(b.Next), Reset: b.Reset, Events: make([]ObjectMessage, 0, len(b.Events))}
	for _, event := range b.Events {
		object := newObjectMessage(event.Object)
		object.Deleted = event.Deleted
		m.Events = append(m.Events, object)
	}
	return m
}

// Batch returns the batch of the message.
func (m BatchMessage) Batch() objects.Batch {
	b := objects.Batch{Next: objects.Version(m.Next), Reset: m.Reset}
	for _, event := range m.Events {
		b.Events = append(b.Events, objects.Event{Object: event.object(), Deleted: event.Deleted})
	}
	return b
}

func newObjectMessage(o objects.Object) ObjectMessage {
	return ObjectMessage{Key: o.Key, Value: o.Value, Version: int64(o.Version), WriteID: o.WriteID}
}

func (m ObjectMessage) object() objects.Object {
	return objects.Object{
		Key:     m.Key,
		Value:   m.Value,
		Version: objects.Version(m.Version),
		WriteID: m.WriteID,
	}
}

// answer is one whole answer of the store.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) version() (objects.Version, error) {
	version, err := strconv.ParseInt(a.header.Get(HeaderVersion), 10, 64)
	if err != nil || version <= 0 {
		return 0, errors.Wrapf(ErrProtocol, "version %q", a.header.Get(HeaderVersion))
	}
	return objects.Version(version), nil
}

// failure returns the error that a status other than 200 stands for.
func (a answer) failure() error {
	switch a.status {
	case http.StatusNotFound:
		return errors.WithStack(objects.ErrNotFound)
	case http.StatusConflict:
		return errors.WithStack(objects.ErrConflict)
	case http.StatusRequestEntityTooLarge:
		return errors.WithStack(objects.ErrTooLarge)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Wrapf(objects.ErrUnavailable, "status %d", a.status)
	default:
		return errors.Wrapf(ErrProtocol, "status %d", a.status)
	}
}

func formatVersion(v objects.Version) string {
	return strconv.FormatInt(int64(v), 10)
}
