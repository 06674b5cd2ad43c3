package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/control"
	"github.com/auburnrelay/auburnrelay/node/entry"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/ledger"
	"github.com/auburnrelay/auburnrelay/node/owner"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/quarantinesync"
	"github.com/auburnrelay/auburnrelay/node/settings"
	"github.com/auburnrelay/auburnrelay/node/target"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
)

const (
	// defaultDeadline is the deadline of requests that do not set one.
	defaultDeadline = 30 * time.Second
	// maxHoldTime is the longest time that a request waits for an owner. It covers the loss of a
	// node and the reassignment of its keys.
	maxHoldTime = 4 * time.Second
	// maxHeldRequests is the maximum number of requests that wait for owners at the same time.
	maxHeldRequests = 4096
	// retryDelay is the delay before a retry with the same owner.
	retryDelay = 50 * time.Millisecond
	// releaseTimePerRequest is the time that each held request adds to the period over which held
	// requests are released after a change of routes, up to maxReleaseTime. Releasing all of them
	// at once would fill the new owner's queue.
	releaseTimePerRequest = 3 * time.Millisecond
	maxReleaseTime        = 500 * time.Millisecond
	// minKeepaliveInterval is the shortest interval between keepalive pings that peers may send.
	minKeepaliveInterval = 5 * time.Second
)

// Node is a node daemon with its components and open listeners. Run starts it.
type Node struct {
	settings     *settings.Settings
	log          *slog.Logger
	registry     *prometheus.Registry
	stores       Stores
	targetLink   *target.Link
	owner        *owner.Owner
	distributor  *quarantinesync.Distributor
	control      *control.Control
	pool         *forward.Pool
	ledger       *ledger.Ledger
	dispatcher   *entry.Dispatcher
	entryHandler *entry.Handler
	entryServer  *http.Server
	adminServer  *http.Server
	targetServer *http.Server
	peerServer   *grpc.Server
	listeners    listeners
	// drainBy is when a graceful stop ends its wait for requests in flight; zero before a stop. It is set by the actor that
	// awaits signals and read once that actor has returned.
	drainBy time.Time
}

// Stores holds two clients of the object store. Direct is for the control component: it makes one
// call at a time and must detect an outage at once, so its calls bypass the call budget and the
// retries. Budgeted is for all other calls; it applies both.
type Stores struct {
	Direct   objects.Store
	Budgeted *client.Client
}

// listeners holds the node's listeners.
type listeners struct {
	entry, peer, target, admin net.Listener
}

// Provision builds a node from its settings and opens its listeners. It returns the error of the
// first component that cannot be built, after closing the listeners.
func Provision(s *settings.Settings, stores Stores, registry *prometheus.Registry, log *slog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, stores: stores, registry: registry}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, step := range []func() error{n.provisionOwner, n.provisionControl, n.provisionEntry, n.provisionServers, n.listen} {
		if err := step(); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) provisionOwner() error {
	s := n.settings
	config := target.DefaultConfig(s.Node.Name, bootclock.Now, n.log.With("part", "target"))
	config.MaxConns = s.Target.MaxConnections
	config.ProbeInterval = s.Target.ProbeInterval.Std()
	config.ProbeTimeout = s.Target.ProbeTimeout.Std()
	link, err := target.New(config)
	if err != nil {
		return err
	}
	metrics, err := owner.NewMetrics(n.registry)
	if err != nil {
		return err
	}
	ownerConfig := owner.DefaultConfig(regionNodes, bootclock.Now, n.log.With("part", "owner"))
	ownerConfig.Admission = admissionPolicy(s.Load)
	ownerConfig.Pacing = pacingPolicy(s.Load)
	ownerConfig.Metrics = metrics
	ownerConfig.MaxConcurrent = s.Target.MaxConnections
	n.distributor = quarantinesync.New(quarantinesync.Config{
		Cell:   s.Node.Cell,
		Policy: ownerConfig.Quarantine,
		Log:    n.log.With("part", "sharing"),
	}, n.stores.Budgeted)
	ownerConfig.Publisher = n.distributor
	n.targetLink = link
	n.owner, err = owner.New(ownerConfig, link)
	return err
}

// regionNodes is the number of nodes that share a region's link.
const regionNodes = 4

func (n *Node) provisionControl() error {
	s := n.settings
	self := plane.Peer{
		Name:          s.Node.Name,
		Incarnation:   control.NewIncarnation(),
		Address:       s.Listen.AdvertisePeer,
		EntryAddress:  s.Listen.AdvertiseEntry,
		AdminAddress:  s.Listen.AdvertiseAdmin,
		Region:        s.Node.Region,
		FailureDomain: s.Node.FailureDomain,
		Cell:          s.Node.Cell,
	}
	config := control.Config{
		Self:     self,
		Cluster:  s.Cluster.Name,
		Cell:     s.Node.Cell,
		Timing:   s.Timing.Cell(),
		Logger:   n.log.With("part", "control"),
		Registry: n.registry,
		Dial:     dialFrom(s.Listen.Peer),
	}
	var err error
	n.control, err = control.New(config, n.stores.Direct, n.owner)
	return err
}

func (n *Node) provisionEntry() error {
	s := n.settings
	n.pool = forward.NewPool(s.Limits.PeerConnections, grpc.WithContextDialer(dialFrom(s.Listen.Peer)))
	n.ledger = n.newLedger()
	policy := retry.DefaultPolicy()
	policy.Ratio = s.Load.RetryShare
	n.distributor.Attach(n.owner, &quarantinesync.Peers{
		Cluster: s.Cluster.Name,
		Cell:    s.Node.Cell,
		Pool:    n.pool,
		Members: n.cellMembers,
		Log:     n.log.With("part", "sharing"),
	})
	metrics, err := entry.NewMetrics(n.registry)
	if err != nil {
		return err
	}
	n.dispatcher = entry.NewDispatcher(
		entry.DispatchConfig{
			HoldMax:        maxHoldTime,
			HoldLimit:      maxHeldRequests,
			RetryPause:     retryDelay,
			ReleasePace:    releaseTimePerRequest,
			ReleaseMax:     maxReleaseTime,
			DecisionSample: s.Log.DecisionSample,
		},
		entry.Dependencies{
			Router:  n.control,
			Local:   n.owner,
			Remote:  forward.NewClient(s.Cluster.Name, n.pool),
			Chooser: &lockedChooser{region: s.Node.Region, picker: balance.New(balancePolicy(s.Load))},
			Budget:  &lockedBudget{budget: retry.New(policy)},
			Ledger:  n.ledger,
			Log:     n.log.With("part", "entry"),
			Metrics: metrics,
		})
	limits := entry.Limits{
		KeyBytes:        s.Limits.KeyBytes,
		BodyBytes:       s.Limits.BodyBytes,
		DefaultDeadline: min(defaultDeadline, s.Limits.MaxDeadline.Std()),
		MaxDeadline:     s.Limits.MaxDeadline.Std(),
	}
	n.entryHandler = entry.NewHandler(n.dispatcher, limits, n.log.With("part", "entry"))
	n.entryServer = n.entryHandler.NewServer(s.Limits.HeaderBytes)
	return nil
}

func (n *Node) newLedger() *ledger.Ledger {
	account := n.settings.Account
	return ledger.New(ledger.Config{
		Cluster:         n.settings.Cluster.Name,
		Self:            n.control.Self(),
		ReportInterval:  account.ReportInterval.Std(),
		SegmentInterval: account.SegmentInterval.Std(),
		SilenceTimeout:  account.Silence.Std(),
		Logger:          n.log.With("part", "account"),
		Registry:        n.registry,
		Now:             time.Now,
	}, n.stores.Budgeted, n.control, n.pool)
}

func (n *Node) provisionServers() error {
	options := append(control.ServerOptions(), grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
		MinTime:             minKeepaliveInterval,
		PermitWithoutStream: true,
	}), grpc.StatsHandler(n.control.StatsHandler()))
	n.peerServer = grpc.NewServer(options...)
	n.control.Register(n.peerServer)
	quarantinesync.NewServer(n.settings.Cluster.Name, n.settings.Node.Cell, n.owner).Register(n.peerServer)
	n.ledger.Register(n.peerServer)
	limits := forward.Limits{BodyBytes: int(n.settings.Limits.BodyBytes)}
	forward.NewServer(n.settings.Cluster.Name, n.control, n.owner, limits, n.log.With("part", "forward")).Register(n.peerServer)
	n.adminServer = newAdminServer(adminSource{ready: n.ready, status: n.status, gatherer: n.registry})
	n.targetServer = &http.Server{Handler: n.targetLink.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	return nil
}

// cellMembers returns the other nodes of the cell.
func (n *Node) cellMembers() []plane.Peer {
	var others []plane.Peer
	for _, m := range n.control.Status().Members {
		if m.Peer.Name != n.settings.Node.Name {
			others = append(others, m.Peer)
		}
	}
	return others
}

func (n *Node) listen() error {
	ports := []struct {
		field    string
		address  string
		listener *net.Listener
	}{
		{"listen.entry", n.settings.Listen.Entry, &n.listeners.entry},
		{"listen.peer", n.settings.Listen.Peer, &n.listeners.peer},
		{"listen.target", n.settings.Listen.Target, &n.listeners.target},
		{"listen.admin", n.settings.Listen.Admin, &n.listeners.admin},
	}
	for _, p := range ports {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return errors.Wrap(err, p.field)
		}
		*p.listener = l
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.entry, n.listeners.peer, n.listeners.target, n.listeners.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// dialFrom returns a dial function that connects from the IP address of localAddress, so that peers
// can tell which VM calls.
func dialFrom(localAddress string) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if host, _, err := net.SplitHostPort(localAddress); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// dialTimeout is the timeout for connecting to a peer.
const dialTimeout = 500 * time.Millisecond

// ready reports whether the node has read its cell's record, without which it cannot route
// requests.
func (n *Node) ready() (bool, string) {
	if n.control.Status().Epoch == 0 {
		return false, "the cell's record has not been read"
	}
	return true, ""
}

// Status is the node's state as served by the admin listener.
type Status struct {
	control.Status
	Target target.Info `json:"target"`
	// Held is the number of callers' requests waiting for an owner.
	Held int64 `json:"held"`
	// PeerConnections is the number of open connections to other nodes.
	PeerConnections int `json:"peer_connections"`
}

func (n *Node) status() any {
	return Status{
		Status:          n.control.Status(),
		Target:          n.targetLink.Info(),
		Held:            n.dispatcher.Held(),
		PeerConnections: n.pool.Size(),
	}
}
