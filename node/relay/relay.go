// Package relay holds the request and its result as the parts of a node pass them on: the
// ingress that takes a request, the hop to another node and the guard of the local target.
package relay

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/routing"
)

// MemoryBytes is how much of a body is held in memory: a request that is held whole can be sent
// again, and an answer that is held whole is known to be whole before its first byte is passed
// on. Most bodies of both deployments are smaller.
const MemoryBytes = 64 << 10

// ErrBodyRead reports a caller's body that could not be read to its end.
var ErrBodyRead = errors.New("request body ended early")

// Request is one request on its way through the system.
type Request struct {
	exchange.Head
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   *Body
	// Service is the service that the route names.
	Service string
	// Keyed tells that the service is divided by key and the request has one: only the key's owner
	// may run it.
	Keyed bool
	// CallerService is the service of the machine on which the request originated.
	CallerService string
	Kind          routing.Kind
	Priority      int
	Objective     time.Duration
	// Table is the version of the table that named the owner; zero for a shared service.
	Table int64
	// Deadline is when the caller or the route's timeout ends the wait.
	Deadline time.Time
}

// Left returns the time that is left.
func (r *Request) Left() time.Duration { return time.Until(r.Deadline) }

// Outgoing returns the request as it is sent on, with a copy of the headers less those that
// concern only one connection.
func (r *Request) Outgoing() *http.Request {
	h := r.Header.Clone()
	StripHop(h)
	if _, named := h["User-Agent"]; !named {
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Target}, Host: r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	r.Body.attach(out)
	return out
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// StripHop removes the headers that concern only one connection.
func StripHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range bytes.SplitSeq([]byte(line), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Body is a request's body: whole in memory, or partly and to be sent once.
type Body struct {
	memory []byte
	// rest is what follows memory; nil if the body is whole.
	rest   io.Reader
	length int64
	mu     sync.Mutex
	used   bool
}

// ReadBody takes in a body of length bytes, negative if it is not known.
func ReadBody(r io.Reader, length int64) (*Body, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return &Body{}, nil
	}
	memory, err := io.ReadAll(io.LimitReader(r, MemoryBytes+1))
	if err != nil {
		return nil, errors.Mark(err, ErrBodyRead)
	}
	b := &Body{memory: memory, length: length}
	if len(memory) > MemoryBytes {
		b.rest = r
	} else {
		b.length = int64(len(memory))
	}
	return b, nil
}

// Memory returns the part of the body that is held in memory.
func (b *Body) Memory() []byte { return b.memory }

// Replayable reports whether the body can be sent (again).
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || !b.used
}

func (b *Body) attach(out *http.Request) {
	if len(b.memory) == 0 {
		out.Body = http.NoBody
		return
	}
	out.ContentLength = b.length
	var reader io.Reader = bytes.NewReader(b.memory)
	if b.rest != nil {
		b.mu.Lock()
		b.used = true
		b.mu.Unlock()
		reader = io.MultiReader(reader, b.rest)
		if b.length < 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	}
	out.Body = io.NopCloser(reader)
}

// Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	// Memory is the first part of the body.
	Memory []byte
	// Rest is what follows Memory; nil if the body is whole.
	Rest io.ReadCloser
	// Length is the length of the body; negative if it is not known.
	Length int64
}

// Result is how a request ended. Answer is set if and only if the outcome is Answered.
type Result struct {
	outcome.End
	Answer *Answer
	// Reached tells that a target may have received the request.
	Reached bool
	// Target is the id of the target; empty if none was chosen.
	Target string
	// Detail is the error behind the reason, for the log.
	Detail string
}

// NotRun returns a result that proves that the request did not run.
func NotRun(reason outcome.Reason) Result {
	return Result{End: outcome.End{Outcome: outcome.NotRun, Reason: reason}}
}

// Unknown returns a result of a request that may have run.
func Unknown(reason outcome.Reason) Result {
	return Result{End: outcome.End{Outcome: outcome.Unknown, Reason: reason}, Reached: true}
}

// TakeAnswer reads the first part of an answer's body; an error means that the body broke off.
func TakeAnswer(response *http.Response) (*Answer, error) {
	a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	memory, err := io.ReadAll(io.LimitReader(response.Body, MemoryBytes))
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "read the answer's body")
	}
	a.Memory = memory
	if len(memory) < MemoryBytes {
		a.Length = int64(len(memory))
		// The probe for the end lets the connection be used again.
		_ = response.Body.Close()
		return a, nil
	}
	a.Rest = response.Body
	return a, nil
}

// Close frees what an answer holds.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Send writes the answer; it panics with http.ErrAbortHandler when the body breaks off, so that
// a cut answer does not look whole.
func (a *Answer) Send(w http.ResponseWriter, method string) {
	defer a.Close()
	h := w.Header()
	StripHop(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	if a.Length >= 0 && method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Memory); err != nil || a.Rest == nil {
		return
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// OnClose returns the body with a function that is called once after it was closed.
func OnClose(body io.ReadCloser, after func()) io.ReadCloser {
	return &closing{ReadCloser: body, after: sync.OnceFunc(after)}
}

type closing struct {
	io.ReadCloser
	after func()
}

// Close implements io.Closer.
func (c *closing) Close() error {
	err := c.ReadCloser.Close()
	c.after()
	return err
}
