// Package exchange holds what the parts of a node tell each other of one request and its answer,
// in the product's terms. The adapter of the platform reads and writes them.
package exchange

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a message that cannot be read as what it should be.
var ErrMalformed = errors.New("malformed message")

// Head is what a caller says of a request beside its method, path and body.
type Head struct {
	// ID names one attempt of the caller.
	ID string
	// Wait is how long the caller waits for the answer; zero if it does not say.
	Wait time.Duration
	// Key is the key of the request, valid with HasKey.
	Key    int
	HasKey bool
}

// Delivery is what a target is told of a request.
type Delivery struct {
	// Target is the id of the one target that may run the request.
	Target string
	// Wait is the time that is left for the answer.
	Wait time.Duration
	// CallerService is the service of the machine on which the request originated.
	CallerService string
}

// Verdict is what an answer of a target says beside its status and body.
type Verdict struct {
	// ID is the id of the request that is answered.
	ID string
	// NotRun tells that the target did not run the request.
	NotRun bool
	// Misdirected tells that the target does not hold the key or is not the one named.
	Misdirected bool
	// Sealed tells that the target signed the answer.
	Sealed bool
	// Target is the id of the answering target where it says so.
	Target string
	// RetryAfter is when the target asks to be tried again; zero if it does not say.
	RetryAfter time.Duration
}

// Codec reads and writes the headers of requests and answers.
type Codec interface {
	// Request reads the headers of a caller's request; it fails with ErrMalformed.
	Request(h http.Header) (Head, error)
	// Deliver sets the headers that a target expects.
	Deliver(h http.Header, d Delivery)
	// Verdict reads an answer of a target.
	Verdict(status int, h http.Header) Verdict
	// Refusal sets the headers of an answer of the node itself; after is when the caller may
	// try again.
	Refusal(h http.Header, id string, after time.Duration)
}
