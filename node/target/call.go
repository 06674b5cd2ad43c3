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
	"github.com/auburnrelay/auburnrelay/node/h1"
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

// copyBufferBytes is the size of the buffer that forwards an answer's body.
const copyBufferBytes = 32 << 10

// maxRefusalBytes bounds the part of a refusal's body that is read so that its connection can be
// reused.
const maxRefusalBytes = 4 << 10

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

// CallResult is the result of a call.
type CallResult struct {
	outcome.End
	// Resolved is set if the call can no longer be running on the target.
	Resolved bool
	// Broken is set if the connection broke while the request may have been running, which may
	// indicate a crash of the target.
	Broken bool
	// Incarnation is that of the target process that was called.
	Incarnation uint64
}

func notRun(reason outcome.Reason) CallResult {
	return CallResult{End: outcome.End{Outcome: outcome.NotRun, Reason: reason}, Resolved: true}
}

func unknown(reason outcome.Reason) CallResult {
	return CallResult{End: outcome.End{Outcome: outcome.Unknown, Reason: reason}}
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// Call sends one request to the target and writes its answer to sink. If ctx ends, the
// call is cancelled at the target. Nothing is written to sink unless the request ran.
func (l *Link) Call(ctx context.Context, call Call, sink plane.Sink) CallResult {
	info := l.Info()
	if info.Address == "" {
		return notRun(outcome.ReasonTargetAbsent)
	}
	remaining := call.Remaining()
	if remaining <= 0 {
		return notRun(contextReason(ctx, outcome.ReasonLeaseLapsed))
	}
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	tracker := &sendTracker{maySend: func() bool { return call.Remaining() > 0 }, cancel: cancel}
	request, err := call.buildRequest(httptrace.WithClientTrace(sendCtx, tracker.trace()), info.Address, l.cfg.Clock(), remaining)
	if err != nil {
		return notRun(outcome.ReasonTargetRefused)
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return l.classifyError(ctx, call, info, tracker)
	}
	defer response.Body.Close()
	l.lastAnswerAt.Store(int64(l.cfg.Clock()))
	result := l.forwardAnswer(ctx, call, info, response, sink)
	result.Incarnation = info.Incarnation
	return result
}

// classifyError classifies a call that failed before the head of an answer arrived.
func (l *Link) classifyError(ctx context.Context, call Call, info Info, tracker *sendTracker) CallResult {
	if tracker.neverSent() {
		if call.Remaining() <= 0 {
			return notRun(contextReason(ctx, outcome.ReasonLeaseLapsed))
		}
		return notRun(contextReason(ctx, outcome.ReasonTargetUnreachable))
	}
	reason := contextReason(ctx, outcome.ReasonTargetLost)
	result := l.resolveUnknown(call, info, unknown(reason))
	result.Broken = ctx.Err() == nil
	result.Incarnation = info.Incarnation
	if result.Broken {
		l.requestProbe()
	}
	return result
}

// contextReason returns the reason for which ctx ended, or other if it has not ended.
func contextReason(ctx context.Context, other outcome.Reason) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCancelled
	default:
		return other
	}
}

// resolveUnknown cancels a call with an unknown outcome at the target and asks for its state. Only
// the target's statement that the call never started changes the outcome to not run. The target is
// not asked about an idempotent request: such a request may run twice, and its caller need not
// wait for the state.
func (l *Link) resolveUnknown(call Call, info Info, result CallResult) CallResult {
	if !call.Request.NonIdempotent {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.ResolveTimeout)
	defer cancel()
	switch l.cancelAt(ctx, info.Address, call.ID, call.Request.Attempt) {
	case CallCancelled:
		return notRun(result.Reason)
	case CallFinished:
		result.Resolved = true
		if result.Reason == outcome.ReasonTargetLost {
			result.Reason = outcome.ReasonAnswerLost
		}
	}
	return result
}

// forwardAnswer forwards an answer to sink and classifies the call.
func (l *Link) forwardAnswer(ctx context.Context, call Call, info Info, response *http.Response, sink plane.Sink) CallResult {
	if checkHead(response) != nil {
		return unknown(outcome.ReasonMalformed)
	}
	if reason, refused := refusalReason(response); refused {
		_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
		result := notRun(reason)
		result.RetryAfter = retryAfter(response.Header)
		return result
	}
	if isMismatched(call, response.Header) {
		return unknown(outcome.ReasonCrossed)
	}
	if !isDelimited(response) {
		return unknown(outcome.ReasonUnframed)
	}
	if err := sink.Head(answerHead(call, info, response)); err != nil {
		return l.resolveUnknown(call, info, unknown(outcome.ReasonCancelled))
	}
	return l.copyBody(ctx, call, info, response.Body, sink)
}

func (l *Link) copyBody(ctx context.Context, call Call, info Info, body io.Reader, sink plane.Sink) CallResult {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 && sink.Write((*buffer)[:n]) != nil {
			return l.resolveUnknown(call, info, unknown(outcome.ReasonCancelled))
		}
		if errors.Is(err, io.EOF) {
			return CallResult{End: outcome.End{Outcome: outcome.Answered}, Resolved: true}
		}
		if err != nil {
			return l.classifyTruncated(ctx, call, info)
		}
	}
}

// classifyTruncated classifies a truncated answer. The request has started, so its outcome stays
// unknown whatever the target states.
func (l *Link) classifyTruncated(ctx context.Context, call Call, info Info) CallResult {
	result := l.resolveUnknown(call, info, unknown(contextReason(ctx, outcome.ReasonTruncated)))
	result.Outcome = outcome.Unknown
	result.Broken = ctx.Err() == nil
	if result.Broken {
		l.requestProbe()
	}
	return result
}

// checkHead fails if http.Transport has accepted the head of an answer although HTTP does not allow it. Nothing of such an
// answer is believed.
func checkHead(response *http.Response) error {
	if !h1.IsFinalStatus(response.StatusCode) {
		return errors.Wrapf(h1.ErrInvalidStatus, "status %q", response.Status)
	}
	return h1.CheckFieldNames(response.Header)
}

// refusalReason reports whether the target refused the request without running any part of it, and
// for which reason.
func refusalReason(response *http.Response) (outcome.Reason, bool) {
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

// isMismatched reports whether an answer carries the ID or attempt number of another request.
func isMismatched(call Call, header http.Header) bool {
	id := header.Get(HeaderRequestID)
	attempt := header.Get(HeaderAttempt)
	if id != "" && !strings.EqualFold(id, call.ID) {
		return true
	}
	return attempt != "" && attempt != strconv.FormatUint(call.Request.Attempt, 10)
}

// isDelimited reports whether the answer is delimited by a length or chunked encoding. An answer
// that ends with its connection cannot be distinguished from a truncated one.
func isDelimited(response *http.Response) bool {
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

// buildRequest returns the HTTP request for a call that the target must start within remaining
// of now, which is a reading of the boot-time clock. The request also carries the end of that
// period as a boot time, because the target may read the request late.
func (c Call) buildRequest(ctx context.Context, address string, now, remaining time.Duration) (*http.Request, error) {
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
