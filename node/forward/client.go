package forward

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	relayv1 "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// ChunkBytes is the maximum number of body bytes in one frame. A body up to this size is sent in
// the head frame.
const ChunkBytes = 32 << 10

// Client sends requests to other nodes.
type Client struct {
	cluster string
	pool    *Pool
}

// NewClient returns a client for the named cluster that uses the connections of the pool.
func NewClient(cluster string, pool *Pool) *Client {
	return &Client{cluster: cluster, pool: pool}
}

// Reply is the end of a forwarded request: a result, or a redirect, which proves that the request
// has not run.
type Reply struct {
	Result plane.Result
	// Redirect is the owner named by the peer; nil if the request was not redirected.
	Redirect *plane.Peer
	// Started is set if the head of the answer was passed to the sink.
	Started bool
}

// Forward sends the request to the peer and writes the answer to the sink. hops is the number of
// redirects so far; the peer refuses to redirect a request again.
func (c *Client) Forward(ctx context.Context, to plane.Peer, hops uint32, r *plane.Request, sink plane.Sink) Reply {
	conn, release, err := c.pool.Acquire(to.Address)
	if err != nil {
		return notRunReply(outcome.ReasonPeerUnreachable)
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	stream, err := relayv1.NewRelayServiceClient(conn).Forward(ctx)
	if err != nil {
		return notRunReply(unsentReason(ctx))
	}
	call := &call{ctx: ctx, stream: stream, request: r, sink: sink}
	call.send(toWireHead(c.cluster, to, hops, r))
	return call.receive()
}

// unsentReason returns why a request could not be sent completely.
func unsentReason(ctx context.Context) outcome.Reason {
	reason := streamErrorReason(ctx, nil)
	if reason == outcome.ReasonPeerLost {
		return outcome.ReasonPeerUnreachable
	}
	return reason
}

func notRunReply(reason outcome.Reason) Reply {
	return Reply{Result: plane.Result{Outcome: outcome.NotRun, Reason: reason}}
}

// call is one forwarded request on its stream.
type call struct {
	ctx     context.Context
	stream  grpc.BidiStreamingClient[relayv1.ForwardRequest, relayv1.ForwardResponse]
	request *plane.Request
	sink    plane.Sink
	// requestSent is set once the last frame of the request may have been sent. Until then the peer
	// cannot have started the request.
	requestSent bool
	started     bool
	bytes       uint64
}

// send writes the request. The peer may answer before it has read the whole body, so a failed send
// only stops the writing; receive determines the result.
func (c *call) send(head *relayv1.RequestHead) {
	body := c.request.Body
	if len(body) <= ChunkBytes {
		head.Body = body
		head.Whole = true
		c.requestSent = true
	}
	err := c.stream.Send(&relayv1.ForwardRequest{Frame: &relayv1.ForwardRequest_Head{Head: head}})
	if err == nil && !head.Whole {
		c.sendBody(body)
	}
	_ = c.stream.CloseSend()
}

func (c *call) sendBody(body []byte) {
	for len(body) > 0 {
		n := min(len(body), ChunkBytes)
		err := c.stream.Send(&relayv1.ForwardRequest{Frame: &relayv1.ForwardRequest_Chunk{Chunk: body[:n]}})
		if err != nil {
			return
		}
		body = body[n:]
	}
	// The last frame may have been sent even if Send returns an error.
	c.requestSent = true
	end := &relayv1.RequestEnd{BodyBytes: uint64(len(c.request.Body))}
	_ = c.stream.Send(&relayv1.ForwardRequest{Frame: &relayv1.ForwardRequest_End{End: end}})
}

func (c *call) receive() Reply {
	for {
		frame, err := c.stream.Recv()
		if err != nil {
			return c.replyForError(err)
		}
		reply, done := c.handleFrame(frame)
		if done {
			return reply
		}
	}
}

// handleFrame handles one frame. It returns the reply and true if the request has ended.
func (c *call) handleFrame(frame *relayv1.ForwardResponse) (Reply, bool) {
	switch f := frame.GetFrame().(type) {
	case *relayv1.ForwardResponse_Redirect:
		if c.started {
			return c.brokenReply(), true
		}
		return redirectReply(f.Redirect), true
	case *relayv1.ForwardResponse_Head:
		return c.handleHead(f.Head)
	case *relayv1.ForwardResponse_Chunk:
		return c.handleChunk(f.Chunk)
	case *relayv1.ForwardResponse_End:
		return c.handleEnd(f.End), true
	default:
		return c.brokenReply(), true
	}
}

func (c *call) handleHead(h *relayv1.ResponseHead) (Reply, bool) {
	if c.started || h.GetAttempt() != c.request.Attempt {
		return c.brokenReply(), true
	}
	ranUnder, err := parseFence(h.GetFence())
	if err != nil {
		return c.brokenReply(), true
	}
	if end := h.GetEnd(); end != nil && fromWireOutcome(end.GetOutcome()) != outcome.Answered {
		// The answer was truncated before any of it reached the caller, so the caller can still
		// get a proper refusal instead of a broken answer.
		return c.handleEnd(end), true
	}
	c.started = true
	head := plane.Head{
		Status:  int(h.GetStatus()),
		Headers: fromWireHeaders(h.GetHeaders()),
		Target:  h.GetTarget(),
		Fence:   ranUnder,
		Length:  -1,
	}
	if h.GetEnd() != nil {
		head.Length = int64(len(h.GetBody()))
	}
	if c.sink.Head(head) != nil {
		return c.disconnectedReply(), true
	}
	if len(h.GetBody()) > 0 {
		if reply, done := c.handleChunk(h.GetBody()); done {
			return reply, true
		}
	}
	if h.GetEnd() != nil {
		return c.handleEnd(h.GetEnd()), true
	}
	return Reply{}, false
}

func (c *call) handleChunk(chunk []byte) (Reply, bool) {
	if !c.started {
		return c.brokenReply(), true
	}
	c.bytes += uint64(len(chunk))
	if c.sink.Write(chunk) != nil {
		return c.disconnectedReply(), true
	}
	return Reply{}, false
}

func (c *call) handleEnd(end *relayv1.ResponseEnd) Reply {
	result := fromWireEnd(end)
	otherAttempt := end.GetAttempt() != c.request.Attempt
	truncated := result.Outcome == outcome.Answered && (!c.started || result.BodyBytes != c.bytes)
	contradictory := result.Outcome == outcome.NotRun && c.started
	if otherAttempt || truncated || contradictory {
		return c.brokenReply()
	}
	return Reply{Result: result, Started: c.started}
}

func (c *call) brokenReply() Reply { return c.replyForError(nil) }

// replyForError returns the reply for a stream that ended with the error. The outcome is NotRun if
// the request was not sent completely, otherwise Unknown.
func (c *call) replyForError(err error) Reply {
	if !c.requestSent {
		return notRunReply(unsentReason(c.ctx))
	}
	reason := streamErrorReason(c.ctx, err)
	if c.started {
		reason = outcome.ReasonTruncated
	}
	return Reply{Result: plane.Result{Outcome: outcome.Unknown, Reason: reason, BodyBytes: c.bytes}, Started: c.started}
}

func (c *call) disconnectedReply() Reply {
	return Reply{Result: plane.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonCancelled, BodyBytes: c.bytes}, Started: true}
}

func redirectReply(to *relayv1.Redirect) Reply {
	reply := notRunReply(outcome.ReasonNotOwner)
	reply.Redirect = &plane.Peer{
		Name:         to.GetNode(),
		Incarnation:  to.GetIncarnation(),
		Address:      to.GetAddress(),
		EntryAddress: to.GetEntryAddress(),
		Region:       to.GetRegion(),
	}
	return reply
}

func parseFence(text string) (fence.Fence, error) {
	if text == "" {
		return fence.Fence{}, nil
	}
	f, err := fence.Parse(text)
	return f, errors.Wrap(err, "fence in the answer head")
}
