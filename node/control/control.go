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

// ErrIncomplete reports a Config without a required field.
var ErrIncomplete = errors.New("incomplete control settings")

// Config holds the settings of a Control.
type Config struct {
	Self    plane.Peer
	Cluster string
	Cell    string
	// Timing holds the durations of the protocol; the zero value selects cell.DefaultTiming.
	Timing   cell.Timing
	Logger   *slog.Logger
	Registry prometheus.Registerer
	// Dial opens connections to other nodes; nil selects TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Control is the control side of one node: it takes part in the cell's protocol, holds the leases
// of the node and knows the routes to other nodes.
type Control struct {
	pb.UnimplementedCellServiceServer

	cfg     Config
	store   objects.Store
	holder  plane.LeaseHolder
	log     *slog.Logger
	metrics *metrics
	peers   *peers

	events    chan envelope
	stopped   chan struct{}
	leaveDone chan struct{}

	// machine, localEvents, firstGrants and cancelWatches are used only by the loop in Run.
	// localEvents holds events for the machine that its own effects produced on this node.
	machine       *cell.Machine
	localEvents   []cell.Event
	firstGrants   map[sliceKey]firstGrant
	cancelWatches context.CancelFunc
	calls         sync.WaitGroup

	view   atomic.Pointer[routeView]
	owners ownerCache

	statusMu   sync.Mutex
	status     Status
	controller plane.Peer
	recorded   []cell.Node

	stopsMu sync.Mutex
	// stops are the planned stops; nil until they have been read once.
	stops []stop.Stop
}

// NewIncarnation returns the incarnation of a process that starts now. A later process of the same
// VM has a higher incarnation, so that delayed messages of the earlier one are recognized.
func NewIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// eventQueueSize is the capacity of the loop's event channel.
const eventQueueSize = 1024

// New returns a Control, which joins the cell when Run is called. It fails with ErrIncomplete if
// the name, incarnation, address or cell is not set.
func New(cfg Config, store objects.Store, holder plane.LeaseHolder) (*Control, error) {
	if cfg.Self.Name == "" || cfg.Self.Incarnation == 0 || cfg.Self.Address == "" || cfg.Cell == "" {
		return nil, errors.Wrap(ErrIncomplete, "name, incarnation, address and cell are required")
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
		log:         cfg.Logger.With("cell", cfg.Cell, "node", cfg.Self.Name),
		metrics:     newMetrics(cfg.Registry),
		events:      make(chan envelope, eventQueueSize),
		stopped:     make(chan struct{}),
		leaveDone:   make(chan struct{}),
		firstGrants: make(map[sliceKey]firstGrant),
	}
	c.peers = newPeers(cfg.Dial, c.StatsHandler())
	c.machine = cell.New(cell.Config{Cell: cfg.Cell, Self: memberOf(cfg.Self), Timing: cfg.Timing})
	c.view.Store(newRouteView(cfg.Self, cell.View{}))
	return c, nil
}

// Register registers the CellService with the node's gRPC server.
func (c *Control) Register(server *grpc.Server) { pb.RegisterCellServiceServer(server, c) }

// Self returns this node.
func (c *Control) Self() plane.Peer { return c.cfg.Self }

// Leave starts a planned leave. It waits until the node holds no slice and no role in the cell,
// until the loop has ended, or until ctx is done; only the last of these is an error.
func (c *Control) Leave(ctx context.Context) error {
	c.post(cell.LeaveRequested{})
	select {
	case <-c.leaveDone:
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
