// Package sidecar builds and runs the node daemon that stands beside a target on the platform. It
// connects request handling, ownership of keys, the store and the listeners.
package sidecar

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/hedge"
	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/entryfeed"
	"github.com/auburnrelay/auburnrelay/node/evacuation"
	"github.com/auburnrelay/auburnrelay/node/feed"
	"github.com/auburnrelay/auburnrelay/node/guard"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/hop"
	"github.com/auburnrelay/auburnrelay/node/ingress"
	"github.com/auburnrelay/auburnrelay/node/loadquery"
	"github.com/auburnrelay/auburnrelay/node/logsink"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/storelink"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
	"github.com/auburnrelay/auburnrelay/node/voting"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

const (
	// renewInterval is the interval between renewals of the lease.
	renewInterval = 800 * time.Millisecond
	// leaseMargin is added to the lease for a slow renewal (a slow store answers in 240 ms).
	leaseMargin = 300 * time.Millisecond
	// extendInterval is the interval between rounds of requests for promises, by which other nodes
	// extend the lease while the store does not renew it.
	extendInterval = 500 * time.Millisecond
	// extendLimit is how long after its last renewal a lease may be extended. It exceeds the
	// longest store outage that must be tolerated (12 s). If more than half of a lost node's voters
	// are lost with it, its keys stay without an owner for this long.
	extendLimit = 15 * time.Second
	// entryExpiry is how long the entry of a silent node is kept: until its leases have ended
	// and its keys are reassigned. Entries of lost nodes are then removed to keep listings short.
	entryExpiry = time.Minute
	// entryReadInterval is the interval between reads of the other nodes' entries, and so the
	// longest time until a change of another node's target is noticed.
	entryReadInterval = 800 * time.Millisecond
	// reconcileInterval is the interval of periodic checks. It bounds the reaction time to events that
	// no message announces, such as the expiry of a lease.
	reconcileInterval = 200 * time.Millisecond
	// rankDelay staggers the nodes that may assign keys: each node waits rankDelay longer than the
	// node ranked before it. It is a few round trips to the store, so that a node sees the write
	// of the one before it.
	rankDelay = 400 * time.Millisecond
	// initialAssignDelay is how long the first assignment of a new service's keys waits for its
	// targets. It is slightly more than two heartbeats: when all targets of a service start
	// together, they have all reported by then and the keys are assigned only once.
	initialAssignDelay = 2500 * time.Millisecond
	// settleTime is the time between two assignments by load. It covers a renewal and a
	// read of the entries, after which the measured rates show the effect of a move.
	settleTime = 2500 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeats that a target may miss before it is no
	// longer offered to other nodes.
	maxMissedHeartbeats = 4
	// drainMargin is subtracted from the time in which requests may reach a leaving target, to
	// allow for requests that are already in transit.
	drainMargin = 400 * time.Millisecond

	// pollWait is how long the store may hold a poll. Each answer confirms the state of the feed, which
	// other nodes leave after about a second without a confirmation.
	pollWait = 400 * time.Millisecond
	// pollMargin is the time allowed for the answer after pollWait.
	pollMargin = 700 * time.Millisecond
	// maxReadBackoff is the maximum backoff of failing reads of the feed. It is short enough that a
	// new configuration is in force within the required time after an outage.
	maxReadBackoff = 400 * time.Millisecond
	// storeCallsPerSecond and storeCallBurst limit the feed's calls per second and their burst.
	storeCallsPerSecond = 10
	storeCallBurst      = 20

	// maxTargetConns caps the connections to the target, which accepts about 110.
	maxTargetConns = 90
	// maxPeerConns caps the connections to each other node.
	maxPeerConns = 256
	// dialTimeout is the timeout for connecting to another node, which is at most one region away
	// (8 ms one way). It leaves no time for the retransmission of a lost packet, which would come
	// too late for most requests.
	dialTimeout = 200 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection is broken
	// (TCP_USER_TIMEOUT).
	unackedTimeout = 1500 * time.Millisecond
	// targetIdleTimeout is shorter than the time after which targets close idle connections (10 s).
	targetIdleTimeout = 8 * time.Second
	// peerIdleTimeout is shorter than the idle timeout of the peers' servers.
	peerIdleTimeout = 40 * time.Second
	// memoryLimitPercent is the highest soft memory limit of the Go runtime in percent of the node's
	// memory; the rest is for memory that the runtime does not count.
	memoryLimitPercent = 80
)

// ownershipStore is the store for package ownership: calls without retries, because the ownership
// protocol itself decides what a failed call means, and the watch of the feed.
type ownershipStore struct {
	*storelink.Store
	feed *feed.Feed
}

// Watch delivers the objects below prefix and their changes until the context ends.
func (s ownershipStore) Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error {
	return s.feed.Watch(ctx, prefix, deliver)
}

// Daemon is a node with its components.
type Daemon struct {
	settings *Settings
	log      *slog.Logger
	sink     *logsink.Sink
	registry *prometheus.Registry
	config   *configWatcher
	// evacuation is nil if evacuations are not watched.
	evacuation    *evacuation.Watcher
	ownership     *ownership.Ownership
	guard         *guard.Guard
	dispatcher    *ingress.Dispatcher
	store         *storelink.Store
	feed          *feed.Feed
	entries       *entryfeed.Feed
	peerPool      *h1.Pool
	pools         []*h1.Pool
	servers       servers
	contacts      *contacts
	stopRequested chan struct{}
	stopOnce      sync.Once
	// settingsText is the content of the settings file when it was last read.
	settingsText []byte
}

// New builds a node and opens its listeners; it writes its log to out.
func New(s *Settings, out io.Writer) (*Daemon, error) {
	l := s.limits()
	debug.SetMemoryLimit(l.memoryLimit)
	sink := logsink.New(out)
	level := slog.LevelInfo
	if s.Log.Level != "" {
		if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
			return nil, errors.Wrap(ErrSettings, "log.level")
		}
	}
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})).With("node", s.Node.Name)
	d := &Daemon{settings: s, log: log, sink: sink, registry: prometheus.NewRegistry(), stopRequested: make(chan struct{})}
	d.contacts = newContacts(s.Listen.Peers)
	transfers := telemetry.NewTransfers(d.registry)
	raw := objectstore.New(s.Store.URL, objectstore.Options{
		PollWait: pollWait, SeparateKinds: []string{"nodes", "tables"}, Encoding: s.Store.Encoding,
		Log: log.With("part", "store"),
		OnTransfer: func(sent, received int) {
			transfers.Add("store-direct", telemetry.UnknownRegion, int64(sent), int64(received))
		},
	})
	d.peerPool = h1.NewPool(h1.Options{
		DialTimeout: dialTimeout, IdleTimeout: peerIdleTimeout, UnackedTimeout: unackedTimeout, MaxConns: maxPeerConns,
		MaxTotal: l.outgoing,
		OnTransfer: func(address, purpose string, sent, received int64) {
			transfers.Add(purpose, d.regionOf(address), sent, received)
		},
	})
	d.store = storelink.New(raw, d.peerPool, d.relayNodes, log.With("part", "store"))
	feedStore := client.New(d.store, client.Options{
		CallsPerSecond: storeCallsPerSecond, Burst: storeCallBurst, AttemptTimeout: time.Second, PollTimeout: pollWait + pollMargin,
		MaxBackoff: maxReadBackoff, Registerer: d.registry,
	})
	prefixes := []string{configPrefix, ownership.TablesPrefix}
	if s.Bounds.EvacuateSeconds > 0 {
		prefixes = append(prefixes, evacuation.Prefix)
	}
	d.feed = feed.New(feed.Config{
		Self: s.Node.Name, Prefixes: prefixes, Store: feedStore, Pool: d.peerPool,
		Members:          func() map[string]string { return d.ownership.RegionPeers() },
		IsFindingMembers: func() bool { return d.ownership.IsFindingMembers() },
		Clock:            bootclock.Now, Log: log.With("part", "feed"),
	})
	d.config = newConfigWatcher(d.feed, s.Bounds.ConfigApplySeconds.Duration(), log.With("part", "config"))
	d.entries = entryfeed.New(entryfeed.Config{
		Self: s.Node.Name, Pool: d.peerPool, Members: func() map[string]string { return d.ownership.RegionPeers() },
		Clock: bootclock.Now, Log: log.With("part", "entries"),
	})
	owning := ownership.Config{
		Self: ownership.Entry{
			Name: s.Node.Name, Incarnation: ulid.Make().String(), Address: s.Listen.Peers,
			Region: s.Node.Region, FailureDomain: s.Node.FailureDomain, LeaseMillis: d.leaseDuration().Milliseconds(),
		},
		Service:       s.Node.Service,
		TargetAddress: s.Target.Address,
		Timing:        d.timing(),
		Clock:         bootclock.Now,
		IsKeyed:       d.config.isKeyed,
		MayOwn:        d.config.mayOwn,
		IsShared:      d.config.isShared,
		Entries:       d.entries,
		Voters:        voting.NewClient(d.peerPool),
		ResponseLimit: platform.ResponseLimit(s.Store.Encoding),
		Log:           log.With("part", "ownership"),
	}
	if s.Bounds.EvacuateSeconds > 0 {
		d.evacuation = d.newEvacuationWatcher()
		d.config.isReady, owning.Evacuations = d.evacuation.IsKnown, d.evacuation
	}
	d.ownership = ownership.New(owning, ownershipStore{d.store, d.feed})
	return d, d.provision()
}

func (d *Daemon) newEvacuationWatcher() *evacuation.Watcher {
	return evacuation.New(evacuation.Config{
		Feed: d.feed, Own: d.settings.Node.FailureDomain, InForceAfter: d.settings.Bounds.EvacuateSeconds.Duration(), Clock: bootclock.Now,
		OwnEnded: func() { d.guard.EvacuationEnded() },
		Changed:  func() { d.ownership.EvacuationsChanged() },
		HasNodes: func(domain string) bool { return d.ownership.HasFailureDomain(domain) },
		Log:      d.log.With("part", "evacuation"),
	})
}

// regionOf tells whether the node at an address is in this node's region.
func (d *Daemon) regionOf(address string) telemetry.Region {
	switch d.ownership.RegionOf(address) {
	case "":
		return telemetry.UnknownRegion
	case d.settings.Node.Region:
		return telemetry.OwnRegion
	default:
		return telemetry.OtherRegion
	}
}

// leaseDuration returns how long a node keeps its keys after the last renewal. It covers one failed
// renewal and the time until the target's next heartbeat fetches a grant. With a longer lease the
// keys of a lost node would stay without an owner for longer; store outages are covered by promises
// of other nodes.
func (d *Daemon) leaseDuration() time.Duration {
	return 2*renewInterval + d.settings.Target.HeartbeatSeconds.Duration() + leaseMargin
}

// renewSharedInterval returns the interval of renewals by nodes without keys; zero if it is that of all nodes.
func (d *Daemon) renewSharedInterval() time.Duration {
	if interval := d.settings.Store.RenewSharedSeconds.Duration(); interval > renewInterval {
		return interval
	}
	return 0
}

func (d *Daemon) timing() ownership.Timing {
	b := d.settings.Bounds
	return ownership.Timing{
		RenewSharedInterval: d.renewSharedInterval(), SharedLease: 2*d.renewSharedInterval() + leaseMargin,
		Lease: d.leaseDuration(), RenewInterval: renewInterval, EntryReadInterval: entryReadInterval, ReconcileInterval: reconcileInterval, RankDelay: rankDelay,
		InitialAssignDelay: initialAssignDelay, SettleTime: settleTime,
		// A promise outlasts one failed round of requests and one missed heartbeat.
		Promise:        2*extendInterval + 2*d.settings.Target.HeartbeatSeconds.Duration(),
		ExtendInterval: extendInterval, ExtendLimit: extendLimit, EntryExpiry: entryExpiry,
		HoldMax: b.HoldMaxSeconds.Duration(), TargetTimeout: maxMissedHeartbeats * d.settings.Target.HeartbeatSeconds.Duration(),
		DrainGrace: d.drainGrace(),
	}
}

// drainGrace returns how long requests are still sent to a leaving target.
func (d *Daemon) drainGrace() time.Duration {
	return max(0, d.settings.Bounds.DrainSeconds.Duration()-drainMargin)
}

// provision builds the request path and the servers and opens the listeners.
func (d *Daemon) provision() error {
	codec := platform.HeaderCodec{}
	targetPool := h1.NewPool(h1.Options{DialTimeout: dialTimeout, IdleTimeout: targetIdleTimeout, UnackedTimeout: unackedTimeout, MaxConns: d.settings.limits().target})
	d.pools = []*h1.Pool{targetPool, d.peerPool}
	metrics := telemetry.NewMetrics(d.registry)
	requestLog := func(part string) *telemetry.RequestLog {
		return telemetry.NewRequestLog(d.log.With("part", part), metrics)
	}
	d.registerGauges()
	d.guard = guard.New(d.ownership, targetPool, codec, metrics, guard.ColdLimits{
		Service: d.config.service, Factor: d.settings.Bounds.ColdFactor, Slack: d.settings.Bounds.ColdSlack,
	}, d.log.With("part", "guard"))
	d.guard.RegisterGauges(d.registry)
	d.ownership.SetMonitor(d.guard)
	routing := ingress.Dependencies{
		View: d.ownership.View, Local: d.guard.Serve, Peers: hop.NewClient(d.peerPool), DrainGrace: d.drainGrace(),
		Retry:   retry.Bound{Ratio: d.settings.Bounds.RetryRatio, Slack: d.settings.Bounds.RetrySlack},
		Hedging: ingress.Hedging{Policy: hedge.Policy{MaxShare: d.settings.Hedge.MaxShare, Window: hedge.DefaultWindow}, Confirmed: d.config.IsLatest},
		Load:    ingress.Load{AskTargets: d.settings.Load.AskTargets, Source: loadquery.NewClient(d.peerPool), Local: d.guard.Report},
		Region:  d.settings.Node.Region, Log: requestLog("ingress"), Metrics: metrics,
	}
	if d.evacuation != nil {
		routing.Evacuated = d.evacuation.Refuses
	}
	d.dispatcher = ingress.NewDispatcher(routing)
	callers := ingress.NewHandler(codec, d.config, d.dispatcher, d.settings.Node.Service)
	if d.settings.Load.AskTargets > 0 {
		d.guard.EnableReports()
	}
	peers := hop.NewServer(d.settings.Node.Name, codec, d.guard.Serve, requestLog("hop"))
	return d.servers.open(d, callers, d.peerHandler(peers))
}

// registerGauges registers the metrics that are computed when they are collected.
func (d *Daemon) registerGauges() {
	telemetry.Gauge(d.registry, "config_version", "Version of the configuration in force; 0 before one is known.", func() float64 {
		if c := d.config.Current(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	telemetry.Gauge(d.registry, "feed_age_seconds", "Time since configuration and tables were last confirmed to be current.", func() float64 {
		age, known := d.feed.Age()
		if !known {
			return math.Inf(1)
		}
		return age.Seconds()
	})
	if d.evacuation != nil {
		telemetry.Gauge(d.registry, "evacuated_domains", "Failure domains that are evacuated, as far as the node knows.", func() float64 {
			return float64(d.evacuation.Count())
		})
	}
	telemetry.Gauge(d.registry, "feed_reads_store", "Whether the node reads configuration and tables from the store (1) or from another node (0).", func() float64 {
		if d.feed.ReadsStore() {
			return 1
		}
		return 0
	})
	telemetry.Gauge(d.registry, "entries_reads_store", "Whether the node lists the entries of all nodes from the store (1) or receives them from another node (0).", func() float64 {
		if d.entries.ReadsStore() {
			return 1
		}
		return 0
	})
	telemetry.Gauge(d.registry, "lease_left_seconds", "Time until the node's lease ends.", func() float64 {
		return d.ownership.LeaseLeft().Seconds()
	})
	telemetry.Gauge(d.registry, "log_lines_dropped", "Log lines dropped since the start because the output was stuck.", func() float64 {
		return float64(d.sink.Dropped())
	})
}

// peerHandler serves other nodes: requests for the local target, calls of the store, changes of the
// store, queries for the load, and votes.
func (d *Daemon) peerHandler(requests *hop.Server) http.Handler {
	votes := voting.Handler(d.settings.Node.Name, d.ownership.Vote)
	load := loadquery.Handler(d.settings.Node.Name, d.guard.Report)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.contacts.add(r.RemoteAddr)
		switch {
		case hop.IsRequest(r.Header):
			requests.ServeHTTP(w, r)
		case r.URL.Path == storelink.Path:
			d.store.ServeHTTP(w, r)
		case r.URL.Path == feed.Path:
			d.feed.ServeHTTP(w, r)
		case r.URL.Path == entryfeed.Path:
			d.entries.ServeHTTP(w, r)
		case r.URL.Path == loadquery.Path:
			load.ServeHTTP(w, r)
		case r.URL.Path == voting.Path:
			votes.ServeHTTP(w, r)
		default:
			requests.ServeHTTP(w, r)
		}
	})
}

// relayNodes returns the addresses of nodes that can relay calls to the store: the nodes with
// entries or, before any entry has been read, those that have called this node.
func (d *Daemon) relayNodes() []string {
	if known := d.ownership.PeerAddresses(); len(known) > 0 {
		return known
	}
	return d.contacts.addresses()
}

// Run serves until the context ends, a component fails or a stop is requested. It returns nil after
// a requested stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.sink.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	d.servers.addTo(&group)
	group.Add(func() error { return d.ownership.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return d.feed.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return d.config.run(ctx) }, func(error) { cancel() })
	if d.evacuation != nil {
		group.Add(func() error { return d.evacuation.Run(ctx) }, func(error) { cancel() })
	}
	group.Add(func() error { return d.handleSignals(ctx) }, func(error) { cancel() })
	d.log.Info("node started", "service", d.settings.Node.Service, "callers", d.settings.Listen.Callers, "peers", d.settings.Listen.Peers)
	err := group.Run()
	for _, p := range d.pools {
		p.Close()
	}
	d.log.Info("node stopped", "reason", err.Error(), "log_lines_dropped", d.sink.Dropped())
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// listen opens a listener; its error names the settings field of the address.
func listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen.%s", field)
}

const (
	// headerTimeout and maxHeaderBytes exceed the limits that configurations set for callers (3 s,
	// 16 KiB).
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// peerHeaderFields is more than the number of headers that nodes add to a request.
	peerHeaderFields = 32
	// idleTimeout exceeds four fifths of the idle time that configurations allow callers.
	idleTimeout = 60 * time.Second
)
