package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Headers between a node and its target.
const (
	HeaderRequestID = "Auburnrelay-Request-Id"
	HeaderAttempt   = "Auburnrelay-Attempt"
	HeaderSlice     = "Auburnrelay-Slice"
	HeaderFence     = "Auburnrelay-Fence"
	HeaderRemaining = "Auburnrelay-Remaining-Ms"
	HeaderStartBy   = "Auburnrelay-Start-By-Boot-Ms"
	HeaderNotRun    = "Auburnrelay-Not-Run"
	headerPrefix    = "Auburnrelay-"
)

// copyBytes is the size of the buffer that forwards an answer's body.
const copyBytes = 32 << 10

// drainBytes bounds the part of a refusal's body that is read so that its connection can be
// reused.
const drainBytes = 4 << 10

// Call is one request to the target.
type Call struct {
	Request *plane.Request
	// ID identifies the request at the target.
	ID string
	// Fence is zero for shared services.
	Fence fence.Fence
	// Remaining returns the time within which the target may start the request. It is called as
	// late as possible; if it returns zero or less, the request is not sent.
	Remaining func() time.Duration
}

// Ending is the result of a call.
type Ending struct {
	outcome.End
	// Resolved is set if the call can no longer be running on the target.
	Resolved bool
	// Broken is set if the connection broke while the request may have been running, which may
	// indicate a crash of the target.
	Broken bool
	// Incarnation is that of the target process that was called.
	Incarnation uint64
}

func notRun(reason outcome.Reason) Ending {
	return Ending{End: outcome.End{Outcome: outcome.NotRun, Reason: reason}, Resolved: true}
}

func unknown(reason outcome.Reason) Ending {
	return Ending{End: outcome.End{Outcome: outcome.Unknown, Reason: reason}}
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// Call sends one request to the target and writes its answer to sink. If ctx ends, the
// call is cancelled at the target. Nothing is written to sink unless the request ran.
func (l *Link) Call(ctx context.Context, call Call, sink plane.Sink) Ending {
	info := l.Info()
	if info.Address == "" {
		return notRun(outcome.ReasonTargetAbsent)
	}
	remaining := call.Remaining()
	if remaining <= 0 {
		return notRun(endReason(ctx, outcome.ReasonLeaseLapsed))
	}
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	proof := &sendProof{gate: func() bool { return call.Remaining() > 0 }, stop: stop}
	request, err := call.build(httptrace.WithClientTrace(sendCtx, proof.trace()), info.Address, l.cfg.Clock(), remaining)
	if err != nil {
		return notRun(outcome.ReasonTargetRefused)
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return l.endWithoutAnswer(ctx, call, info, proof)
	}
	defer response.Body.Close()
	l.answeredAt.Store(int64(l.cfg.Clock()))
	ending := l.takeAnswer(ctx, call, info, response, sink)
	ending.Incarnation = info.Incarnation
	return ending
}

// endWithoutAnswer classifies a call that failed before the head of an answer arrived.
func (l *Link) endWithoutAnswer(ctx context.Context, call Call, info Info, proof *sendProof) Ending {
	if proof.neverSent() {
		if call.Remaining() <= 0 {
			return notRun(endReason(ctx, outcome.ReasonLeaseLapsed))
		}
		return notRun(endReason(ctx, outcome.ReasonTargetUnreachable))
	}
	reason := endReason(ctx, outcome.ReasonTargetLost)
	ending := l.settle(call, info, unknown(reason))
	ending.Broken = ctx.Err() == nil
	ending.Incarnation = info.Incarnation
	if ending.Broken {
		l.probeSoon()
	}
	return ending
}

// endReason returns the reason for which ctx ended, or other if it has not ended.
func endReason(ctx context.Context, other outcome.Reason) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCancelled
	default:
		return other
	}
}

// settle cancels a call with an unknown outcome at the target and asks for its state. Only the
// target's statement that the call never started changes the outcome to not run. The target is
// not asked about an idempotent request, which may run twice, so that its caller need not wait.
func (l *Link) settle(call Call, info Info, doubt Ending) Ending {
	if !call.Request.NonIdempotent {
		return doubt
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.SettleTimeout)
	defer cancel()
	switch l.cancelAt(ctx, info.Address, call.ID, call.Request.Attempt) {
	case CallCancelled:
		return notRun(doubt.Reason)
	case CallFinished:
		doubt.Resolved = true
		if doubt.Reason == outcome.ReasonTargetLost {
			doubt.Reason = outcome.ReasonAnswerLost
		}
	}
	return doubt
}

// takeAnswer forwards an answer to sink and classifies the call.
func (l *Link) takeAnswer(ctx context.Context, call Call, info Info, response *http.Response, sink plane.Sink) Ending {
	if reason, refused := refusal(response); refused {
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
		ending := notRun(reason)
		ending.RetryAfter = retryAfter(response.Header)
		return ending
	}
	if crossed(call, response.Header) {
		return unknown(outcome.ReasonCrossed)
	}
	if !framed(response) {
		return unknown(outcome.ReasonUnframed)
	}
	if err := sink.Head(answerHead(call, info, response)); err != nil {
		return l.settle(call, info, unknown(outcome.ReasonCancelled))
	}
	return l.copyBody(ctx, call, info, response.Body, sink)
}

func (l *Link) copyBody(ctx context.Context, call Call, info Info, body io.Reader, sink plane.Sink) Ending {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 && sink.Write((*buffer)[:n]) != nil {
			return l.settle(call, info, unknown(outcome.ReasonCancelled))
		}
		if errors.Is(err, io.EOF) {
			return Ending{End: outcome.End{Outcome: outcome.Answered}, Resolved: true}
		}
		if err != nil {
			return l.cut(ctx, call, info)
		}
	}
}

// cut classifies a truncated answer. The request has started, so its outcome stays unknown
// whatever the target states.
func (l *Link) cut(ctx context.Context, call Call, info Info) Ending {
	ending := l.settle(call, info, unknown(endReason(ctx, outcome.ReasonTruncated)))
	ending.Outcome = outcome.Unknown
	ending.Broken = ctx.Err() == nil
	if ending.Broken {
		l.probeSoon()
	}
	return ending
}

// refusal reports whether the target refused the request without running any part of it, and
// for which reason.
func refusal(response *http.Response) (outcome.Reason, bool) {
	text := response.Header.Get(HeaderNotRun)
	status := response.StatusCode
	if text == "" || status != http.StatusPreconditionFailed && status != http.StatusServiceUnavailable {
		return "", false
	}
	switch text {
	case "fence":
		return outcome.ReasonFence, true
	case "lapsed":
		return outcome.ReasonLeaseLapsed, true
	case "shed":
		return outcome.ReasonTargetShed, true
	case "draining":
		return outcome.ReasonTargetDraining, true
	case "starting":
		return outcome.ReasonTargetStarting, true
	case "deadline":
		return outcome.ReasonDeadline, true
	case "cancelled":
		return outcome.ReasonCancelled, true
	default:
		return outcome.ReasonTargetRefused, true
	}
}

// crossed reports whether an answer carries the ID or attempt number of another request.
func crossed(call Call, header http.Header) bool {
	id := header.Get(HeaderRequestID)
	attempt := header.Get(HeaderAttempt)
	if id != "" && !strings.EqualFold(id, call.ID) {
		return true
	}
	return attempt != "" && attempt != strconv.FormatUint(call.Request.Attempt, 10)
}

// framed reports whether the answer is delimited by a length or chunked encoding. An answer
// that ends with its connection cannot be distinguished from a truncated one.
func framed(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// build returns the HTTP request for a call that the target must start within remaining of now,
// which is a reading of the boot-time clock. The request also carries the end of that period as
// a boot time, because the target may read the request late.
func (c Call) build(ctx context.Context, address string, now, remaining time.Duration) (*http.Request, error) {
	q := c.Request
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address, bytes.NewReader(q.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request to the target")
	}
	request.URL.Path, request.URL.RawPath = workPath(q.Service, q.Key, q.Path)
	request.URL.RawQuery = q.Query
	request.Header = forwardHeader(q.Headers)
	request.Header.Set(HeaderRequestID, c.ID)
	request.Header.Set(HeaderAttempt, strconv.FormatUint(q.Attempt, 10))
	request.Header.Set(HeaderRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set(HeaderStartBy, strconv.FormatInt((now+remaining).Milliseconds(), 10))
	if c.Fence != (fence.Fence{}) {
		request.Header.Set(HeaderSlice, q.Slice.String())
		request.Header.Set(HeaderFence, c.Fence.String())
	}
	return request, nil
}
