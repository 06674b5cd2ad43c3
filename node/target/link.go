// Package target connects a node to the target on its VM. It handles announcements, probes,
// fenced grants, and calls over a small pool of connections.
//
// Locks: Link.mu guards the target's state and is a leaf lock, as is the lock of each
// connection. No call to the target and no callback runs while a lock is held.
package target

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/plane"
)

// ErrConfig reports invalid settings of a Link.
var ErrConfig = errors.New("invalid target link settings")

// Config holds the settings of a Link.
type Config struct {
	// Node is the name of this VM; an announcement must carry the same name.
	Node string
	// MaxConns bounds the open connections to the target.
	MaxConns int
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may take.
	ProbeTimeout time.Duration
	// SuspectAfter is the number of consecutive failed probes that makes a target suspect.
	SuspectAfter int
	// ConnectTimeout is how long opening a connection may take.
	ConnectTimeout time.Duration
	// ResolveTimeout bounds the wait for the target to state the outcome of a broken call.
	ResolveTimeout time.Duration
	// Clock reads the boot-time clock.
	Clock func() time.Duration
	// Logger receives one line per change of the target's state.
	Logger *slog.Logger
}

// DefaultConfig returns the default settings, for a target that accepts at most about 100
// connections.
func DefaultConfig(node string, clock func() time.Duration, logger *slog.Logger) Config {
	return Config{
		Node:           node,
		MaxConns:       32,
		ProbeInterval:  500 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		SuspectAfter:   2,
		ConnectTimeout: time.Second,
		ResolveTimeout: 250 * time.Millisecond,
		Clock:          clock,
		Logger:         logger,
	}
}

func (c Config) check() error {
	switch {
	case c.Node == "":
		return errors.Wrap(ErrConfig, "Node must not be empty")
	case c.MaxConns < 1 || c.MaxConns >= 100:
		return errors.Wrap(ErrConfig, "MaxConns must be 1 to 99")
	case c.ProbeInterval <= 0 || c.ProbeTimeout <= 0 || c.SuspectAfter < 1:
		return errors.Wrap(ErrConfig, "ProbeInterval, ProbeTimeout and SuspectAfter must be positive")
	case c.ConnectTimeout <= 0 || c.ResolveTimeout <= 0:
		return errors.Wrap(ErrConfig, "ConnectTimeout and ResolveTimeout must be positive")
	case c.Clock == nil || c.Logger == nil:
		return errors.Wrap(ErrConfig, "Clock and Logger are required")
	}
	return nil
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventReady means that the target has become ready to accept work.
	EventReady EventKind = iota + 1
	// EventGone means that the target process with the event's incarnation has ended.
	EventGone
	// EventChanged means any other change of state.
	EventChanged
)

// Event is a change of the target's state.
type Event struct {
	Kind        EventKind
	Incarnation uint64
	State       plane.TargetState
}

// Info is the known state of the target. Address is empty while no target is registered.
type Info struct {
	Name         string
	Incarnation  uint64
	Address      string
	Slots        int
	ChecksFences bool
	Services     []string
	State        plane.TargetState
	// ReadySince is the time at which the target became ready, on the boot-time clock.
	ReadySince time.Duration
}

// Link connects a node to its target. It is safe for concurrent use.
type Link struct {
	cfg Config
	// transport carries calls; control carries everything else, so that calls that occupy all
	// connections do not delay probes.
	transport *http.Transport
	control   *http.Transport
	inFlight  atomic.Int64
	openConns atomic.Int64
	// lastAnswerAt is the time of the target's last answer to a call, on the boot-time clock, in
	// nanoseconds.
	lastAnswerAt  atomic.Int64
	stopRequested atomic.Bool
	// probeNow triggers an immediate probe.
	probeNow chan struct{}

	mu           sync.Mutex
	info         Info
	failedProbes int
	// retired holds the last replaced incarnations; their announcements are refused.
	retired   []uint64
	listeners []func(Event)
}

// maxControlConns bounds the connections for probes, grants and cancellations.
const maxControlConns = 4

// maxRetired bounds the replaced incarnations that are remembered.
const maxRetired = 16

// New returns a link without a target; the target registers by an announcement. It fails with
// ErrConfig.
func New(cfg Config) (*Link, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l := &Link{cfg: cfg, probeNow: make(chan struct{}, 1)}
	dialer := net.Dialer{Timeout: cfg.ConnectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l.openConns.Add(1)
		return &meteredConn{Conn: conn, linkConns: &l.openConns}, nil
	}
	l.transport = &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        cfg.MaxConns,
		MaxIdleConns:           cfg.MaxConns,
		MaxIdleConnsPerHost:    cfg.MaxConns,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
	l.control = &http.Transport{
		DialContext:     dialer.DialContext,
		MaxConnsPerHost: maxControlConns,
		IdleConnTimeout: time.Minute,
	}
	return l, nil
}

// Subscribe registers a listener for changes. It must be called before Run, and the
// listener must not block.
func (l *Link) Subscribe(listener func(Event)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
}

// Info returns the known state of the target.
func (l *Link) Info() Info {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.info
}

// Report returns the target's state for the controller. The owner fills in Utilization.
func (l *Link) Report() plane.TargetReport {
	info := l.Info()
	return plane.TargetReport{
		State:        info.State,
		Incarnation:  info.Incarnation,
		Address:      info.Address,
		Slots:        uint32(info.Slots),
		InFlight:     uint32(max(l.inFlight.Load(), 0)),
		ChecksFences: info.ChecksFences,
	}
}

// OpenConns returns the number of open connections for work.
func (l *Link) OpenConns() int { return int(l.openConns.Load()) }

// SetStopRequested sets the flag that asks the target, in the answer to its announcements, to stop.
func (l *Link) SetStopRequested(stop bool) { l.stopRequested.Store(stop) }

// Close closes idle connections.
func (l *Link) Close() {
	l.transport.CloseIdleConnections()
	l.control.CloseIdleConnections()
}

// update applies change under the lock, logs a change of state and passes the events to the
// listeners.
func (l *Link) update(reason string, change func(info *Info) []Event) {
	l.mu.Lock()
	before := l.info.State
	events := change(&l.info)
	after := l.info
	listeners := l.listeners
	l.mu.Unlock()
	if before != after.State || len(events) > 0 {
		l.cfg.Logger.Info("target state changed", "target", after.Name, "incarnation", after.Incarnation,
			"state", stateName(after.State), "reason", reason)
	}
	for _, event := range events {
		for _, listener := range listeners {
			listener(event)
		}
	}
}
