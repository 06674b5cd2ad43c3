package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// httpAnswer writes an answer to the caller. The outcome is sent as a header field if the length of
// the answer is known, and otherwise as a trailer field, which only a complete answer has.
type httpAnswer struct {
	w       http.ResponseWriter
	owner   plane.Peer
	started bool
	// unframed is set if the answer ends with the connection: it has no length, and the caller takes no chunks.
	unframed bool
	// takesChunks is set unless the caller speaks HTTP/1.0.
	takesChunks bool
}

// ServedBy implements Answer. The owner is sent in the field HeaderOwner.
func (a *httpAnswer) ServedBy(owner plane.Peer) { a.owner = owner }

// Head implements plane.Sink.
func (a *httpAnswer) Head(head plane.Head) error {
	a.started = true
	fields := a.w.Header()
	for _, h := range head.Headers {
		if !isHopByHop(h.Name) && !strings.HasPrefix(h.Name, headerPrefix) {
			fields.Add(h.Name, h.Value)
		}
	}
	a.setOwner(fields)
	fields.Set(HeaderTarget, head.Target)
	if head.Fence != (fence.Fence{}) {
		fields.Set(HeaderFence, head.Fence.String())
	}
	if head.Length >= 0 {
		fields.Set("Content-Length", strconv.FormatInt(head.Length, 10))
		fields.Set(HeaderOutcome, outcome.Answered.String())
	} else {
		fields.Set("Trailer", HeaderOutcome)
		a.unframed = !a.takesChunks
	}
	a.w.WriteHeader(head.Status)
	return nil
}

// Write implements plane.Sink. An answer of unknown length is flushed after each chunk.
func (a *httpAnswer) Write(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return err
	}
	if a.w.Header().Get("Trailer") == "" {
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

// finish completes the answer. If a started answer is incomplete, finish aborts the connection, so
// that the caller cannot take the answer for a complete one.
func (a *httpAnswer) finish(result plane.Result) {
	switch {
	case a.started && result.Outcome == outcome.Answered:
		a.w.Header().Set(HeaderOutcome, outcome.Answered.String())
	case a.started:
		if a.unframed {
			a.reset()
		}
		panic(http.ErrAbortHandler)
	default:
		a.refuse(statusOf(result), result, "")
	}
}

// reset resets the connection. Closing it would end an unframed answer like a complete one.
func (a *httpAnswer) reset() {
	connection, _, err := http.NewResponseController(a.w).Hijack()
	if err != nil {
		return
	}
	if lingerer, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = connection.Close()
}

func (a *httpAnswer) setOwner(fields http.Header) {
	if a.owner.EntryAddress != "" {
		fields.Set(HeaderOwner, a.owner.EntryAddress)
	}
}

// refusal is the body of a response that the node itself generates.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message,omitempty"`
}

func (a *httpAnswer) refuse(status int, result plane.Result, message string) {
	fields := a.w.Header()
	a.setOwner(fields)
	fields.Set(HeaderOutcome, result.Outcome.String())
	fields.Set(HeaderReason, string(result.Reason))
	fields.Set("Content-Type", "application/json")
	if result.RetryAfter > 0 {
		fields.Set("Retry-After", strconv.Itoa(int(result.RetryAfter.Seconds())+1))
	}
	body, err := json.Marshal(refusal{Outcome: result.Outcome.String(), Reason: string(result.Reason), Message: message})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	a.w.WriteHeader(status)
	_, _ = a.w.Write(append(body, '\n'))
}

// statusOf returns the HTTP status of a request that was not answered by a target.
func statusOf(result plane.Result) int {
	switch {
	case result.Outcome == outcome.Unknown:
		return http.StatusGatewayTimeout
	case result.Reason == outcome.ReasonKeyShare:
		return http.StatusTooManyRequests
	case result.Reason == outcome.ReasonDuplicate:
		return http.StatusConflict
	case result.Reason == outcome.ReasonQuarantined:
		return http.StatusLoopDetected
	default:
		return http.StatusServiceUnavailable
	}
}
