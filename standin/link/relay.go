package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the largest unit sent over a region link. It is small so that a short message does
	// not wait for a whole large one.
	chunkBytes = 4 << 10
	// bufferBytes is the size of the send buffer of a region link, in each direction.
	bufferBytes = 256 << 10
	// maxQueuedChunks limits the chunks of one connection that are delayed or in transit, in each direction.
	maxQueuedChunks = 64
	dialTimeout     = 2 * time.Second
	bytesPerMegabit = 1_000_000 / 8
)

// direction is a pair of regions: the one that sends and the one that receives.
type direction struct {
	from string
	to   string
}

// lane simulates the link from one region to another. Like the send buffer of a slow link, it is a FIFO
// queue that all connections in this direction share. It counts the bytes put into it.
type lane struct {
	limiter *rate.Limiter
	// drainTime is the time that a full buffer takes to drain. Senders block while the buffer is full.
	drainTime time.Duration
	bytes     atomic.Int64
}

// cutPair names two regions or failure domains that cannot reach one another. An empty b stands for all
// places outside a.
type cutPair struct {
	a string
	b string
}

// Relay forwards connections as its plan describes. It is safe for concurrent use.
type Relay struct {
	plan      Plan
	listeners []net.Listener
	conns     sync.WaitGroup

	mu    sync.Mutex
	cuts  map[cutPair]bool
	lanes map[direction]*lane
	// cutsChanged is closed and replaced whenever the cuts change.
	cutsChanged chan struct{}
}

// Listen opens the listeners of the plan; Run serves them. It returns ErrPlan for an invalid plan, or the
// error of the listener that could not be opened.
func Listen(plan Plan) (*Relay, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	r := &Relay{
		plan:        plan,
		cuts:        make(map[cutPair]bool),
		lanes:       make(map[direction]*lane),
		cutsChanged: make(chan struct{}),
	}
	for _, route := range plan.Routes {
		listener, err := net.Listen("tcp", route.Listen)
		if err != nil {
			r.close()
			return nil, errors.Wrapf(err, "open the listener of the route to %s", route.To)
		}
		r.listeners = append(r.listeners, listener)
	}
	return r, nil
}

// Address returns the address of the listener of the plan's route with this index.
func (r *Relay) Address(route int) string { return r.listeners[route].Addr().String() }

// Run forwards connections until the context is cancelled, then closes them and returns nil.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, listener := range r.listeners {
		r.conns.Go(func() { r.accept(ctx, listener, r.plan.Routes[i]) })
	}
	<-ctx.Done()
	r.close()
	r.conns.Wait()
	return nil
}

func (r *Relay) close() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
}

func (r *Relay) accept(ctx context.Context, listener net.Listener, route Route) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.conns.Go(func() { r.proxy(ctx, conn, route) })
	}
}

// proxy serves one client connection: it dials the route's address and copies in both directions.
func (r *Relay) proxy(ctx context.Context, client net.Conn, route Route) {
	defer client.Close()
	from := r.placeOf(client, route)
	if !r.waitHealed(ctx, from, route.ToPlace) {
		return
	}
	delay := r.plan.delay(from, route.ToPlace)
	// The handshake of a real connection would take this time before any data is sent.
	if !sleep(ctx, delay) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: localAddrFor(client)}
	server, err := dialer.DialContext(ctx, "tcp", route.To)
	if err != nil {
		resetOnClose(client)
		return
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { r.forward(ctx, server, client, from, route.ToPlace) })
	both.Go(func() { r.forward(ctx, client, server, route.ToPlace, from) })
	both.Wait()
}

// localAddrFor returns the client's IP address as the local address for the connection to the server, which
// thereby sees the client's address.
func localAddrFor(client net.Conn) net.Addr {
	remote, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return &net.TCPAddr{IP: remote.IP}
}

// resetOnClose makes the close of the connection send a TCP reset, as for a refused connection.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// placeOf returns the place of the client: the route's From, or the place of the client's IP address.
func (r *Relay) placeOf(conn net.Conn, route Route) Place {
	if route.From.Region != "" {
		return route.From
	}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return Place{}
	}
	return r.plan.Places[host]
}

// chunk is data in transit and the time at which it may be delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// forward sends data in one direction until either side closes. Data that was read before a cut but not
// yet delivered waits until the cut is healed, as it would with TCP retransmissions.
func (r *Relay) forward(ctx context.Context, to, from net.Conn, fromPlace, toPlace Place) {
	chunks := make(chan chunk, maxQueuedChunks)
	go r.readChunks(ctx, from, fromPlace, toPlace, chunks)
	for c := range chunks {
		if !sleep(ctx, time.Until(c.due)) || !r.waitHealed(ctx, fromPlace, toPlace) || !writeAll(to, c.data) {
			_ = from.Close()
			break
		}
	}
	closeWrite(to)
	for range chunks {
		// Unblocks the reader if the channel is full, so that it can return.
		continue
	}
}

// readChunks reads from the connection and queues the chunks with their time of delivery. It closes chunks
// when the connection ends.
func (r *Relay) readChunks(ctx context.Context, from net.Conn, fromPlace, toPlace Place, chunks chan<- chunk) {
	defer close(chunks)
	delay := r.plan.delay(fromPlace, toPlace)
	lane := r.laneBetween(fromPlace, toPlace)
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			queueDelay, ok := lane.enqueue(ctx, n)
			if !ok {
				return
			}
			chunks <- chunk{data: data[:n], due: time.Now().Add(queueDelay + delay)}
		}
		if err != nil {
			return
		}
	}
}

// enqueue waits until the buffer has room for n bytes and returns how long they stay in it. It returns
// false if the context is cancelled first. A nil lane has no queue.
func (l *lane) enqueue(ctx context.Context, n int) (time.Duration, bool) {
	if l == nil {
		return 0, true
	}
	queueDelay := l.limiter.ReserveN(time.Now(), n).Delay()
	l.bytes.Add(int64(n))
	if excess := queueDelay - l.drainTime; excess > 0 {
		return l.drainTime, sleep(ctx, excess)
	}
	return queueDelay, true
}

func writeAll(to io.Writer, data []byte) bool {
	_, err := to.Write(data)
	return err == nil
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// sleep sleeps; it returns false if the context is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// laneBetween returns the lane between the regions of two places, or nil within a region.
func (r *Relay) laneBetween(from, to Place) *lane {
	if from.Region == to.Region {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := direction{from.Region, to.Region}
	if r.lanes[d] == nil {
		bytesPerSecond := r.plan.RegionMbits * bytesPerMegabit
		r.lanes[d] = &lane{
			limiter:   rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
			drainTime: time.Duration(bufferBytes / bytesPerSecond * float64(time.Second)),
		}
	}
	return r.lanes[d]
}
