package plane

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is a caller's request as the owner serves it, with its complete body.
type Request struct {
	// ID is the caller's request id; zero if the request has none.
	ID ulid.ULID
	// Attempt is the number of the attempt within the system, from one; a redirect keeps it.
	Attempt uint64
	Service string
	Key     string
	Method  string
	// Path is the part of the path after the key, with a leading slash; empty if there is none.
	Path    string
	Query   string
	Headers []Header
	Body    []byte
	// Deadline is when the caller stops waiting, on the monotonic clock of the process.
	Deadline time.Time
	// NonIdempotent is set if the request must run at most once.
	NonIdempotent bool
	// FirstSend is set if the caller sends this id for the first time, so that the request
	// cannot have run before.
	FirstSend bool
	// CrossRegion is set if the entry node is in another region.
	CrossRegion bool
	Range       keyspace.Range
	Slice       keyspace.SliceID
}

// Head is the status and the header fields of an answer.
type Head struct {
	Status  int
	Headers []Header
	// Target is the name of the VM whose target answered.
	Target string
	// Fence is the fence under which the request ran; zero for shared services.
	Fence fence.Fence
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
}

// Sink receives an answer. An error from it means that the caller has disconnected.
type Sink interface {
	Head(head Head) error
	Write(chunk []byte) error
}

// Result is the outcome of a request.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// RetryAfter is the time after which a retry may succeed; zero if it is not known.
	RetryAfter time.Duration
	// BodyBytes is the number of bytes of the answer's body that were passed to the sink.
	BodyBytes uint64
}

// Server serves requests on the node that owns their slice.
type Server interface {
	// Serve runs one request on the local target. With the outcome NotRun nothing has been passed
	// to the sink; an answer that started and was truncated ends with Unknown.
	Serve(ctx context.Context, request *Request, sink Sink) Result
}
