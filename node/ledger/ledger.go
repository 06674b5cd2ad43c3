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
	// tickInterval is the interval at which due reports and segments are checked for.
	tickInterval = 500 * time.Millisecond
	// callTimeout bounds one call of the controller, or the store calls for one segment.
	callTimeout = 2 * time.Second
	// closeRetryDelay is the delay between two attempts of a stopping node to book its last counts.
	closeRetryDelay = 100 * time.Millisecond
)

// Config holds the settings of a Ledger.
type Config struct {
	Cluster string
	Self    plane.Peer
	// ReportInterval is the time between two reports of a node. Counts of at most this period
	// are lost if the node crashes.
	ReportInterval time.Duration
	// SegmentInterval is the time between two segments of a cell.
	SegmentInterval time.Duration
	// SilenceTimeout is the time without a message from a node after which its missing counts are
	// marked as a gap.
	SilenceTimeout time.Duration
	Logger         *slog.Logger
	// Registry receives the metrics; if nil, they are not registered.
	Registry prometheus.Registerer
	// Now reads the wall clock.
	Now func() time.Time
}

// Directory provides the controller and the recorded nodes of the node's cell.
type Directory interface {
	// Controller returns the controller; its name is empty if it is not known.
	Controller() plane.Peer
	// RecordedNodes returns the node processes listed in the cell's record.
	RecordedNodes() []cell.Node
}

// Connections provides connections to other nodes.
type Connections interface {
	// Acquire returns a connection to the address and a function that releases it.
	Acquire(address string) (*grpc.ClientConn, func(), error)
}

// Ledger runs the accounting protocol on one node. It is safe for concurrent use.
type Ledger struct {
	pb.UnimplementedAccountServiceServer

	config    Config
	directory Directory
	peers     Connections
	log       *slog.Logger
	metrics   *metrics
	counter   counter

	mu         sync.Mutex
	reporter   *account.Reporter
	lastSentAt time.Time
	// newestSegment is the cell's latest segment that is known to this node.
	newestSegment account.ID

	segmentWriter segmentWriter
}

// New returns a Ledger that writes segments to store.
func New(config Config, store objects.Store, directory Directory, peers Connections) *Ledger {
	l := &Ledger{config: config, directory: directory, peers: peers, log: config.Logger}
	l.metrics = newMetrics(config.Registry)
	l.reporter = account.NewReporter(l.process(), config.Now())
	l.segmentWriter.store = store
	return l
}

// Register registers the AccountService, the controller's side of the protocol, with a server.
func (l *Ledger) Register(server *grpc.Server) { pb.RegisterAccountServiceServer(server, l) }

// Count counts the outcome of one caller's request.
func (l *Ledger) Count(route plane.Route, o outcome.Outcome) {
	l.counter.add(route.Range, route.Slice.Range, route.SheetVersion, o)
}

func (l *Ledger) process() account.Process {
	return account.Process{Node: l.config.Self.Name, Incarnation: l.config.Self.Incarnation}
}

// Run sends reports and, on the controller, writes segments until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { l.runCollector(ctx) })
	for {
		l.reportDue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reportDue ends the current period if its time is over, and sends reports if any are due. A message
// without reports is sent once per ReportInterval.
func (l *Ledger) reportDue(ctx context.Context) {
	now := l.config.Now()
	l.mu.Lock()
	if !now.Before(l.reporter.PeriodEnd(l.config.ReportInterval)) && l.reporter.MayEndPeriod(now) {
		l.reporter.EndPeriod(l.counter.take(), now, false)
	}
	due := l.reporter.HasUnsent() || now.Sub(l.lastSentAt) >= l.config.ReportInterval
	l.mu.Unlock()
	if due {
		l.sendReports(ctx, now)
	}
}

// Close reports the last counts and waits until they are in the store or the context ends.
// Count must not be called after Close.
func (l *Ledger) Close(ctx context.Context) {
	l.mu.Lock()
	l.reporter.EndPeriod(l.counter.take(), l.config.Now(), true)
	l.mu.Unlock()
	for !l.allBooked() {
		l.sendReports(ctx, l.config.Now())
		l.collect(ctx)
		select {
		case <-time.After(closeRetryDelay):
		case <-ctx.Done():
			l.log.Warn("stopped before the last counts were known to be in the account", "reason", ctx.Err())
			return
		}
	}
}

func (l *Ledger) allBooked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reporter.AllBooked()
}

// sendReports sends the next batch to the controller and applies its answer.
func (l *Ledger) sendReports(ctx context.Context, now time.Time) {
	l.mu.Lock()
	batch := l.reporter.Batch()
	l.mu.Unlock()
	ack, newest, err := l.sendBatch(ctx, batch)
	l.metrics.countReport(err)
	if err != nil {
		l.log.Debug("sending reports to the controller failed", "reason", err.Error(), "controller", l.directory.Controller().Name)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSentAt = now
	l.reporter.Acknowledge(ack)
	if newest.Number > 0 {
		l.newestSegment = newest
	}
	l.metrics.unbookedReports.Set(float64(l.reporter.Unbooked()))
}

func (l *Ledger) sendBatch(ctx context.Context, batch account.Batch) (account.Ack, account.ID, error) {
	controller := l.directory.Controller()
	if controller.Name == "" {
		return account.Ack{}, account.ID{}, errNoController
	}
	if l.isController(controller) {
		return l.acceptBatch(batch)
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

// isController reports whether this process is the given controller.
func (l *Ledger) isController(controller plane.Peer) bool {
	return controller.Name == l.config.Self.Name && controller.Incarnation == l.config.Self.Incarnation
}
