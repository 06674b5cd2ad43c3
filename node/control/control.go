package control

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/objects"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// ErrIncomplete reports a Config without a needed field.
var ErrIncomplete = errors.New("incomplete control settings")

// Config is what a Control needs besides the store and the request side.
type Config struct {
	Self    plane.Peer
	Cluster string
	Cell    string
	// Timing holds the protocol's durations; zero takes cell.DefaultTiming.
	Timing   cell.Timing
	Logger   *slog.Logger
	Registry prometheus.Registerer
	// Dial opens connections to other nodes; nil takes TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Control is the control side of one node.
type Control struct {
	pb.UnimplementedCellServiceServer

	cfg     Config
	store   objects.Store
	holder  plane.Holder
	log     *slog.Logger
	metrics *metrics
	peers   *peers

	events  chan envelope
	stopped chan struct{}
	left    chan struct{}

	machine *cell.Machine
	local   []cell.Event
	firsts  map[sliceKey]firstGrant
	watches context.CancelFunc
	calls   sync.WaitGroup

	view    atomic.Pointer[routeView]
	learned learned

	statusMu sync.Mutex
	status   Status
	leader   plane.Peer
	recorded []cell.Node

	stopsMu sync.Mutex
	// stops are the planned stops, nil before they were first read.
	stops []stop.Stop
}

// NewIncarnation returns the incarnation of a process that starts now. Of two processes of a
// VM the later has the higher one; the former's messages may still arrive.
func NewIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// eventQueue is the number of events that may wait for the loop.
const eventQueue = 1024

// New returns a Control that takes part once Run is called.
func New(cfg Config, store objects.Store, holder plane.Holder) (*Control, error) {
	if cfg.Self.Name == "" || cfg.Self.Incarnation == 0 || cfg.Self.Address == "" || cfg.Cell == "" {
		return nil, errors.Wrap(ErrIncomplete, "name, incarnation, address and cell are needed")
	}
	if cfg.Timing == (cell.Timing{}) {
		cfg.Timing = cell.DefaultTiming()
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	c := &Control{
		cfg: cfg, store: store, holder: holder,
		log:     cfg.Logger.With("cell", cfg.Cell, "node", cfg.Self.Name),
		metrics: newMetrics(cfg.Registry),
		events:  make(chan envelope, eventQueue),
		stopped: make(chan struct{}),
		left:    make(chan struct{}),
		firsts:  make(map[sliceKey]firstGrant),
	}
	c.peers = newPeers(cfg.Dial, c.StatsHandler())
	c.machine = cell.New(cell.Config{Cell: cfg.Cell, Self: memberOf(cfg.Self), Timing: cfg.Timing})
	c.view.Store(newRouteView(cfg.Self, cell.View{}))
	return c, nil
}

// Register adds the control protocol to the node's gRPC server.
func (c *Control) Register(server *grpc.Server) { pb.RegisterCellServiceServer(server, c) }

// Self returns this node.
func (c *Control) Self() plane.Peer { return c.cfg.Self }

// Leave starts a planned leave and waits until no slice and no part in the cell is left
// with this node, or the context ends.
func (c *Control) Leave(ctx context.Context) error {
	c.post(cell.LeaveAsked{})
	select {
	case <-c.left:
		return nil
	case <-c.stopped:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "leave the cell")
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrap(err, "dial node")
}

const dialTimeout = 500 * time.Millisecond
