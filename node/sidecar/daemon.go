// Package sidecar is the daemon beside a target on the users' platform: it wires the parts of a
// node together and runs them.
package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/core/retry"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/guard"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/hop"
	"github.com/auburnrelay/auburnrelay/node/ingress"
	"github.com/auburnrelay/auburnrelay/node/logsink"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/storelink"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
	"github.com/auburnrelay/auburnrelay/node/voting"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

const (
	// renewTime is the time between two renewals of the lease.
	renewTime = 800 * time.Millisecond
	// leaseMargin is the part of the lease that a slow renewal may use up (the store answers in
	// 240 ms when it is slow).
	leaseMargin = 300 * time.Millisecond
	// extendTime is the time between two rounds of asking for promises.
	extendTime = 500 * time.Millisecond
	// extendLimit is more than the longest outage of the store that is to be borne (12 s). When
	// more than half of a lost node's voters are lost with it, its keys wait as long.
	extendLimit = 15 * time.Second
	// forgetTime is after every lease of a lost node has ended and its keys have gone to others; so
	// few entries of the dead are kept that listings stay short.
	forgetTime = time.Minute
	// lookTime is how long a change of another node's target goes unnoticed at most.
	lookTime = 800 * time.Millisecond
	// actTime bounds the delay of what no message announces, such as a lapse.
	actTime = 200 * time.Millisecond
	// rankTime is a few round trips to the store, so that the first node's write is seen before
	// the next one acts.
	rankTime = 400 * time.Millisecond
	// gatherTime is a little more than two heartbeats: all targets of a service that starts as a
	// whole have reported by then, and its keys are divided once.
	gatherTime = 2500 * time.Millisecond
	// settleTime is a renewal and a look, after which the rates show what a move did.
	settleTime = 2500 * time.Millisecond
	// silentBeats is the number of heartbeats that a target may miss.
	silentBeats = 4
	// drainMargin is kept from the time in which work may reach a leaving target, for what is
	// already on its way.
	drainMargin = 400 * time.Millisecond

	// pollWait is how long a watch waits; a connection that went silent is noticed after it.
	pollWait = 3 * time.Second
	// pollMargin is the store's time to answer after the wait.
	pollMargin = time.Second
	// watchBackoff bounds the pause of a watch that fails, so that a configuration is in force
	// within its bound after an outage.
	watchBackoff = 400 * time.Millisecond
	// storeCalls and storeBurst bound the calls of the watches.
	storeCalls = 10
	storeBurst = 20

	// targetConns caps the connections to the target, which accepts about 110.
	targetConns = 90
	// peerConns caps the connections to one other node.
	peerConns = 256
	// dialTime bounds a connection to another node, at most one region away (8 ms one way): a lost
	// packet is sent again too late for most requests in any case.
	dialTime = 200 * time.Millisecond
	// silenceTime is how long sent bytes may stay unacknowledged.
	silenceTime = 1500 * time.Millisecond
	// targetIdle is under the time after which targets close idle connections (10 s).
	targetIdle = 8 * time.Second
	// peerIdle is under the idle timeout of the peers' server.
	peerIdle = 40 * time.Second
	// memoryPart is the part of the memory, in percent, from which the process collects garbage at
	// any price; the rest is for what the runtime does not count.
	memoryPart = 80
	// retryNodes is the number of nodes among which the budget of retries is divided.
	retryNodes = 16
	// retryPart is the part of the allowed ratio that nodes use: requests that a target's own
	// calls repeat count as well.
	retryPart = 0.5
)

// storeFace is the store as the ownership uses it: single calls without retries, since it
// decides itself what a failed call means, and a watch that resumes.
type storeFace struct {
	*storelink.Store
	*watcher
}

type watcher struct{ *client.Client }

// Daemon is one node with its parts.
type Daemon struct {
	settings  *Settings
	log       *slog.Logger
	sink      *logsink.Sink
	registry  *prometheus.Registry
	config    *configuration
	ownership *ownership.Ownership
	guard     *guard.Guard
	store     *storelink.Store
	peerPool  *h1.Pool
	pools     []*h1.Pool
	servers   servers
	contacts  *contacts
	stopAsked chan struct{}
	stopOnce  sync.Once
	// settingsText is the settings file as last read.
	settingsText []byte
}

// New builds a node and opens its listeners; it writes its log to out.
func New(s *Settings, out io.Writer) (*Daemon, error) {
	debug.SetMemoryLimit(s.Node.MemoryMB << 20 * memoryPart / 100)
	sink := logsink.New(out)
	level := slog.LevelInfo
	if s.Log.Level != "" {
		if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
			return nil, errors.Wrap(ErrSettings, "log.level")
		}
	}
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})).With("node", s.Node.Name)
	d := &Daemon{settings: s, log: log, sink: sink, registry: prometheus.NewRegistry(), stopAsked: make(chan struct{})}
	d.contacts = newContacts(s.Listen.Peers)
	raw := objectstore.New(s.Store.URL, objectstore.Options{
		PollWait: pollWait, Separate: []string{"nodes", "tables"}, Encoding: s.Store.Encoding,
	})
	d.peerPool = h1.NewPool(h1.Options{DialTimeout: dialTime, IdleTimeout: peerIdle, Silence: silenceTime, MaxConns: peerConns})
	d.store = storelink.New(raw, d.peerPool, d.helpers, log.With("part", "store"))
	watching := client.New(d.store, client.Options{
		CallsPerSecond: storeCalls, Burst: storeBurst, AttemptTimeout: time.Second, PollTimeout: pollWait + pollMargin,
		MaxBackoff: watchBackoff, Registerer: d.registry,
	})
	d.config = newConfiguration(watching, log.With("part", "config"))
	d.ownership = ownership.New(ownership.Config{
		Self: ownership.Entry{
			Name: s.Node.Name, Incarnation: ulid.Make().String(), Address: s.Listen.Peers,
			Region: s.Node.Region, FailureDomain: s.Node.FailureDomain, LeaseMillis: d.leaseTime().Milliseconds(),
		},
		Timing:     d.timing(),
		Clock:      bootclock.Now,
		IsKeyed:    d.config.isKeyed,
		Voters:     voting.NewClient(d.peerPool),
		AnswerSize: platform.AnswerSize(s.Store.Encoding),
		Log:        log.With("part", "ownership"),
	}, storeFace{d.store, &watcher{watching}})
	return d, d.provision()
}

// leaseTime is how long a node keeps its keys after the last renewal: through one renewal that
// fails, until the target's next heartbeat has fetched a grant. Longer leases cost the keys of each
// lost node as long; outages of the store are bridged by promises of other nodes.
func (d *Daemon) leaseTime() time.Duration {
	return 2*renewTime + d.settings.Target.HeartbeatSeconds.Duration() + leaseMargin
}

func (d *Daemon) timing() ownership.Timing {
	b := d.settings.Bounds
	return ownership.Timing{
		Lease: d.leaseTime(), Renew: renewTime, Look: lookTime, Act: actTime, Rank: rankTime, Gather: gatherTime, Settle: settleTime,
		// A promise outlasts a round that fails and a heartbeat that is missed.
		Promise: 2*extendTime + 2*d.settings.Target.HeartbeatSeconds.Duration(),
		Extend:  extendTime, ExtendLimit: extendLimit, Forget: forgetTime,
		HoldMax: b.HoldMaxSeconds.Duration(), Silence: silentBeats * d.settings.Target.HeartbeatSeconds.Duration(),
		DrainGrace: max(0, b.DrainSeconds.Duration()-drainMargin),
	}
}

// provision builds the way of requests and the servers.
func (d *Daemon) provision() error {
	codec := platform.Headers{}
	targetPool := h1.NewPool(h1.Options{DialTimeout: dialTime, IdleTimeout: targetIdle, Silence: silenceTime, MaxConns: targetConns})
	d.pools = []*h1.Pool{targetPool, d.peerPool}
	metrics := telemetry.NewMetrics(d.registry)
	requests := func(part string) *telemetry.RequestLog {
		return telemetry.NewRequestLog(d.log.With("part", part), metrics)
	}
	d.gauges()
	d.guard = guard.New(d.ownership, targetPool, codec, metrics, d.log.With("part", "guard"))
	d.ownership.SetMeasure(d.guard)
	policy := retry.DefaultPolicy()
	policy.Ratio = d.settings.Bounds.RetryRatio * retryPart
	policy.Burst = max(1, d.settings.Bounds.RetrySlack*retryPart/retryNodes)
	dispatcher := ingress.NewDispatcher(ingress.Parts{
		View: d.ownership.View, Local: d.guard.Serve, Peers: hop.NewClient(d.peerPool), Retry: policy,
		Region: d.settings.Node.Region, Log: requests("ingress"), Metrics: metrics,
	})
	callers := ingress.NewHandler(codec, d.config.current, dispatcher, d.settings.Node.Service)
	peers := hop.NewServer(d.settings.Node.Name, codec, d.guard.Serve, requests("hop"))
	return d.servers.open(d, callers, d.peerHandler(peers))
}

// gauges registers what is read when it is asked for.
func (d *Daemon) gauges() {
	telemetry.Gauge(d.registry, "config_version", "Version of the configuration in force; 0 before one is known.", func() float64 {
		if c := d.config.current(); c != nil {
			return float64(c.Version)
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

// peerHandler serves other nodes: requests for the local target, calls of the store, and votes.
func (d *Daemon) peerHandler(requests *hop.Server) http.Handler {
	votes := voting.Handler(d.settings.Node.Name, d.ownership.Vote)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.contacts.note(r.RemoteAddr)
		switch {
		case hop.IsRequest(r.Header):
			requests.ServeHTTP(w, r)
		case r.URL.Path == storelink.Path:
			d.store.ServeHTTP(w, r)
		case r.URL.Path == voting.Path:
			votes.ServeHTTP(w, r)
		default:
			requests.ServeHTTP(w, r)
		}
	})
}

// helpers returns the nodes through which the store can be reached: those of the entries or, before
// the entries were read, those that have called this node.
func (d *Daemon) helpers() []string {
	if known := d.ownership.Others(); len(known) > 0 {
		return known
	}
	return d.contacts.addresses()
}

// Run serves until the context ends, a part fails or a signal asks for a stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.sink.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	d.servers.add(&group)
	group.Add(func() error { return d.ownership.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return d.config.run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return d.untilStopped(ctx) }, func(error) { cancel() })
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

// listen opens a listener and names the field of a fault.
func listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen.%s", field)
}

// newServer returns a server whose idle connections outlast those of its clients.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

const (
	// headerTime and headerBytes are above what the configurations allow callers (3 s, 16 KiB).
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	// idleTime is above four fifths of the idle time that configurations allow callers.
	idleTime = 60 * time.Second
)
