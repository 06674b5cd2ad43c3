package quarantinesync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/plane"
	relayv1 "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// publishTimeout bounds the Publish call to one node.
const publishTimeout = time.Second

// Pool provides gRPC connections to other nodes. The function that Acquire returns releases the
// connection.
type Pool interface {
	Acquire(address string) (*grpc.ClientConn, func(), error)
}

// Peers implements Publisher over gRPC.
type Peers struct {
	Cluster string
	Cell    string
	Pool    Pool
	// Members returns the other nodes of the cell.
	Members func() []plane.Peer
	Log     *slog.Logger
}

// Publish implements Publisher. It sends the entries to all nodes concurrently and does not retry: a
// node that was unreachable because it is down reads the store when it starts.
func (p *Peers) Publish(ctx context.Context, entries []quarantine.Entry) {
	request := &relayv1.PublishRequest{Cluster: p.Cluster, Cell: p.Cell, Entries: toWire(entries)}
	var wg sync.WaitGroup
	for _, member := range p.Members() {
		wg.Go(func() { p.send(ctx, member, request) })
	}
	wg.Wait()
}

func (p *Peers) send(ctx context.Context, to plane.Peer, request *relayv1.PublishRequest) {
	conn, release, err := p.Pool.Acquire(to.Address)
	if err != nil {
		p.Log.Warn("quarantine entries not sent", "node", to.Name, "reason", err.Error())
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if _, err := relayv1.NewQuarantineServiceClient(conn).Publish(ctx, request); err != nil {
		p.Log.Info("quarantine entries not sent", "node", to.Name, "reason", err.Error())
	}
}

// Server receives the entries that other nodes of the cell publish.
type Server struct {
	relayv1.UnimplementedQuarantineServiceServer
	cluster, cell string
	tracker       Tracker
}

// NewServer returns a server that merges the entries of the cell into the tracker.
func NewServer(cluster, cell string, tracker Tracker) *Server {
	return &Server{cluster: cluster, cell: cell, tracker: tracker}
}

// Register adds the server to a gRPC server.
func (s *Server) Register(g *grpc.Server) { relayv1.RegisterQuarantineServiceServer(g, s) }

// Publish implements the QuarantineService. It rejects entries of another cell with
// FailedPrecondition.
func (s *Server) Publish(_ context.Context, r *relayv1.PublishRequest) (*relayv1.PublishResponse, error) {
	if r.GetCluster() != s.cluster || r.GetCell() != s.cell {
		return nil, status.Errorf(codes.FailedPrecondition, "this is cell %q of cluster %q", s.cell, s.cluster)
	}
	s.tracker.MergeQuarantine(fromWire(r.GetEntries()))
	return &relayv1.PublishResponse{}, nil
}

func toWire(entries []quarantine.Entry) []*relayv1.QuarantineEntry {
	out := make([]*relayv1.QuarantineEntry, len(entries))
	for i, e := range entries {
		out[i] = &relayv1.QuarantineEntry{
			Fingerprint:   uint64(e.Fingerprint),
			Crashes:       uint32(e.Crashes),
			LastMs:        toMillis(e.Last),
			BannedUntilMs: toMillis(e.BannedUntil),
		}
	}
	return out
}

func fromWire(entries []*relayv1.QuarantineEntry) []quarantine.Entry {
	out := make([]quarantine.Entry, len(entries))
	for i, e := range entries {
		out[i] = quarantine.Entry{
			Fingerprint: quarantine.Fingerprint(e.GetFingerprint()),
			Crashes:     int(e.GetCrashes()),
			Last:        fromMillis(e.GetLastMs()),
			BannedUntil: fromMillis(e.GetBannedUntilMs()),
		}
	}
	return out
}

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
