// Package relay defines the request and the result that are passed between the parts of a node:
// the ingress that receives a request, the hop to another node, and the guard of the local
// target.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
	"github.com/auburnrelay/auburnrelay/core/routing"
)

// MaxBufferedBytes is the largest part of a body that is buffered in memory. A request whose body
// is fully buffered can be resent; an answer whose body is fully buffered is known to be complete
// before its first byte is forwarded. Most bodies are smaller.
const MaxBufferedBytes = 64 << 10

// ErrBodyRead reports that a caller's request body could not be read completely.
var ErrBodyRead = errors.New("request body could not be read completely")

// Request is one caller's request as it is passed between the parts of a node.
type Request struct {
	exchange.RequestMeta
	Method string
	// RequestURI is the path and query as the caller wrote them.
	RequestURI string
	Host       string
	Header     http.Header
	Body       *Body
	// Service is the service named by the request's route.
	Service string
	// Keyed is set if the service is partitioned by key and the request has a key: only the key's
	// owner may run it.
	Keyed bool
	// CallerService is the service of the VM on which the request originated.
	CallerService string
	Kind          routing.Kind
	Priority      int
	// Homes are the regions in which the request may be served. Only the node that received it from its caller knows
	// them: it is the one that chooses the target.
	Homes routing.Regions
	// Objective is the latency objective of the request's route.
	Objective time.Duration
	// TableVersion is the version of the routing table that named the owner; zero for a shared
	// service.
	TableVersion int64
	// Deadline is set by the caller or by the route's timeout.
	Deadline time.Time
	// Repeated is set if the request may have reached a target before.
	Repeated bool
	// Asked is set if the sending node chooses among several targets by their load. A target with trouble then takes the
	// request only as a trial.
	Asked bool
	// Known is what the sending node knows of the target from earlier results; zero if nothing.
	Known TargetState
}

// Remaining returns the time until the deadline.
func (r *Request) Remaining() time.Duration { return time.Until(r.Deadline) }

// Outgoing returns the HTTP request to forward, with a copy of the headers without the
// hop-by-hop headers.
func (r *Request) Outgoing() *http.Request {
	h := r.Header.Clone()
	RemoveHopByHop(h)
	if _, named := h["User-Agent"]; !named {
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.RequestURI}, Host: r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	r.Body.attachTo(out)
	return out
}

// hopByHopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// RemoveHopByHop removes the hop-by-hop headers, including those named by Connection.
func RemoveHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range bytes.SplitSeq([]byte(line), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// Body is a request's body. It is either fully buffered and can be sent repeatedly, or its first
// part is buffered and it can be sent once.
type Body struct {
	memory []byte
	// rest is what follows memory; nil if the body is fully buffered.
	rest io.Reader
	// length is the length in bytes; negative if it is not known.
	length int64
	// bufferedAt is when memory was read.
	bufferedAt time.Time
	mu         sync.Mutex
	// restUsed is set once rest has been passed to an outgoing request.
	restUsed bool
}

const (
	// RestPause is how long a body must have been left unread for ReadRest to read it. Shorter waits are not worth
	// giving up that a body is forwarded while it arrives.
	RestPause = 100 * time.Millisecond
	// maxRestBytes is the longest body that ReadRest reads to its end. Only requests that hold a slot of a target do so, which
	// bounds the memory.
	maxRestBytes = 512 << 10
)

// ReadBody buffers the first part of a body. length is its length in bytes, negative if it is
// not known. It fails with ErrBodyRead.
func ReadBody(r io.Reader, length int64) (*Body, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return &Body{}, nil
	}
	memory, err := readPart(r, length, MaxBufferedBytes+1)
	if err != nil {
		return nil, errors.Mark(err, ErrBodyRead)
	}
	b := &Body{memory: memory, length: length, bufferedAt: time.Now()}
	if len(memory) > MaxBufferedBytes {
		b.rest = r
	} else {
		b.length = int64(len(memory))
	}
	return b, nil
}

const (
	// firstPartBytes is the size of the buffer in which a body is read at first, and partGrowth the factor by which it
	// grows, so that a body that does not arrive takes no memory.
	firstPartBytes = 4 << 10
	partGrowth     = 4
)

// readPart reads a body to its end or to the limit. length is its length in bytes, negative if it is not known.
func readPart(r io.Reader, length int64, limit int) ([]byte, error) {
	most := limit
	if length >= 0 && length < int64(limit) {
		// One byte more lets the last read find the end.
		most = int(length) + 1
	}
	part := make([]byte, 0, min(firstPartBytes, most))
	for len(part) < limit {
		if len(part) == cap(part) {
			grown := make([]byte, len(part), max(len(part)+1, min(most, partGrowth*cap(part))))
			copy(grown, part)
			part = grown
		}
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if errors.Is(err, io.EOF) {
			return part, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return part, nil
}

// ReadRest reads the rest of a body that has waited to be sent. A caller that disconnects behind a long body is only
// noticed once the body has been read, and its request must not reach a target then. It fails with ErrBodyRead or with
// the context's error, after which the body cannot be sent.
func (b *Body) ReadRest(ctx context.Context) error {
	if b.rest == nil || b.length > maxRestBytes || time.Since(b.bufferedAt) < RestPause {
		return nil
	}
	rest, length := b.rest, b.length
	if length >= 0 {
		length -= int64(len(b.memory))
	}
	b.mu.Lock()
	b.restUsed = true
	b.mu.Unlock()
	type part struct {
		bytes []byte
		err   error
	}
	read := make(chan part, 1)
	go func() {
		bytes, err := readPart(rest, length, maxRestBytes)
		read <- part{bytes, err}
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case p := <-read:
		if p.err != nil {
			return errors.Mark(p.err, ErrBodyRead)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.rest, b.restUsed = bytes.NewReader(p.bytes), false
		if len(p.bytes) == maxRestBytes {
			b.rest = io.MultiReader(b.rest, rest)
		}
		return ctx.Err()
	}
}

// Buffered returns the buffered part of the body.
func (b *Body) Buffered() []byte { return b.memory }

// Replayable reports whether the body can be sent, for the first time or again.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || !b.restUsed
}

// Complete reports whether the whole body is buffered, so that it can be sent several times at once.
func (b *Body) Complete() bool { return b.rest == nil }

func (b *Body) attachTo(out *http.Request) {
	if len(b.memory) == 0 {
		out.Body = http.NoBody
		return
	}
	out.ContentLength = b.length
	var reader io.Reader = bytes.NewReader(b.memory)
	if b.rest != nil {
		b.mu.Lock()
		b.restUsed = true
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
	// Buffered is the buffered first part of the body.
	Buffered []byte
	// Rest is what follows Buffered; nil if the body is fully buffered.
	Rest io.ReadCloser
	// Length is the length of the body in bytes; negative if it is not known.
	Length int64
}

// Result is the result of a request. Answer is set if and only if the outcome is Answered.
type Result struct {
	outcome.End
	Answer *Answer
	// Reached is set if a target may have received the request.
	Reached bool
	// Target is the id of the target; empty if none was chosen.
	Target string
	// Detail is the text of the error behind the reason, for the log.
	Detail string
	// State is what the target's guard knows of the target; zero if no guard was reached.
	State TargetState
	// Load is the report of the target's guard on the target's load; nil if there is none.
	Load *balance.Report
}

// TargetState is what a target's process has said about itself in its answers. Nodes pass it on with
// requests and results, so that a guard that has just started knows it before the first answer.
type TargetState struct {
	Process exchange.TargetProcess
	Limit   ratelimit.Limit
	// Leaving is set once the process has said that it leaves.
	Leaving bool
}

// NotRun returns the result of a request that certainly did not run.
func NotRun(reason outcome.Reason) Result {
	return Result{End: outcome.End{Outcome: outcome.NotRun, Reason: reason}}
}

// Unknown returns the result of a request that may have run.
func Unknown(reason outcome.Reason) Result {
	return Result{End: outcome.End{Outcome: outcome.Unknown, Reason: reason}, Reached: true}
}

// ReadAnswer reads the first part of an answer's body. It fails if the body is truncated.
func ReadAnswer(response *http.Response) (*Answer, error) {
	a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	memory, err := readPart(response.Body, response.ContentLength, MaxBufferedBytes)
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "read answer body")
	}
	a.Buffered = memory
	if len(memory) < MaxBufferedBytes {
		a.Length = int64(len(memory))
		// The body was read to its end, so closing it lets the connection be reused.
		_ = response.Body.Close()
		return a, nil
	}
	a.Rest = response.Body
	return a, nil
}

// Close closes the unread part of the answer's body.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// WriteResponse writes the answer to w and closes it. It panics with http.ErrAbortHandler if the
// body is truncated, so that the caller's connection is aborted and the answer does not look
// complete.
func (a *Answer) WriteResponse(w http.ResponseWriter, method string) {
	defer a.Close()
	h := w.Header()
	RemoveHopByHop(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	if a.Length >= 0 && method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Buffered); err != nil || a.Rest == nil {
		return
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// OnClose returns body with a Close method that also calls after, at the first call only.
func OnClose(body io.ReadCloser, after func()) io.ReadCloser {
	return &closeHookBody{ReadCloser: body, after: sync.OnceFunc(after)}
}

type closeHookBody struct {
	io.ReadCloser
	after func()
}

// Close implements io.Closer.
func (c *closeHookBody) Close() error {
	err := c.ReadCloser.Close()
	c.after()
	return err
}
