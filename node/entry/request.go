package entry

import (
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Names of the header fields in requests of callers and in responses to them.
const (
	HeaderRequestID = "Auburnrelay-Request-Id"
	HeaderDeadline  = "Auburnrelay-Deadline-Ms"
	HeaderSendCount = "Auburnrelay-Send"
	HeaderOutcome   = "Auburnrelay-Outcome"
	HeaderReason    = "Auburnrelay-Reason"
	HeaderOwner     = "Auburnrelay-Owner"
	HeaderTarget    = "Auburnrelay-Target"
	HeaderFence     = "Auburnrelay-Fence"
	headerPrefix    = "Auburnrelay-"
)

// PathPrefix is the path prefix of callers' requests.
const PathPrefix = "/v1/"

var (
	// ErrBadPath reports a path that is not /v1/SERVICE/KEY[/REST].
	ErrBadPath = errors.New("path is not /v1/SERVICE/KEY[/REST]")
	// ErrBadRequestID reports a request id that is missing or not a ULID.
	ErrBadRequestID = errors.New("request id is not a ULID")
	// ErrBadDeadline reports a deadline that is not a positive number of milliseconds.
	ErrBadDeadline = errors.New("deadline is not a positive number of milliseconds")
	// ErrBadSendCount reports a send count that is not a number from one.
	ErrBadSendCount = errors.New("send count is not a number from one")
	// ErrKeyTooLong reports a key longer than Limits.KeyBytes.
	ErrKeyTooLong = errors.New("key too long")
	// ErrBodyTooLarge reports a body larger than Limits.BodyBytes.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrBodyTruncated reports a body that could not be read to its end.
	ErrBodyTruncated = errors.New("body cut before its end")
)

// Limits are the limits for callers' requests.
type Limits struct {
	// KeyBytes is the maximum length of a key, in bytes.
	KeyBytes int
	// BodyBytes is the maximum size of a body, in bytes.
	BodyBytes int64
	// DefaultDeadline is the timeout of a request that sets no deadline.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum timeout; longer ones are reduced to it.
	MaxDeadline time.Duration
}

// readRequest parses and validates a caller's request and reads its complete body.
func readRequest(h *http.Request, limits Limits, now time.Time) (*plane.Request, error) {
	r := &plane.Request{Method: h.Method, Query: h.URL.RawQuery, NonIdempotent: !isSafeMethod(h.Method)}
	if err := readPath(r, h.URL.EscapedPath(), limits); err != nil {
		return nil, err
	}
	if err := readID(r, h.Header.Get(HeaderRequestID)); err != nil {
		return nil, err
	}
	if err := readDeadline(r, h.Header.Get(HeaderDeadline), limits, now); err != nil {
		return nil, err
	}
	if err := readSendCount(r, h.Header.Get(HeaderSendCount)); err != nil {
		return nil, err
	}
	r.Headers = endToEndHeaders(h.Header)
	return r, readBody(r, h, limits)
}

func readPath(r *plane.Request, escaped string, limits Limits) error {
	service, rest, ok := strings.Cut(strings.TrimPrefix(escaped, PathPrefix), "/")
	key, path, hasPath := strings.Cut(rest, "/")
	if !ok || service == "" || key == "" {
		return errors.Wrapf(ErrBadPath, "path %q", escaped)
	}
	var err error
	if r.Service, err = url.PathUnescape(service); err != nil {
		return errors.Wrapf(ErrBadPath, "service %q", service)
	}
	if r.Key, err = url.PathUnescape(key); err != nil {
		return errors.Wrapf(ErrBadPath, "key %q", key)
	}
	if len(r.Key) > limits.KeyBytes {
		return errors.Wrapf(ErrKeyTooLong, "%d bytes, at most %d", len(r.Key), limits.KeyBytes)
	}
	if hasPath {
		r.Path = "/" + path
	}
	return nil
}

func readID(r *plane.Request, text string) error {
	if text == "" && !r.NonIdempotent {
		return nil
	}
	id, err := ulid.ParseStrict(text)
	if err != nil || id == (ulid.ULID{}) {
		return errors.Wrapf(ErrBadRequestID, "%s %q", HeaderRequestID, text)
	}
	r.ID = id
	return nil
}

func readDeadline(r *plane.Request, text string, limits Limits, now time.Time) error {
	if text == "" {
		r.Deadline = now.Add(limits.DefaultDeadline)
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return errors.Wrapf(ErrBadDeadline, "%s %q", HeaderDeadline, text)
	}
	wait := limits.MaxDeadline
	if ms < limits.MaxDeadline.Milliseconds() {
		wait = time.Duration(ms) * time.Millisecond
	}
	r.Deadline = now.Add(wait)
	return nil
}

// readSendCount parses how many times the caller has sent this request id. Without the field the id may
// have been sent before.
func readSendCount(r *plane.Request, text string) error {
	if text == "" {
		return nil
	}
	count, err := strconv.ParseUint(text, 10, 32)
	if err != nil || count == 0 {
		return errors.Wrapf(ErrBadSendCount, "%s %q", HeaderSendCount, text)
	}
	r.FirstSend = count == 1
	return nil
}

func readBody(r *plane.Request, h *http.Request, limits Limits) error {
	if h.ContentLength > limits.BodyBytes {
		return errors.Wrapf(ErrBodyTooLarge, "%d bytes, at most %d", h.ContentLength, limits.BodyBytes)
	}
	if h.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(h.Body, limits.BodyBytes+1))
	if err != nil {
		return errors.Wrapf(ErrBodyTruncated, "after %d bytes: %v", len(body), err)
	}
	if int64(len(body)) > limits.BodyBytes {
		return errors.Wrapf(ErrBodyTooLarge, "more than %d bytes", limits.BodyBytes)
	}
	r.Body = body
	return nil
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// endToEndHeaders returns the end-to-end header fields of a request, except those with
// headerPrefix.
func endToEndHeaders(fields http.Header) []plane.Header {
	var out []plane.Header
	dropped := connectionFields(fields)
	for name, values := range fields {
		if isHopByHop(name) || dropped[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		for _, value := range values {
			out = append(out, plane.Header{Name: name, Value: value})
		}
	}
	return out
}

// connectionFields returns the field names listed in Connection, which are hop-by-hop.
func connectionFields(fields http.Header) map[string]bool {
	marked := map[string]bool{}
	for _, value := range fields["Connection"] {
		for _, name := range strings.Split(value, ",") {
			marked[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return marked
}

// isHopByHop reports whether a field applies to a single connection (RFC 9110, section 7.6.1) or is
// set by the HTTP library.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	default:
		return false
	}
}
