package control

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/wire/cellwire"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// maxPeerConns is the maximum number of connections kept open to other nodes.
const maxPeerConns = 64

// flowControlWindow is the flow-control window of control connections, in bytes. It is static
// because gRPC sends a ping per exchange to size a dynamic window.
const flowControlWindow = 1 << 20

// ServerOptions returns the server options that set the static flow-control window, so that the
// server sends no such pings either.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StaticStreamWindowSize(flowControlWindow), grpc.StaticConnWindowSize(flowControlWindow)}
}

// peers keeps one gRPC connection per address, dialed on demand.
type peers struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	stats stats.Handler
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers(dial func(ctx context.Context, address string) (net.Conn, error), counter stats.Handler) *peers {
	return &peers{dial: dial, stats: counter, conns: make(map[string]*grpc.ClientConn)}
}

func (p *peers) client(address string) (pb.CellServiceClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return pb.NewCellServiceClient(conn), nil
	}
	p.evictOne()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(p.dial),
		grpc.WithStatsHandler(p.stats),
		grpc.WithStaticStreamWindowSize(flowControlWindow),
		grpc.WithStaticConnWindowSize(flowControlWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		return nil, errors.Wrap(err, "connect to node")
	}
	p.conns[address] = conn
	return pb.NewCellServiceClient(conn), nil
}

// evictOne closes one connection, picked arbitrarily, if the limit is reached; the caller holds mu.
func (p *peers) evictOne() {
	if len(p.conns) < maxPeerConns {
		return
	}
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
		return
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = make(map[string]*grpc.ClientConn)
}

// probePeer reports the process as exited if its VM refuses the connection or if a later
// incarnation answers. A timeout is not taken as proof.
func (c *Control) probePeer(ctx context.Context, peer cell.Member) {
	c.startRPC(ctx, func(ctx context.Context) {
		conn, err := c.cfg.Dial(ctx, peer.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.post(cell.PeerExited{Node: peer.Node})
			return
		}
		if err != nil {
			return
		}
		_ = conn.Close()
		client, err := c.peers.client(peer.Address)
		if err != nil {
			return
		}
		response, err := client.Poke(ctx, &pb.PokeRequest{Cluster: c.cfg.Cluster, Cell: c.cfg.Cell})
		if err == nil {
			c.reportReplacedPeer(peer.Node, cellwire.NodeFromWire(response.GetFrom()))
		}
	})
}

// probeTarget reports the target of a lost node as exited if its VM refuses the connection.
func (c *Control) probeTarget(ctx context.Context, e cell.ProbeTarget) {
	if e.Address == "" {
		return
	}
	c.startRPC(ctx, func(ctx context.Context) {
		conn, err := c.cfg.Dial(ctx, e.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.post(cell.TargetExited{Name: e.Name, Incarnation: e.Incarnation})
			return
		}
		if err == nil {
			_ = conn.Close()
		}
	})
}
