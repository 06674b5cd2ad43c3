// Package exchange defines the metadata of a request and its answer independently of how the
// platform encodes it in headers. The platform's adapter implements Codec.
package exchange

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a message that cannot be decoded.
var ErrMalformed = errors.New("malformed message")

// Head is the metadata that a caller sends with a request in its headers.
type Head struct {
	// ID identifies one attempt of the caller.
	ID string
	// Wait is how long the caller waits for the answer; zero if not specified.
	Wait time.Duration
	// Key is the key of the request, valid only if HasKey is set.
	Key    int
	HasKey bool
}

// Delivery is the metadata that a target receives with a request.
type Delivery struct {
	// Target is the id of the only target that may run the request.
	Target string
	// Wait is the time left for the answer.
	Wait time.Duration
	// CallerService is the service of the VM that sent the request.
	CallerService string
}

// Verdict is the metadata that a target returns with an answer.
type Verdict struct {
	// ID is the id of the request that is answered.
	ID string
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Misdirected is set if the target does not hold the key or is not the one named in the
	// request.
	Misdirected bool
	// Sealed is set if the target signed the answer.
	Sealed bool
	// Target is the id of the answering target; empty if the answer does not contain it.
	Target string
	// RetryAfter is how long to wait before the next attempt; zero if not specified.
	RetryAfter time.Duration
}

// Codec decodes and encodes the headers of requests and answers.
type Codec interface {
	// Request decodes the headers of a caller's request. It fails with ErrMalformed.
	Request(h http.Header) (Head, error)
	// Deliver sets the headers that a target expects.
	Deliver(h http.Header, d Delivery)
	// Verdict decodes the status and headers of a target's answer.
	Verdict(status int, h http.Header) Verdict
	// Refusal sets the headers of an answer with which the node itself refuses a request; after is
	// how long the caller should wait before it tries again.
	Refusal(h http.Header, id string, after time.Duration)
}
