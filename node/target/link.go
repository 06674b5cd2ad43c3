// Package target links a node to the target on its VM: announcements, probes, fenced
// grants, and calls over a small pool of connections.
//
// Locks: Link.mu guards what is known of the target and is a leaf; a connection's own lock
// is a leaf too. No call to the target and no callback runs under a lock.
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

// ErrConfig reports settings that the link cannot work with.
var ErrConfig = errors.New("invalid settings of the target link")

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
	// SuspectAfter is the number of failed probes in a row that makes a target suspect.
	SuspectAfter int
	// ConnectTimeout is how long opening a connection may take.
	ConnectTimeout time.Duration
	// SettleTimeout is how long a broken call waits for the target to say what became of it.
	SettleTimeout time.Duration
	// Clock reads the boot-time clock.
	Clock func() time.Duration
	// Logger receives a line for each change of the target's state.
	Logger *slog.Logger
}

// DefaultConfig returns the settings for a target with up to about 100 connections.
func DefaultConfig(node string, clock func() time.Duration, logger *slog.Logger) Config {
	return Config{
		Node:           node,
		MaxConns:       32,
		ProbeInterval:  500 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		SuspectAfter:   2,
		ConnectTimeout: time.Second,
		SettleTimeout:  250 * time.Millisecond,
		Clock:          clock,
		Logger:         logger,
	}
}

func (c Config) check() error {
	switch {
	case c.Node == "":
		return errors.Wrap(ErrConfig, "node has no name")
	case c.MaxConns < 1 || c.MaxConns >= 100:
		return errors.Wrap(ErrConfig, "connections must be 1 to 99")
	case c.ProbeInterval <= 0 || c.ProbeTimeout <= 0 || c.SuspectAfter < 1:
		return errors.Wrap(ErrConfig, "probe interval, timeout and count must be positive")
	case c.ConnectTimeout <= 0 || c.SettleTimeout <= 0:
		return errors.Wrap(ErrConfig, "timeouts must be positive")
	case c.Clock == nil || c.Logger == nil:
		return errors.Wrap(ErrConfig, "clock and logger are required")
	}
	return nil
}

// EventKind names a change of the target.
type EventKind uint8

const (
	// EventReady means that the target takes work from now on.
	EventReady EventKind = iota + 1
	// EventGone means that the process with the event's incarnation is known to have ended.
	EventGone
	// EventChanged means any other change of state.
	EventChanged
)

// Event is one change of the target.
type Event struct {
	Kind        EventKind
	Incarnation uint64
	State       plane.TargetState
}

// Info is what is known of the target.
type Info struct {
	Name         string
	Incarnation  uint64
	Address      string
	Slots        int
	ChecksFences bool
	Services     []string
	State        plane.TargetState
	// ReadySince is when the target became ready, on the boot-time clock.
	ReadySince time.Duration
}

// Link is the connection between a node and its target. All methods may be called from
// any goroutine.
type Link struct {
	cfg Config
	// transport carries work, control everything else, so that full slots delay no probe.
	transport *http.Transport
	control   *http.Transport
	inFlight  atomic.Int64
	openConns atomic.Int64
	// answeredAt is when the target last answered a call, on the boot-time clock in nanoseconds.
	answeredAt atomic.Int64
	stopping   atomic.Bool
	// kick asks for a probe at once.
	kick chan struct{}

	mu           sync.Mutex
	info         Info
	failedProbes int
	// former holds incarnations that were replaced; they must not come back.
	former    []uint64
	listeners []func(Event)
}

// controlConns bounds the connections for probes, grants and cancellations.
const controlConns = 4

// formerIncarnations is the number of replaced incarnations that are remembered.
const formerIncarnations = 16

// New returns a link that waits for an announcement. It fails with ErrConfig.
func New(cfg Config) (*Link, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l := &Link{cfg: cfg, kick: make(chan struct{}, 1)}
	dialer := net.Dialer{Timeout: cfg.ConnectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l.openConns.Add(1)
		return &meteredConn{Conn: conn, open: &l.openConns}, nil
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
		MaxConnsPerHost: controlConns,
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

// Info returns what is known of the target.
func (l *Link) Info() Info {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.info
}

// Report returns the target's state for the control side; Utilization is left to the owner.
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

// SetStopping sets the flag that asks the target, in the answer to its announcements, to stop.
func (l *Link) SetStopping(stop bool) { l.stopping.Store(stop) }

// Close closes idle connections.
func (l *Link) Close() {
	l.transport.CloseIdleConnections()
	l.control.CloseIdleConnections()
}

// update applies change under the lock and tells the listeners what came of it.
func (l *Link) update(reason string, change func(info *Info) []Event) {
	l.mu.Lock()
	before := l.info.State
	events := change(&l.info)
	after := l.info
	listeners := l.listeners
	l.mu.Unlock()
	if before != after.State || len(events) > 0 {
		l.cfg.Logger.Info("target state", "target", after.Name, "incarnation", after.Incarnation,
			"state", stateName(after.State), "reason", reason)
	}
	for _, event := range events {
		for _, listener := range listeners {
			listener(event)
		}
	}
}
