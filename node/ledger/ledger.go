package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/objects"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 500 * time.Millisecond
	// callTimeout bounds one call of the store or the controller.
	callTimeout = 2 * time.Second
	// finalPause is the time between two messages of a stopping node.
	finalPause = 100 * time.Millisecond
)

// Config is what a ledger is told of its node.
type Config struct {
	Cluster string
	Self    plane.Peer
	// ReportInterval is the time between two reports of a node: what at most is lost with it.
	ReportInterval time.Duration
	// SegmentInterval is the time between two segments of a cell.
	SegmentInterval time.Duration
	// Silence is the time without a message after which a node's counts are marked as a gap.
	Silence  time.Duration
	Logger   *slog.Logger
	Registry prometheus.Registerer
	// Now is the wall clock.
	Now func() time.Time
}

// Directory names the controller of the node's cell.
type Directory interface {
	// Controller returns the controller; its name is empty when it is not known.
	Controller() plane.Peer
	// Recorded returns the processes that the cell's record names.
	Recorded() []cell.Node
}

// Connections holds the connections to other nodes.
type Connections interface {
	// Acquire returns the connection to an address and a function that gives it back.
	Acquire(address string) (*grpc.ClientConn, func(), error)
}

// Ledger is one node's part in the account. It is safe for concurrent use.
type Ledger struct {
	pb.UnimplementedAccountServiceServer

	config    Config
	directory Directory
	peers     Connections
	log       *slog.Logger
	metrics   *metrics
	counter   counter

	mu       sync.Mutex
	reporter *account.Reporter
	sent     time.Time
	// newest is the last segment that the node has heard of.
	newest account.ID

	collecting collecting
}

// New returns a ledger over the store.
func New(config Config, store objects.Store, directory Directory, peers Connections) *Ledger {
	l := &Ledger{config: config, directory: directory, peers: peers, log: config.Logger}
	l.metrics = newMetrics(config.Registry)
	l.reporter = account.NewReporter(l.process(), config.Now())
	l.collecting.store = store
	return l
}

// Register adds the controller's side to a server.
func (l *Ledger) Register(server *grpc.Server) { pb.RegisterAccountServiceServer(server, l) }

// Count counts the outcome of one caller's request.
func (l *Ledger) Count(route plane.Route, o outcome.Outcome) {
	l.counter.add(route.Range, route.Slice.Range, route.SheetVersion, o)
}

func (l *Ledger) process() account.Process {
	return account.Process{Node: l.config.Self.Name, Incarnation: l.config.Self.Incarnation}
}

// Run reports and collects until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { l.collectUntil(ctx) })
	for {
		l.report(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// report seals the period if it is over and sends what is due.
func (l *Ledger) report(ctx context.Context) {
	now := l.config.Now()
	l.mu.Lock()
	if !now.Before(l.reporter.SealAt(l.config.ReportInterval)) && l.reporter.MaySeal(now) {
		l.reporter.Seal(l.counter.take(), now, false)
	}
	due := l.reporter.HasUnsent() || now.Sub(l.sent) >= l.config.ReportInterval
	l.mu.Unlock()
	if due {
		l.send(ctx, now)
	}
}

// Close reports the last counts and waits until they are in the store, or the context ends.
// Nothing may be counted after it began.
func (l *Ledger) Close(ctx context.Context) {
	l.mu.Lock()
	l.reporter.Seal(l.counter.take(), l.config.Now(), true)
	l.mu.Unlock()
	for !l.settled() {
		l.send(ctx, l.config.Now())
		l.collect(ctx)
		select {
		case <-time.After(finalPause):
		case <-ctx.Done():
			l.log.Warn("the last counts may be missing from the account", "reason", ctx.Err())
			return
		}
	}
}

func (l *Ledger) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reporter.Settled()
}

// send hands the next batch to the controller and takes its answer.
func (l *Ledger) send(ctx context.Context, now time.Time) {
	l.mu.Lock()
	batch := l.reporter.Batch()
	l.mu.Unlock()
	ack, newest, err := l.deliver(ctx, batch)
	l.metrics.sent(err)
	if err != nil {
		l.log.Debug("report not taken", "reason", err.Error(), "controller", l.directory.Controller().Name)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = now
	l.reporter.Answer(ack)
	if newest.Number > 0 {
		l.newest = newest
	}
	l.metrics.unbooked.Set(float64(l.reporter.Unbooked()))
}

func (l *Ledger) deliver(ctx context.Context, batch account.Batch) (account.Ack, account.ID, error) {
	controller := l.directory.Controller()
	if controller.Name == "" {
		return account.Ack{}, account.ID{}, errNoController
	}
	if l.leads(controller) {
		return l.offer(batch)
	}
	conn, release, err := l.peers.Acquire(controller.Address)
	if err != nil {
		return account.Ack{}, account.ID{}, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := batchToWire(l.config.Cluster, l.config.Self.Cell, batch)
	response, err := pb.NewAccountServiceClient(conn).Report(ctx, request)
	if err != nil {
		return account.Ack{}, account.ID{}, err
	}
	newest := account.ID{Cell: l.config.Self.Cell, Month: response.GetLastMonth(), Number: response.GetLastNumber()}
	return account.Ack{Accepted: response.GetAccepted(), Booked: response.GetBooked()}, newest, nil
}

// leads reports whether this process is the controller.
func (l *Ledger) leads(controller plane.Peer) bool {
	return controller.Name == l.config.Self.Name && controller.Incarnation == l.config.Self.Incarnation
}
