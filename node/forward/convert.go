package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	relayv1 "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// ErrMalformed reports a frame that violates the protocol.
var ErrMalformed = errors.New("malformed frame")

func toWireHeaders(headers []plane.Header) []*relayv1.Header {
	out := make([]*relayv1.Header, len(headers))
	for i, h := range headers {
		out[i] = &relayv1.Header{Name: h.Name, Value: h.Value}
	}
	return out
}

func fromWireHeaders(headers []*relayv1.Header) []plane.Header {
	out := make([]plane.Header, len(headers))
	for i, h := range headers {
		out[i] = plane.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return out
}

func toWireOutcome(o outcome.Outcome) relayv1.Outcome {
	switch o {
	case outcome.Answered:
		return relayv1.Outcome_OUTCOME_ANSWERED
	case outcome.NotRun:
		return relayv1.Outcome_OUTCOME_NOT_RUN
	default:
		return relayv1.Outcome_OUTCOME_UNKNOWN
	}
}

// fromWireOutcome converts an outcome. A value that this version does not know becomes Unknown.
func fromWireOutcome(o relayv1.Outcome) outcome.Outcome {
	switch o {
	case relayv1.Outcome_OUTCOME_ANSWERED:
		return outcome.Answered
	case relayv1.Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

func toWireHead(cluster string, to plane.Peer, hops uint32, r *plane.Request) *relayv1.RequestHead {
	return &relayv1.RequestHead{
		Cluster:       cluster,
		Node:          to.Name,
		Incarnation:   to.Incarnation,
		RequestId:     formatRequestID(r.ID),
		Attempt:       r.Attempt,
		Service:       r.Service,
		Key:           r.Key,
		Method:        r.Method,
		Path:          r.Path,
		Query:         r.Query,
		Headers:       toWireHeaders(r.Headers),
		RemainingUs:   remainingMicros(r.Deadline),
		Hops:          hops,
		NonIdempotent: r.NonIdempotent,
		BodyLength:    int64(len(r.Body)),
		CrossRegion:   r.CrossRegion,
		FirstSend:     r.FirstSend,
	}
}

// fromWireHead converts the head of a request. received is the arrival time of its first frame,
// from which the deadline is computed.
func fromWireHead(h *relayv1.RequestHead, received time.Time) (*plane.Request, error) {
	r := &plane.Request{
		Attempt:       h.GetAttempt(),
		Service:       h.GetService(),
		Key:           h.GetKey(),
		Method:        h.GetMethod(),
		Path:          h.GetPath(),
		Query:         h.GetQuery(),
		Headers:       fromWireHeaders(h.GetHeaders()),
		Deadline:      received.Add(time.Duration(h.GetRemainingUs()) * time.Microsecond),
		NonIdempotent: h.GetNonIdempotent(),
		CrossRegion:   h.GetCrossRegion(),
		FirstSend:     h.GetFirstSend(),
	}
	if h.GetRequestId() == "" {
		return r, nil
	}
	id, err := ulid.ParseStrict(h.GetRequestId())
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "request id %q", h.GetRequestId())
	}
	r.ID = id
	return r, nil
}

func formatRequestID(id ulid.ULID) string {
	if id == (ulid.ULID{}) {
		return ""
	}
	return id.String()
}

func remainingMicros(deadline time.Time) uint64 {
	left := time.Until(deadline)
	return uint64(max(left, 0) / time.Microsecond)
}

func toWireEnd(attempt uint64, res plane.Result) *relayv1.ResponseEnd {
	return &relayv1.ResponseEnd{
		Attempt:      attempt,
		Outcome:      toWireOutcome(res.Outcome),
		Reason:       string(res.Reason),
		BodyBytes:    res.BodyBytes,
		RetryAfterMs: uint32(res.RetryAfter / time.Millisecond),
	}
}

func fromWireEnd(end *relayv1.ResponseEnd) plane.Result {
	return plane.Result{
		Outcome:    fromWireOutcome(end.GetOutcome()),
		Reason:     outcome.Reason(end.GetReason()),
		RetryAfter: time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
		BodyBytes:  end.GetBodyBytes(),
	}
}

// streamErrorReason returns why a stream ended with the error. The peer enforces the same
// deadline, and its status may arrive before the local context has expired, so both are checked.
func streamErrorReason(ctx context.Context, err error) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), err != nil && status.Code(err) == codes.DeadlineExceeded:
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCancelled
	default:
		return outcome.ReasonPeerLost
	}
}
