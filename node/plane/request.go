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

// Request is one caller's request as the owner side serves it. Its body is whole.
type Request struct {
	// ID is the caller's request id; the zero id stands for none.
	ID ulid.ULID
	// Attempt numbers the tries of one request within the system.
	Attempt uint64
	Service string
	Key     string
	Method  string
	// Path is what follows the key, with its leading slash; empty if nothing does.
	Path    string
	Query   string
	Headers []Header
	Body    []byte
	// Deadline is when the caller stops waiting, on the process's monotonic clock.
	Deadline time.Time
	// NonIdempotent tells that the request must run at most once.
	NonIdempotent bool
	// FirstSend tells that the caller sends this id for the first time, so that it cannot have
	// run before.
	FirstSend bool
	// CrossRegion tells that the entry node stands in another region.
	CrossRegion bool
	Range       keyspace.Range
	Slice       keyspace.SliceID
}

// Head opens an answer.
type Head struct {
	Status  int
	Headers []Header
	// Target is the VM name of the target that answered.
	Target string
	// Fence is the fence under which the request ran; zero for shared services.
	Fence fence.Fence
	// Length is the length of the body in bytes, or -1 when it is not known.
	Length int64
}

// Sink takes an answer. An error from it means that the caller is gone.
type Sink interface {
	Head(head Head) error
	Write(chunk []byte) error
}

// Result is how a request ended at the owner.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// RetryAfter is when a new try may succeed; zero when it is not known.
	RetryAfter time.Duration
	// BodyBytes counts the answer's body as passed to the sink.
	BodyBytes uint64
}

// Server serves requests at the owner.
type Server interface {
	// Serve runs one request on the local target. Nothing reached the sink when the outcome
	// is NotRun; an answer that started and was cut ends with Unknown.
	Serve(ctx context.Context, request *Request, sink Sink) Result
}
