// Package hop forwards requests between nodes over HTTP/1.1. The caller's request is forwarded
// unchanged except for additional headers, which the receiving node removes.
//
// Headers of the response carry the outcome of the request. A node refuses, with the outcome NotRun,
// a request that is addressed to another node or that its local target does not serve.
package hop

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/ratelimit"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/budget"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

// Headers between nodes. The receiver removes every header with the prefix.
const (
	headerPrefix     = "Auburnrelay-"
	headerNode       = headerPrefix + "Node"
	headerService    = headerPrefix + "Service"
	headerCaller     = headerPrefix + "Caller"
	headerKind       = headerPrefix + "Kind"
	headerPriority   = headerPrefix + "Priority"
	headerKeyed      = headerPrefix + "Keyed"
	headerWait       = headerPrefix + "Wait-Us"
	headerObjective  = headerPrefix + "Objective-Us"
	headerOutcome    = headerPrefix + "Outcome"
	headerReason     = headerPrefix + "Reason"
	headerReached    = headerPrefix + "Reached"
	headerRetryAfter = headerPrefix + "Retry-Us"
	headerTarget     = headerPrefix + "Target"
	headerRepeated   = headerPrefix + "Repeated"
	// headerBorn, headerLimit and headerLeaving hold the state of the target process that headerTarget
	// names.
	headerBorn    = headerPrefix + "Born"
	headerLimit   = headerPrefix + "Limit"
	headerLeaving = headerPrefix + "Leaving"
	// headerAsked marks a request whose sender chooses by load; headerLoad holds the load report of the target.
	headerAsked = headerPrefix + "Asked"
	headerLoad  = headerPrefix + "Load"
)

// transferPurpose is the purpose of forwarded requests in the counters of bytes.
const transferPurpose = "requests"

// deadlineMargin is how long after the request's deadline the sender still waits for the response.
// It covers the margin of the receiving node's guard (package guard) and the way back across
// regions.
const deadlineMargin = 150 * time.Millisecond

// Client sends requests to other nodes.
type Client struct {
	pool *h1.Pool
}

// NewClient returns a client that uses the connections of the pool.
func NewClient(pool *h1.Pool) *Client { return &Client{pool: pool} }

// Send forwards a request to the node of the destination and returns the result. A request whose
// body cannot be replayed is not sent.
func (c *Client) Send(ctx context.Context, r *relay.Request, d ownership.Destination) relay.Result {
	if !r.Body.Replayable() {
		return relay.NotRun(outcome.ReasonRetryBudget)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(deadlineMargin))
	out := r.Outgoing()
	setHeaders(out.Header, r, d)
	response, err := c.pool.Do(ctx, h1.Call{Address: d.Address, Request: out, Purpose: transferPurpose})
	if err != nil {
		result := sendErrorResult(ctx, err)
		cancel()
		return result
	}
	result := readResult(ctx, response)
	if result.Answer != nil && result.Answer.Rest != nil {
		result.Answer.Rest = relay.OnClose(result.Answer.Rest, cancel)
	} else {
		cancel()
	}
	return result
}

func setHeaders(h http.Header, r *relay.Request, d ownership.Destination) {
	h.Set(headerNode, d.Node)
	h.Set(headerService, r.Service)
	h.Set(headerCaller, r.CallerService)
	h.Set(headerKind, strconv.Itoa(int(r.Kind)))
	h.Set(headerPriority, strconv.Itoa(r.Priority))
	if r.Keyed {
		h.Set(headerKeyed, "1")
	}
	writeState(h, r.Known)
	if r.Repeated {
		h.Set(headerRepeated, "1")
	}
	if r.Asked {
		h.Set(headerAsked, "1")
	}
	h.Set(headerWait, strconv.FormatInt(r.Remaining().Microseconds(), 10))
	h.Set(headerObjective, strconv.FormatInt(r.Objective.Microseconds(), 10))
}

// writeState writes the state of a target, if it is known.
func writeState(h http.Header, s relay.TargetState) {
	if s.Process.ID == "" {
		return
	}
	h.Set(headerTarget, s.Process.ID)
	h.Set(headerBorn, strconv.FormatInt(s.Process.Born, 10))
	if s.Limit.Valid {
		h.Set(headerLimit, strconv.FormatFloat(s.Limit.PerSecond, 'g', -1, 64))
	}
	if s.Leaving {
		h.Set(headerLeaving, "1")
	}
}

// readState returns the state that writeState wrote; zero if there is none.
func readState(h http.Header) relay.TargetState {
	born, err := strconv.ParseInt(h.Get(headerBorn), 10, 64)
	if err != nil || h.Get(headerTarget) == "" {
		return relay.TargetState{}
	}
	s := relay.TargetState{Process: exchange.TargetProcess{ID: h.Get(headerTarget), Born: born}, Leaving: h.Get(headerLeaving) != ""}
	if limit, err := strconv.ParseFloat(h.Get(headerLimit), 64); err == nil && limit >= 0 {
		s.Limit = ratelimit.Limit{PerSecond: limit, Valid: true}
	}
	return s
}

// readLoad returns the load report in the headers; nil if there is none or it is malformed.
func readLoad(h http.Header) *balance.Report {
	text := h.Get(headerLoad)
	if text == "" {
		return nil
	}
	report, err := balance.ParseReport(text)
	if err != nil {
		return nil
	}
	return report
}

func sendErrorResult(ctx context.Context, err error) relay.Result {
	result := relay.Unknown(outcome.ReasonPeerLost)
	switch {
	case errors.Is(err, h1.ErrNotSent):
		result = relay.NotRun(outcome.ReasonPeerUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = relay.Unknown(outcome.ReasonDeadline)
	case ctx.Err() != nil:
		result = relay.Unknown(outcome.ReasonCancelled)
	}
	result.Detail = err.Error()
	return result
}

func readResult(ctx context.Context, response *http.Response) relay.Result {
	h := response.Header
	target := h.Get(headerTarget)
	end := outcome.End{Outcome: parseOutcome(h.Get(headerOutcome)), Reason: outcome.Reason(h.Get(headerReason))}
	if micros, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64); err == nil {
		end.RetryAfter = time.Duration(micros) * time.Microsecond
	}
	reached, state, load := h.Get(headerReached) != "", readState(h), readLoad(h)
	stripHopHeaders(h)
	if end.Outcome != outcome.Answered {
		_, _ = relay.ReadAnswer(response)
		_ = response.Body.Close()
		return relay.Result{End: end, Reached: reached, Target: target, State: state, Load: load}
	}
	answer, err := relay.ReadAnswer(response)
	if err != nil {
		result := relay.Unknown(outcome.ReasonTruncated)
		if ctx.Err() != nil {
			result.Reason = outcome.ReasonCancelled
		}
		result.Target, result.Detail, result.State, result.Load = target, err.Error(), state, load
		return result
	}
	return relay.Result{End: end, Answer: answer, Reached: true, Target: target, State: state, Load: load}
}

func stripHopHeaders(h http.Header) {
	for name := range h {
		if len(name) > len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix {
			delete(h, name)
		}
	}
}

// parseOutcome parses an outcome. An unrecognized one counts as Unknown: the request may have run.
func parseOutcome(text string) outcome.Outcome {
	for _, o := range []outcome.Outcome{outcome.Answered, outcome.NotRun} {
		if o.String() == text {
			return o
		}
	}
	return outcome.Unknown
}

// Server serves requests that other nodes forward to the local target.
type Server struct {
	node  string
	codec exchange.Codec
	serve func(context.Context, *relay.Request) relay.Result
	log   *telemetry.RequestLog
}

// NewServer returns the server of the named node; serve runs a request on the local target.
func NewServer(
	node string, codec exchange.Codec, serve func(context.Context, *relay.Request) relay.Result, log *telemetry.RequestLog,
) *Server {
	return &Server{node: node, codec: codec, serve: serve, log: log}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request, reason := s.readRequest(r, arrived)
	result := relay.NotRun(reason)
	if reason == outcome.ReasonNone {
		result = s.serve(r.Context(), request)
	}
	logEnd := s.log.Routine
	if result.Outcome != outcome.Answered {
		logEnd = s.log.Unusual
	}
	logEnd("hop ended", "id", requestID(request), "outcome", result.Outcome.String(),
		"reason", string(result.Reason), "detail", result.Detail, "target", result.Target,
		"took_ms", time.Since(arrived).Milliseconds())
	writeResult(w, r.Method, result)
}

// RefusalHeader returns the headers of a response by which a node refuses a request that it has not read.
func RefusalHeader() http.Header {
	h := http.Header{}
	h.Set(headerOutcome, outcome.NotRun.String())
	h.Set(headerReason, string(outcome.ReasonMemory))
	return h
}

// ClosingHeader returns the headers of the response by which a node that stops ends an idle connection.
func ClosingHeader() http.Header {
	h := http.Header{}
	h.Set(headerOutcome, outcome.NotRun.String())
	h.Set(headerReason, string(outcome.ReasonStopping))
	return h
}

// IsRequest reports whether the headers belong to a request forwarded by a node.
func IsRequest(h http.Header) bool { return h.Get(headerNode) != "" }

func requestID(r *relay.Request) string {
	if r == nil {
		return ""
	}
	return r.ID
}

func (s *Server) readRequest(r *http.Request, arrived time.Time) (*relay.Request, outcome.Reason) {
	h := r.Header
	meta, err := s.codec.DecodeRequest(h)
	remaining, remainingErr := strconv.ParseInt(h.Get(headerWait), 10, 64)
	if err != nil || remainingErr != nil || h.Get(headerNode) != s.node {
		return nil, outcome.ReasonPeerIdentity
	}
	kind, _ := strconv.Atoi(h.Get(headerKind))
	priority, _ := strconv.Atoi(h.Get(headerPriority))
	objective, _ := strconv.ParseInt(h.Get(headerObjective), 10, 64)
	body, err := relay.ReadBody(r.Body, r.ContentLength)
	if errors.Is(err, budget.ErrFull) {
		return nil, outcome.ReasonMemory
	}
	if err != nil {
		return nil, outcome.ReasonCancelled
	}
	request := &relay.Request{
		RequestMeta: meta, Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Body: body,
		Service: h.Get(headerService), Keyed: meta.HasKey && h.Get(headerKeyed) != "", CallerService: h.Get(headerCaller),
		Kind: routing.Kind(kind), Priority: priority,
		Objective: time.Duration(objective) * time.Microsecond,
		Deadline:  arrived.Add(time.Duration(remaining) * time.Microsecond),
		Repeated:  h.Get(headerRepeated) != "",
		Known:     readState(h),
		Asked:     h.Get(headerAsked) != "",
	}
	stripHopHeaders(h)
	request.Header = h
	return request, outcome.ReasonNone
}

func writeResult(w http.ResponseWriter, method string, result relay.Result) {
	h := w.Header()
	h.Set(headerOutcome, result.Outcome.String())
	h.Set(headerTarget, result.Target)
	writeState(h, result.State)
	if result.Load != nil {
		h.Set(headerLoad, result.Load.String())
	}
	if result.Outcome == outcome.Answered {
		// WriteResponse copies the target's headers over those set above.
		stripHopHeaders(result.Answer.Header)
		result.Answer.WriteResponse(w, method)
		return
	}
	h.Set(headerReason, string(result.Reason))
	if result.Reached {
		h.Set(headerReached, "1")
	}
	if result.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(result.RetryAfter.Microseconds(), 10))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
