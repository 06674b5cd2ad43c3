package client

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// ErrTruncated reports an answer that was cut before its end.
var ErrTruncated = errors.New("answer cut before its end")

// Outcome is how a request ended.
type Outcome uint8

const (
	// Answered means that the answer is on its way; reading Body to its end completes it.
	Answered Outcome = iota + 1
	// NotRun means that the request is proved not to have run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the word that the interface uses.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Answer is how a request ended.
type Answer struct {
	// ID is the request's id, for sending it again.
	ID      ulid.ULID
	Outcome Outcome
	// Reason says why the request was not answered.
	Reason string
	// RetryAfter is when a new try may succeed; zero when it is not known.
	RetryAfter time.Duration
	// Status, Header and Body are the target's; Body is nil unless Outcome is Answered.
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Target is the VM name of the target that answered.
	Target string
	// Err is the transport's error, if one ended the request.
	Err error

	owner  string
	cancel context.CancelFunc
}

// readAnswer reads the outcome from a response's header. The outcome of a streamed answer
// stands in its trailer; the body checks it.
func readAnswer(resp *http.Response) *Answer {
	_, streamed := resp.Trailer[headerOutcome]
	answer := &Answer{
		Reason:     resp.Header.Get(headerReason),
		RetryAfter: retryAfter(resp.Header.Get("Retry-After")),
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Target:     resp.Header.Get(headerTarget),
		owner:      resp.Header.Get(headerOwner),
	}
	switch text := resp.Header.Get(headerOutcome); {
	case streamed || text == Answered.String():
		answer.Outcome = Answered
		answer.Body = &body{resp: resp, answer: answer, streamed: streamed}
		return answer
	case text == NotRun.String():
		answer.Outcome = NotRun
	default:
		answer.Outcome = Unknown
	}
	_ = resp.Body.Close()
	return answer
}

func retryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// body reads an answer and fails with ErrTruncated unless it is whole.
type body struct {
	resp     *http.Response
	answer   *Answer
	streamed bool
}

// Read reads the next part of the answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, errors.Mark(err, ErrTruncated)
	case b.streamed && b.resp.Trailer.Get(headerOutcome) != Answered.String():
		return n, ErrTruncated
	default:
		return n, io.EOF
	}
}

// Close ends the answer.
func (b *body) Close() error {
	b.answer.cancel()
	return b.resp.Body.Close()
}
