package forward

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	relayv1 "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// maxHops is the maximum number of redirects of a request.
const maxHops = 1

// Server serves forwarded requests on the local target.
type Server struct {
	relayv1.UnimplementedRelayServiceServer
	cluster string
	router  plane.Router
	owner   plane.Server
	limits  Limits
	log     *slog.Logger
}

// Limits are the limits for requests of peers.
type Limits struct {
	// BodyBytes is the maximum size of a request body, in bytes.
	BodyBytes int
}

// NewServer returns a server for the named cluster.
func NewServer(cluster string, router plane.Router, owner plane.Server, limits Limits, log *slog.Logger) *Server {
	return &Server{cluster: cluster, router: router, owner: owner, limits: limits, log: log}
}

// Register registers the RelayService with a gRPC server.
func (s *Server) Register(g *grpc.Server) { relayv1.RegisterRelayServiceServer(g, s) }

// Forward implements RelayService.
func (s *Server) Forward(stream grpc.BidiStreamingServer[relayv1.ForwardRequest, relayv1.ForwardResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	received := time.Now()
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first frame is not a request head")
	}
	answer := &answerSink{stream: stream, attempt: head.GetAttempt()}
	if reason := s.checkRecipient(head); reason != outcome.ReasonNone {
		return answer.end(plane.Result{Outcome: outcome.NotRun, Reason: reason})
	}
	request, err := fromWireHead(head, received)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	redirect, result, ok := s.route(request, head)
	if redirect != nil {
		return stream.Send(redirect)
	}
	if !ok {
		return answer.end(result)
	}
	switch err := s.readBody(stream, head, request); {
	case errors.Is(err, errBadBody):
		s.log.Warn("forwarded request refused", "service", request.Service, "reason", err.Error())
		return answer.end(plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest})
	case err != nil:
		return err
	}
	return s.serve(stream.Context(), request, answer)
}

func (s *Server) serve(ctx context.Context, request *plane.Request, answer *answerSink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	return answer.end(s.owner.Serve(ctx, request, answer))
}

// checkRecipient returns the reason to refuse a request addressed to another process, and
// ReasonNone for one addressed to this process.
func (s *Server) checkRecipient(head *relayv1.RequestHead) outcome.Reason {
	self := s.router.Self()
	addressed := head.GetCluster() == s.cluster && head.GetNode() == self.Name && head.GetIncarnation() == self.Incarnation
	if addressed {
		return outcome.ReasonNone
	}
	s.log.Warn("request addressed to another process refused",
		"cluster", head.GetCluster(), "node", head.GetNode(), "incarnation", head.GetIncarnation(),
		"reason", outcome.ReasonPeerIdentity)
	return outcome.ReasonPeerIdentity
}

// route sets the request's range and slice. It returns a redirect to the owner, or a refusal, or
// true if this node has to serve the request.
func (s *Server) route(request *plane.Request, head *relayv1.RequestHead) (*relayv1.ForwardResponse, plane.Result, bool) {
	route, err := s.router.Locate(request.Service, request.Key)
	if err != nil {
		return nil, plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, false
	}
	request.Range = route.Range
	request.Slice = route.Slice
	if route.Range.Kind == keyspace.Shared || isSelf(s.router.Self(), route.Owner) {
		return nil, plane.Result{}, true
	}
	switch {
	case route.Owner.Name == "":
		return nil, plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoOwner}, false
	case head.GetHops() >= maxHops:
		return nil, plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonHops}, false
	}
	s.log.Debug("redirected", "service", request.Service, "key", request.Key, "slice", route.Slice.String(),
		"owner", route.Owner.Name, "reason", outcome.ReasonNotOwner)
	return redirectTo(route.Owner), plane.Result{}, false
}

func isSelf(self, owner plane.Peer) bool {
	return owner.Name == self.Name && owner.Incarnation == self.Incarnation
}

func redirectTo(owner plane.Peer) *relayv1.ForwardResponse {
	redirect := &relayv1.Redirect{
		Node:         owner.Name,
		Incarnation:  owner.Incarnation,
		Address:      owner.Address,
		EntryAddress: owner.EntryAddress,
		Region:       owner.Region,
	}
	return &relayv1.ForwardResponse{Frame: &relayv1.ForwardResponse_Redirect{Redirect: redirect}}
}

// errBadBody reports a body that is too long, that does not have the announced length, or that
// contains an unexpected frame.
var errBadBody = errors.New("invalid request body")

// readBody reads the frames of the request body. It fails with errBadBody, or with the error of the
// stream if it ends before the body does.
func (s *Server) readBody(stream grpc.BidiStreamingServer[relayv1.ForwardRequest, relayv1.ForwardResponse], head *relayv1.RequestHead, request *plane.Request) error {
	if head.GetBodyLength() > int64(s.limits.BodyBytes) {
		return errors.Wrapf(errBadBody, "%d bytes announced, at most %d", head.GetBodyLength(), s.limits.BodyBytes)
	}
	request.Body = head.GetBody()
	for whole := head.GetWhole(); !whole; {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "request body")
		}
		switch f := frame.GetFrame().(type) {
		case *relayv1.ForwardRequest_Chunk:
			request.Body = append(request.Body, f.Chunk...)
		case *relayv1.ForwardRequest_End:
			whole = true
		default:
			return errors.Wrap(errBadBody, "unexpected frame")
		}
		if len(request.Body) > s.limits.BodyBytes {
			return errors.Wrapf(errBadBody, "more than %d bytes", s.limits.BodyBytes)
		}
	}
	if head.GetBodyLength() >= 0 && head.GetBodyLength() != int64(len(request.Body)) {
		return errors.Wrapf(errBadBody, "%d bytes, %d announced", len(request.Body), head.GetBodyLength())
	}
	return nil
}

// answerSink is a plane.Sink that sends the frames of an answer. An answer of known length up to
// ChunkBytes is buffered and sent in a single frame.
type answerSink struct {
	stream   grpc.BidiStreamingServer[relayv1.ForwardRequest, relayv1.ForwardResponse]
	attempt  uint64
	head     *relayv1.ResponseHead
	buffered bool
	headSent bool
	bytes    uint64
}

// Head implements plane.Sink.
func (a *answerSink) Head(head plane.Head) error {
	a.buffered = head.Length >= 0 && head.Length <= ChunkBytes
	a.head = &relayv1.ResponseHead{
		Attempt: a.attempt,
		Status:  uint32(head.Status),
		Headers: toWireHeaders(head.Headers),
		Target:  head.Target,
		Fence:   head.Fence.String(),
	}
	if a.buffered {
		return nil
	}
	return a.flushHead()
}

// Write implements plane.Sink.
func (a *answerSink) Write(chunk []byte) error {
	a.bytes += uint64(len(chunk))
	if a.buffered && !a.headSent && len(a.head.GetBody())+len(chunk) <= ChunkBytes {
		a.head.Body = append(a.head.Body, chunk...)
		return nil
	}
	if err := a.flushHead(); err != nil {
		return err
	}
	for len(chunk) > 0 {
		n := min(len(chunk), ChunkBytes)
		if err := a.stream.Send(&relayv1.ForwardResponse{Frame: &relayv1.ForwardResponse_Chunk{Chunk: chunk[:n]}}); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

func (a *answerSink) flushHead() error {
	if a.headSent {
		return nil
	}
	a.headSent = true
	return a.stream.Send(&relayv1.ForwardResponse{Frame: &relayv1.ForwardResponse_Head{Head: a.head}})
}

// end sends the end of the answer with its outcome.
func (a *answerSink) end(result plane.Result) error {
	result.BodyBytes = a.bytes
	end := toWireEnd(a.attempt, result)
	if a.head != nil && !a.headSent {
		a.head.End = end
		return a.flushHead()
	}
	return a.stream.Send(&relayv1.ForwardResponse{Frame: &relayv1.ForwardResponse_End{End: end}})
}
