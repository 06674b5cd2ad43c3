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

// httpAnswer writes an answer to the caller. The outcome stands in the header when the
// answer's length is known, and always in the trailer, which only a whole answer has.
type httpAnswer struct {
	w       http.ResponseWriter
	owner   plane.Peer
	started bool
}

// ServedBy notes the owner.
func (a *httpAnswer) ServedBy(owner plane.Peer) { a.owner = owner }

// Head writes the status and the header fields.
func (a *httpAnswer) Head(head plane.Head) error {
	a.started = true
	fields := a.w.Header()
	for _, h := range head.Headers {
		if !hopByHop(h.Name) && !strings.HasPrefix(h.Name, headerPrefix) {
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
	}
	a.w.WriteHeader(head.Status)
	return nil
}

// Write writes a piece of the body and sends it on at once.
func (a *httpAnswer) Write(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return err
	}
	if a.w.Header().Get("Trailer") == "" {
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

// finish ends the answer. A started answer that is not whole breaks the connection, so that
// no caller can take it for a whole one.
func (a *httpAnswer) finish(result plane.Result) {
	switch {
	case a.started && result.Outcome == outcome.Answered:
		a.w.Header().Set(HeaderOutcome, outcome.Answered.String())
	case a.started:
		panic(http.ErrAbortHandler)
	default:
		a.refuse(statusOf(result), result, "")
	}
}

func (a *httpAnswer) setOwner(fields http.Header) {
	if a.owner.EntryAddress != "" {
		fields.Set(HeaderOwner, a.owner.EntryAddress)
	}
}

// refusal is the body of an answer that the system writes itself.
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

// statusOf maps a refusal to its HTTP status.
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
