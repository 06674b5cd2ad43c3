package forward

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	relayv1 "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

const cluster = "test"

// fakeRouter returns the same owner for every key.
type fakeRouter struct {
	self, owner plane.Peer
	kind        keyspace.Kind
}

func (f *fakeRouter) Locate(service, _ string) (plane.Route, error) {
	if service != "booking" {
		return plane.Route{}, keyspace.ErrUnknownService
	}
	return plane.Route{Owner: f.owner, Range: keyspace.Range{Service: service, Kind: f.kind, Slices: 1}}, nil
}
func (f *fakeRouter) CacheOwner(keyspace.SliceID, plane.Peer) {}
func (f *fakeRouter) Self() plane.Peer                        { return f.self }
func (f *fakeRouter) Changed() <-chan struct{}                { return nil }

// fakeOwner counts the requests that it starts and answers them with the function serve.
type fakeOwner struct {
	started int
	serve   func(ctx context.Context, r *plane.Request, sink plane.Sink) plane.Result
}

func (f *fakeOwner) Serve(ctx context.Context, r *plane.Request, sink plane.Sink) plane.Result {
	f.started++
	return f.serve(ctx, r, sink)
}

func echoBody(_ context.Context, r *plane.Request, sink plane.Sink) plane.Result {
	_ = sink.Head(plane.Head{Status: 201, Target: "vm-1", Fence: fence.Fence{Epoch: 1, Seq: 2}, Length: int64(len(r.Body))})
	_ = sink.Write(r.Body)
	return plane.Result{Outcome: outcome.Answered}
}

// memorySink stores an answer in memory; both methods return err.
type memorySink struct {
	head plane.Head
	body bytes.Buffer
	err  error
}

func (m *memorySink) Head(head plane.Head) error { m.head = head; return m.err }
func (m *memorySink) Write(chunk []byte) error   { m.body.Write(chunk); return m.err }

type fixture struct {
	router *fakeRouter
	owner  *fakeOwner
	server *grpc.Server
	client *Client
	peer   plane.Peer
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := plane.Peer{Name: "vm-1", Incarnation: 7, Address: listener.Addr().String()}
	f := &fixture{
		router: &fakeRouter{self: peer, owner: peer, kind: keyspace.Keyed},
		owner:  &fakeOwner{serve: echoBody},
		server: grpc.NewServer(),
		client: NewClient(cluster, NewPool(4)),
		peer:   peer,
	}
	NewServer(cluster, f.router, f.owner, Limits{BodyBytes: 1 << 20}, slog.New(slog.DiscardHandler)).Register(f.server)
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(f.server.Stop)
	t.Cleanup(f.client.pool.Close)
	return f
}

func request(body []byte) *plane.Request {
	return &plane.Request{
		Service: "booking", Key: "k", Method: "POST", Attempt: 3, NonIdempotent: true,
		Body: body, Deadline: time.Now().Add(5 * time.Second),
	}
}

func TestAnswersOfEverySizeArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, ChunkBytes - 1, ChunkBytes, ChunkBytes + 1, 10*ChunkBytes + 3} {
		f := newFixture(t)
		sink := &memorySink{}
		body := bytes.Repeat([]byte("x"), size)
		reply := f.client.Forward(context.Background(), f.peer, 0, request(body), sink)
		if reply.Result.Outcome != outcome.Answered || !bytes.Equal(sink.body.Bytes(), body) || sink.head.Status != 201 {
			t.Errorf("size %d: %+v, %d bytes", size, reply, sink.body.Len())
		}
		if sink.head.Fence != (fence.Fence{Epoch: 1, Seq: 2}) {
			t.Errorf("size %d: fence %v", size, sink.head.Fence)
		}
	}
}

// TestFaults injects a fault at each stage of a forwarded request and checks the outcome, and
// whether the owner started the request.
func TestFaults(t *testing.T) {
	other := plane.Peer{Name: "vm-2", Incarnation: 9, Address: "127.0.0.1:1"}
	cases := []struct {
		name     string
		arrange  func(f *fixture, r *plane.Request, sink *memorySink)
		hops     uint32
		outcome  outcome.Outcome
		reason   outcome.Reason
		redirect string
		ran      int
		started  bool
	}{
		{name: "peer not listening", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.peer.Address = "127.0.0.1:1" },
			outcome: outcome.NotRun, reason: outcome.ReasonPeerUnreachable},
		{name: "peer restarted", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.peer.Incarnation++ },
			outcome: outcome.NotRun, reason: outcome.ReasonPeerIdentity},
		{name: "address taken by another node", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.peer.Name = "vm-3" },
			outcome: outcome.NotRun, reason: outcome.ReasonPeerIdentity},
		{name: "another cluster", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.client.cluster = "other" },
			outcome: outcome.NotRun, reason: outcome.ReasonPeerIdentity},
		{name: "owner is another node", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.router.owner = other },
			outcome: outcome.NotRun, reason: outcome.ReasonNotOwner, redirect: "vm-2"},
		{name: "redirect of a redirected request", hops: 1,
			arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.router.owner = other },
			outcome: outcome.NotRun, reason: outcome.ReasonHops},
		{name: "no owner", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) { f.router.owner = plane.Peer{} },
			outcome: outcome.NotRun, reason: outcome.ReasonNoOwner},
		{name: "unknown service", arrange: func(_ *fixture, r *plane.Request, _ *memorySink) { r.Service = "none" },
			outcome: outcome.NotRun, reason: outcome.ReasonNoOwner},
		{name: "owner refuses", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) {
			f.owner.serve = func(context.Context, *plane.Request, plane.Sink) plane.Result {
				return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonShed}
			}
		}, outcome: outcome.NotRun, reason: outcome.ReasonShed, ran: 1},
		{name: "peer lost before the answer", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) {
			f.owner.serve = func(context.Context, *plane.Request, plane.Sink) plane.Result {
				f.server.Stop()
				return plane.Result{Outcome: outcome.Answered}
			}
		}, outcome: outcome.Unknown, reason: outcome.ReasonPeerLost, ran: 1},
		{name: "answer truncated by the owner", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) {
			f.owner.serve = func(_ context.Context, _ *plane.Request, sink plane.Sink) plane.Result {
				_ = sink.Head(plane.Head{Status: 200, Length: -1})
				_ = sink.Write([]byte("half"))
				return plane.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonTruncated}
			}
		}, outcome: outcome.Unknown, reason: outcome.ReasonTruncated, ran: 1, started: true},
		{name: "small answer truncated by the owner", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) {
			f.owner.serve = func(_ context.Context, _ *plane.Request, sink plane.Sink) plane.Result {
				_ = sink.Head(plane.Head{Status: 200, Length: 10})
				_ = sink.Write([]byte("half"))
				return plane.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonTruncated}
			}
		}, outcome: outcome.Unknown, reason: outcome.ReasonTruncated, ran: 1},
		{name: "NotRun reported after the answer began", arrange: func(f *fixture, _ *plane.Request, _ *memorySink) {
			f.owner.serve = func(_ context.Context, _ *plane.Request, sink plane.Sink) plane.Result {
				_ = sink.Head(plane.Head{Status: 200, Length: -1})
				return plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonShed}
			}
		}, outcome: outcome.Unknown, reason: outcome.ReasonTruncated, ran: 1, started: true},
		{name: "deadline passes at the owner", arrange: func(f *fixture, r *plane.Request, _ *memorySink) {
			r.Deadline = time.Now().Add(100 * time.Millisecond)
			f.owner.serve = func(ctx context.Context, _ *plane.Request, _ plane.Sink) plane.Result {
				<-ctx.Done()
				return plane.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonDeadline}
			}
		}, outcome: outcome.Unknown, reason: outcome.ReasonDeadline, ran: 1},
		{name: "caller disconnected", arrange: func(_ *fixture, _ *plane.Request, sink *memorySink) { sink.err = io.ErrClosedPipe },
			outcome: outcome.Unknown, reason: outcome.ReasonCancelled, ran: 1, started: true},
		{name: "body above the limit", arrange: func(_ *fixture, r *plane.Request, _ *memorySink) { r.Body = make([]byte, 2<<20) },
			outcome: outcome.NotRun, reason: outcome.ReasonBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			r := request([]byte("body"))
			sink := &memorySink{}
			c.arrange(f, r, sink)
			reply := f.client.Forward(context.Background(), f.peer, c.hops, r, sink)
			if reply.Result.Outcome != c.outcome || reply.Result.Reason != c.reason || reply.Started != c.started {
				t.Errorf("got %v %q started=%v", reply.Result.Outcome, reply.Result.Reason, reply.Started)
			}
			if c.redirect != "" && (reply.Redirect == nil || reply.Redirect.Name != c.redirect) {
				t.Errorf("redirect: %+v", reply.Redirect)
			}
			if f.owner.started != c.ran {
				t.Errorf("the owner started %d requests, want %d", f.owner.started, c.ran)
			}
		})
	}
}

// TestLostReason checks the reason reported for a broken stream. The peer may detect an expired
// deadline before the local context does.
func TestLostReason(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	expired, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer stop()
	rows := []struct {
		name string
		ctx  context.Context
		err  error
		want outcome.Reason
	}{
		{"peer ended", context.Background(), io.EOF, outcome.ReasonPeerLost},
		{"connection broke", context.Background(), status.Error(codes.Unavailable, ""), outcome.ReasonPeerLost},
		{"deadline here", expired, io.EOF, outcome.ReasonDeadline},
		{"deadline at the peer first", context.Background(), status.Error(codes.DeadlineExceeded, ""), outcome.ReasonDeadline},
		{"caller disconnected", cancelled, status.Error(codes.Canceled, ""), outcome.ReasonCancelled},
	}
	for _, row := range rows {
		if got := streamErrorReason(row.ctx, row.err); got != row.want {
			t.Errorf("%s: got %q, want %q", row.name, got, row.want)
		}
	}
}

// TestCutBodyStartsNothing closes the stream before the frame that completes the request. The owner
// must not start the request.
func TestCutBodyStartsNothing(t *testing.T) {
	f := newFixture(t)
	conn, release, err := f.client.pool.Acquire(f.peer.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	stream, err := relayv1.NewRelayServiceClient(conn).Forward(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	head := toWireHead(cluster, f.peer, 0, request(make([]byte, 100)))
	_ = stream.Send(&relayv1.ForwardRequest{Frame: &relayv1.ForwardRequest_Head{Head: head}})
	_ = stream.Send(&relayv1.ForwardRequest{Frame: &relayv1.ForwardRequest_Chunk{Chunk: make([]byte, 50)}})
	_ = stream.CloseSend()
	if _, err := stream.Recv(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("truncated request ended with %v", err)
	}
	if f.owner.started != 0 {
		t.Error("the owner started a request with a truncated body")
	}
}

// TestGarbageOnThePort sends bytes that are not gRPC. The server must continue to serve.
func TestGarbageOnThePort(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.peer.Address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n\x00\xff"))
	_, _ = io.ReadAll(conn)
	conn.Close()
	reply := f.client.Forward(context.Background(), f.peer, 0, request(nil), &memorySink{})
	if reply.Result.Outcome != outcome.Answered {
		t.Errorf("after invalid bytes: %+v", reply.Result)
	}
}

func TestPoolIsCapped(t *testing.T) {
	pool := NewPool(1)
	defer pool.Close()
	_, release, err := pool.Acquire("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := pool.Acquire("127.0.0.1:2"); !errors.Is(err, ErrPoolFull) {
		t.Errorf("full pool: %v", err)
	}
	release()
	if _, _, err := pool.Acquire("127.0.0.1:2"); err != nil || pool.Size() != 1 {
		t.Errorf("idle connection not replaced: %v, %d", err, pool.Size())
	}
}

// BenchmarkForward forwards a small request to a peer on the loopback interface. The allocations
// are those of both sides.
func BenchmarkForward(b *testing.B) {
	f := newFixture(b)
	body := bytes.Repeat([]byte("x"), 200)
	b.ReportAllocs()
	for b.Loop() {
		reply := f.client.Forward(context.Background(), f.peer, 0, request(body), &memorySink{})
		if reply.Result.Outcome != outcome.Answered {
			b.Fatalf("%+v", reply.Result)
		}
	}
}
