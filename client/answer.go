package client

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// ErrTruncated reports an answer whose body ended early.
var ErrTruncated = errors.New("answer truncated")

// Outcome is the result of a request.
type Outcome uint8

const (
	// Answered means that the answer has started to arrive; reading Body to its end completes it.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as it appears in the header Auburnrelay-Outcome.
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

// Answer is the result of a request.
type Answer struct {
	// ID is the request's id; a resend of the request must use it.
	ID      ulid.ULID
	Outcome Outcome
	// Reason is the machine-readable reason why the request was not answered.
	Reason string
	// RetryAfter is the time after which a retry may succeed; zero if it is unknown.
	RetryAfter time.Duration
	// Status, Header and Body are those of the response. Body is nil unless Outcome is Answered.
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Target is the name of the VM whose target answered.
	Target string
	// Err is the transport error that ended the request, if any.
	Err error

	owner  string
	cancel context.CancelFunc
}

// readAnswer reads the outcome from a response. A streamed response has its outcome in the trailer,
// which the body checks when it reaches its end.
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
	case !isValidHead(resp):
		answer.Outcome, answer.Reason, answer.owner = Unknown, "malformed-answer", ""
	case text == Answered.String() && !isFramed(resp):
		answer.Outcome, answer.Reason = Unknown, "unframed-answer"
	case streamed || text == Answered.String():
		answer.Outcome = Answered
		answer.Body = &answerBody{resp: resp, answer: answer, streamed: streamed}
		return answer
	case text == NotRun.String():
		answer.Outcome = NotRun
	default:
		answer.Outcome = Unknown
	}
	_ = resp.Body.Close()
	return answer
}

// isValidHead reports whether the status ends an exchange and the names of all fields are valid. net/http accepts any
// number of three characters as a status, and blanks in names but nothing else that they may not have.
func isValidHead(resp *http.Response) bool {
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return false
		}
	}
	return resp.StatusCode >= 200 && resp.StatusCode <= 599
}

// isFramed reports whether a response itself marks the end of its body. A body that ends with the connection cannot be
// told from a part of it: if the connection is reset while the request's body is being written, the write may get the
// error, and the read just the end. Compressed bodies and the streams of HTTP/2 mark their end, too.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed || resp.ProtoMajor >= 2 ||
		resp.Request.Method == http.MethodHead
}

func retryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// answerBody reads an answer. It fails with ErrTruncated if the answer is incomplete.
type answerBody struct {
	resp     *http.Response
	answer   *Answer
	streamed bool
}

// Read reads the next part of the body.
func (b *answerBody) Read(p []byte) (int, error) {
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

// Close releases the request's context and closes the body.
func (b *answerBody) Close() error {
	b.answer.cancel()
	return b.resp.Body.Close()
}
