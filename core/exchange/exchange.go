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

// RequestMeta is the metadata that a caller sends with a request in its headers.
type RequestMeta struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is how long the caller waits for the answer, valid only if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the key of the request, valid only if HasKey is set.
	Key    int
	HasKey bool
}

// Delivery is the metadata that a target receives with a request.
type Delivery struct {
	// Target is the id of the only target that may run the request.
	Target string
	// Timeout is the time left for the answer.
	Timeout time.Duration
	// CallerService is the service of the VM that sent the request.
	CallerService string
}

// TargetProcess identifies one process of a target, which may start again under the same id.
type TargetProcess struct {
	ID string
	// Born is the start time of the process in Unix milliseconds.
	Born int64
}

// AnswerMeta is the metadata that a target returns with an answer.
type AnswerMeta struct {
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
	// RateLimit is the number of requests per second that the target takes from all nodes together,
	// valid only if Limit is LimitNamed.
	RateLimit float64
	Limit     LimitField
	// Leaving is set if the target says that it is about to end.
	Leaving bool
	// Load is the target's report on its load; valid only if HasLoad is set.
	Load    LoadReport
	HasLoad bool
	// ColdFor is how long the target says that it stays cold, zero if it is warm; valid only if HasColdFor is set.
	ColdFor    time.Duration
	HasColdFor bool
}

// LoadReport is what a target says about its load.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that the target runs and has queued.
	Running, Waiting int
	// Slots is the number of requests that it processes at a time.
	Slots int
	// Slowdown is how long work takes on the target's VM at this moment, relative to the usual time; 1 if the target
	// does not say.
	Slowdown float64
}

// LimitField tells whether an answer names a limit.
type LimitField uint8

const (
	// LimitAbsent means that the answer names no limit.
	LimitAbsent LimitField = iota
	// LimitNamed means that the answer names a limit.
	LimitNamed
	// LimitMalformed means that the answer has a limit that cannot be decoded.
	LimitMalformed
)

// Codec decodes and encodes the headers of requests and answers.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request. It fails with ErrMalformed.
	DecodeRequest(h http.Header) (RequestMeta, error)
	// EncodeDelivery sets the headers that a target expects.
	EncodeDelivery(h http.Header, d Delivery)
	// DecodeAnswer decodes the status and headers of a target's answer.
	DecodeAnswer(status int, h http.Header) AnswerMeta
	// EncodeRefusal sets the headers of an answer with which the node itself refuses a request;
	// after is how long the caller should wait before it tries again.
	EncodeRefusal(h http.Header, id string, after time.Duration)
}
