package sidecar

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/node/pipeline"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

const mebibyte = 1 << 20

const (
	// uncountedBytes is resident memory that the Go runtime does not count: mostly the pages of the program itself.
	// A node at rest was measured with 31 MiB, of which the runtime counts about 11; 2 MiB are a margin.
	uncountedBytes = 22 * mebibyte
	// restBytes is what a node takes at rest of the memory that the runtime counts, with a small configuration.
	restBytes = 12 * mebibyte
	// heldDivisor is the divisor of the memory left that gives what may be held for clients. The rest is for garbage that
	// has not been collected, and for copies that are made while requests are parsed and forwarded.
	heldDivisor = 2
	// minHeldBytes keeps a node with very little memory able to serve some requests.
	minHeldBytes = 4 * mebibyte
	// minMemoryLimitBytes is the lowest soft limit of the runtime, below which it would collect garbage all the time.
	minMemoryLimitBytes = 24 * mebibyte
	// connectionDivisor is the divisor of the budget that gives what one connection may hold for requests that were
	// pipelined behind others.
	connectionDivisor = 8

	// reservedFDs is the number of descriptors reserved for files, and storeFDs that for connections to the store.
	reservedFDs = 200
	storeFDs    = 16
	// peerFDDivisor, targetFDDivisor and otherFDDivisor are the divisors of the other descriptors that give those of the
	// connections from and to other nodes (each), to the target, and of each of the listeners for the target,
	// readiness and metrics. The callers get what is left.
	peerFDDivisor   = 6
	targetFDDivisor = 8
	otherFDDivisor  = 12
	maxOtherConns   = 128
	minConns        = 8
	// connsPerMB bounds the connections by the memory: 7 KiB were measured for an idle one.
	connsPerMB = 16

	// bodyBytesHeld is what a request's body takes at most in the request path: what is buffered, and a copy buffer of
	// 32 KiB and the connection's buffers while the rest is passed on.
	bodyBytesHeld = 2 * relay.MaxBufferedBytes
	// controlBodyBytes is the largest heartbeat that is read (package platform), and controlPerByte the memory that
	// takes for each byte while it is decoded.
	controlBodyBytes = mebibyte
	controlPerByte   = 4
	// peerHeaderBytes is the largest head between nodes: a caller's largest head can grow by a byte for each of its
	// fields, and by the headers between nodes.
	peerHeaderBytes = 2*maxHeaderBytes + 8<<10
)

// limits are the limits on what clients can take of the node's memory and descriptors.
type limits struct {
	// memoryLimit is the soft memory limit of the runtime, held what may be held for clients, and connection what one
	// connection may hold for pipelined requests; in bytes.
	memoryLimit, held, connection int64
	// callers, peers and other are the connections accepted by the listeners; outgoing and target those opened to
	// nodes and to the target.
	callers, peers, other, outgoing, target int
}

// limits derives the limits from the settings: those that are not set from the node's memory and descriptors.
func (s *Settings) limits() limits {
	memory := s.Node.MemoryMB * mebibyte
	l := limits{memoryLimit: max(minMemoryLimitBytes, min(memory*memoryLimitPercent/100, memory-uncountedBytes))}
	l.held = max(minHeldBytes, (l.memoryLimit-restBytes)/heldDivisor)
	if s.Limits.HeldMB > 0 {
		l.held = s.Limits.HeldMB * mebibyte
	}
	l.connection = l.held / connectionDivisor
	if s.Limits.ConnectionKB > 0 {
		l.connection = s.Limits.ConnectionKB << 10
	}
	fds := max(0, s.Node.MaxFDs-reservedFDs-storeFDs)
	byMemory := int(s.Node.MemoryMB * connsPerMB)
	l.target = max(minConns, min(maxTargetConns, fds/targetFDDivisor))
	l.other = max(minConns, min(maxOtherConns, fds/otherFDDivisor))
	l.peers = max(minConns, min(byMemory, fds/peerFDDivisor))
	l.outgoing = l.peers
	if s.Limits.PeerConnections > 0 {
		l.peers = s.Limits.PeerConnections
	}
	if s.Limits.OutgoingConnections > 0 {
		l.outgoing = s.Limits.OutgoingConnections
	}
	l.callers = max(minConns, min(byMemory, fds-l.target-l.peers-l.outgoing-3*l.other))
	if s.Limits.CallerConnections > 0 {
		l.callers = s.Limits.CallerConnections
	}
	return l
}

// limitLogInterval is the shortest time between two log lines about the same limit of the same listener.
const limitLogInterval = 10 * time.Second

// limitMonitor counts and logs the limits that clients reach.
type limitMonitor struct {
	log     *slog.Logger
	counter *prometheus.CounterVec

	mu   sync.Mutex
	last map[limitKey]limitState
}

type limitKey struct {
	listener string
	limit    pipeline.Limit
}

// limitState is when a limit was last logged, and how often it was reached since.
type limitState struct {
	logged time.Time
	since  int
}

func newLimitMonitor(r prometheus.Registerer, log *slog.Logger) *limitMonitor {
	m := &limitMonitor{log: log, last: make(map[limitKey]limitState), counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "auburnrelay", Name: "limits_reached_total", Help: "Limits that clients have reached, by listener and limit.",
	}, []string{"listener", "limit"})}
	r.MustRegister(m.counter)
	return m
}

// reached returns the function by which a listener's server reports limits.
func (m *limitMonitor) reached(listener string) func(pipeline.Limit) {
	return func(l pipeline.Limit) {
		m.counter.WithLabelValues(listener, string(l)).Inc()
		key, now := limitKey{listener, l}, time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		state := m.last[key]
		state.since++
		if now.Sub(state.logged) >= limitLogInterval {
			m.log.Warn("limit on clients reached", "listener", listener, "limit", string(l), "times", state.since)
			state = limitState{logged: now}
		}
		m.last[key] = state
	}
}
