package forward

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// ErrPoolFull reports that all connections of the pool are in use.
var ErrPoolFull = errors.New("connection pool full")

const (
	dialBackoffBase  = 50 * time.Millisecond
	dialBackoffMax   = time.Second
	dialTimeout      = 2 * time.Second
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
)

// Pool keeps one gRPC connection per peer address, dialed on demand, up to a maximum number. It is
// safe for concurrent use.
type Pool struct {
	limit   int
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*pooledConn
}

type pooledConn struct {
	conn     *grpc.ClientConn
	users    int
	lastUsed time.Time
}

// NewPool returns a pool of at most limit connections. The extra options apply to each connection.
func NewPool(limit int, extra ...grpc.DialOption) *Pool {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialBackoffBase, Multiplier: 2, Jitter: 0.2, MaxDelay: dialBackoffMax},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
	}, extra...)
	return &Pool{limit: limit, options: options, conns: map[string]*pooledConn{}}
}

// Acquire returns the connection to the address and a function that releases it. If the pool is
// full, the least recently used idle connection is closed; without one, Acquire fails with
// ErrPoolFull.
func (p *Pool) Acquire(address string) (*grpc.ClientConn, func(), error) {
	p.mu.Lock()
	entry, evicted, err := p.entry(address)
	if err == nil {
		entry.users++
		entry.lastUsed = time.Now()
	}
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	return entry.conn, func() { p.release(entry) }, nil
}

// entry returns the entry of the address, which it creates if needed, and the connection evicted
// for it, which the caller must close. The caller holds mu: grpc.NewClient does not block on the
// network.
func (p *Pool) entry(address string) (*pooledConn, *grpc.ClientConn, error) {
	if e, ok := p.conns[address]; ok {
		return e, nil, nil
	}
	var evicted *grpc.ClientConn
	if len(p.conns) >= p.limit {
		oldest := p.oldestIdle()
		if oldest == "" {
			return nil, nil, errors.Wrapf(ErrPoolFull, "%d connections", p.limit)
		}
		evicted = p.conns[oldest].conn
		delete(p.conns, oldest)
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, evicted, errors.Wrapf(err, "connect to peer %s", address)
	}
	e := &pooledConn{conn: conn}
	p.conns[address] = e
	return e, evicted, nil
}

func (p *Pool) oldestIdle() string {
	var oldest string
	for address, e := range p.conns {
		if e.users > 0 {
			continue
		}
		if oldest == "" || e.lastUsed.Before(p.conns[oldest].lastUsed) {
			oldest = address
		}
	}
	return oldest
}

func (p *Pool) release(e *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.users--
	e.lastUsed = time.Now()
}

// Size returns the number of connections in the pool.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[string]*pooledConn{}
	p.mu.Unlock()
	for _, e := range conns {
		_ = e.conn.Close()
	}
}
