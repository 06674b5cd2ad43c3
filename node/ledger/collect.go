package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/account"
	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/objects"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

var (
	errNoController  = errors.New("the cell's controller is not known")
	errNotCollecting = errors.New("this node does not collect the cell's account yet")
)

// collecting is the controller's side of the protocol. The collector is nil while the node is
// not its cell's controller or has not found the cell's last segment.
type collecting struct {
	store objects.Store

	mu        sync.Mutex
	collector *account.Collector

	// writing serializes the writes of segments. It is held during calls of the store.
	writing sync.Mutex
}

// Report implements AccountService: it accepts a node's reports on the controller.
func (l *Ledger) Report(_ context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	if request.GetCluster() != l.config.Cluster || request.GetCell() != l.config.Self.Cell {
		return nil, status.Errorf(codes.PermissionDenied, "cluster %q, cell %q is not this node's",
			request.GetCluster(), request.GetCell())
	}
	ack, newest, err := l.offer(batchFromWire(request))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &pb.ReportResponse{
		Accepted: ack.Accepted, Booked: ack.Booked, LastMonth: newest.Month, LastNumber: newest.Number,
	}, nil
}

func (l *Ledger) offer(batch account.Batch) (account.Ack, account.ID, error) {
	c := &l.collecting
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collector == nil {
		return account.Ack{}, account.ID{}, errNotCollecting
	}
	ack := c.collector.Offer(batch, l.config.Now())
	newest, _ := c.collector.Last()
	return ack, newest, nil
}

func (l *Ledger) collectUntil(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		l.collect(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// collect writes the next segment if this node is the controller and one is due.
func (l *Ledger) collect(ctx context.Context) {
	c := &l.collecting
	c.writing.Lock()
	defer c.writing.Unlock()
	if !l.leads(l.directory.Controller()) {
		c.set(nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.open(ctx); err != nil {
		l.metrics.failed()
		l.log.Warn("the cell's last segment is not known", "cell", l.config.Self.Cell, "reason", err.Error())
		return
	}
	sealed, due, err := c.next(l.directory.Recorded(), l.config.Now())
	if err != nil {
		l.log.Error("building the next segment failed", "reason", err.Error())
		return
	}
	if due {
		l.write(ctx, sealed)
	}
}

func (c *collecting) set(collector *account.Collector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collector = collector
}

func (c *collecting) next(recorded []cell.Node, now time.Time) (account.Sealed, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range recorded {
		c.collector.Expect(account.Process{Node: n.Name, Incarnation: n.Incarnation}, now)
	}
	return c.collector.Next(now)
}

// open creates the collector from the cell's last segment, if the node has just become the
// controller.
func (l *Ledger) open(ctx context.Context) error {
	c := &l.collecting
	c.mu.Lock()
	isOpen := c.collector != nil
	c.mu.Unlock()
	if isOpen {
		return nil
	}
	last, err := l.findLast(ctx)
	if err != nil {
		return err
	}
	c.set(account.NewCollector(l.collectorConfig(), last, l.config.Now()))
	l.log.Info("collecting the cell's account", "cell", l.config.Self.Cell, "reason", "this node is the controller")
	return nil
}

func (l *Ledger) collectorConfig() account.Config {
	return account.Config{
		Cell: l.config.Self.Cell, Writer: l.process(),
		Interval: l.config.SegmentInterval, Silence: l.config.Silence,
	}
}

func (l *Ledger) findLast(ctx context.Context) (*account.Sealed, error) {
	l.mu.Lock()
	hint := l.newest
	l.mu.Unlock()
	f := finder{store: l.collecting.store, cell: l.config.Self.Cell, hint: hint}
	return f.last(ctx, l.config.Now())
}

// write stores the segment if its key does not exist yet. A write with an unknown outcome is
// retried unchanged; its write ID distinguishes it from another collector's segment.
func (l *Ledger) write(ctx context.Context, sealed account.Sealed) {
	_, err := l.collecting.store.Put(ctx, sealed.Key(), sealed.Value, 0, sealed.Digest)
	if errors.Is(err, objects.ErrConflict) {
		l.resolve(ctx, sealed)
		return
	}
	if err != nil {
		l.metrics.failed()
		l.log.Warn("segment not written yet", "segment", sealed.String(), "reason", err.Error())
		return
	}
	l.written(sealed)
}

// resolve handles a conflict on the segment's key. If the stored segment is this one, an earlier
// attempt succeeded. Otherwise another controller has written it, and the collector continues
// from the cell's new last segment.
func (l *Ledger) resolve(ctx context.Context, sealed account.Sealed) {
	object, err := l.collecting.store.Get(ctx, sealed.Key())
	if err != nil {
		l.log.Warn("reading the segment under the same key failed", "segment", sealed.String(), "reason", err.Error())
		return
	}
	if object.WriteID == sealed.Digest {
		l.written(sealed)
		return
	}
	last, err := l.findLast(ctx)
	if err != nil || last == nil {
		l.log.Warn("the cell's last segment is not known", "reason", err)
		return
	}
	l.log.Info("continuing from another controller's segment", "segment", last.String(), "reason", "segment number already in use")
	c := &l.collecting
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collector.Superseded(*last, l.config.Now())
}

func (l *Ledger) written(sealed account.Sealed) {
	l.metrics.wrote(sealed.At)
	l.log.Info("segment written", "segment", sealed.String(), "counts", len(sealed.Counts),
		"gaps", len(sealed.Gaps), "reason", "interval elapsed, or a process started or ended")
	c := &l.collecting
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.collector.Written(l.config.Now()); err != nil {
		l.log.Error("recording a written segment failed", "reason", err.Error())
	}
}
