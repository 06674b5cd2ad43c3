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

// segmentWriter is the controller's side of the protocol, which writes reports to the store as
// segments. The collector is nil while the node is not its cell's controller or has not found the
// cell's last segment.
type segmentWriter struct {
	store objects.Store

	mu        sync.Mutex
	collector *account.Collector

	// writeMu serializes the writes of segments. It is taken before all other locks and held
	// during calls of the store.
	writeMu sync.Mutex
}

// Report implements AccountService: it accepts a node's reports on the controller.
func (l *Ledger) Report(_ context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	if request.GetCluster() != l.config.Cluster || request.GetCell() != l.config.Self.Cell {
		return nil, status.Errorf(codes.PermissionDenied, "cluster %q, cell %q is not this node's",
			request.GetCluster(), request.GetCell())
	}
	ack, newest, err := l.acceptBatch(batchFromWire(request))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &pb.ReportResponse{
		Accepted: ack.Accepted, Booked: ack.Booked, LastMonth: newest.Month, LastNumber: newest.Number,
	}, nil
}

func (l *Ledger) acceptBatch(batch account.Batch) (account.Ack, account.ID, error) {
	w := &l.segmentWriter
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.collector == nil {
		return account.Ack{}, account.ID{}, errNotCollecting
	}
	ack := w.collector.Offer(batch, l.config.Now())
	newest, _ := w.collector.Last()
	return ack, newest, nil
}

func (l *Ledger) runCollector(ctx context.Context) {
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
	w := &l.segmentWriter
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	if !l.isController(l.directory.Controller()) {
		w.setCollector(nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.openCollector(ctx); err != nil {
		l.metrics.countFailedSegment()
		l.log.Warn("the cell's last segment is not known", "cell", l.config.Self.Cell, "reason", err.Error())
		return
	}
	sealed, due, err := w.nextSegment(l.directory.RecordedNodes(), l.config.Now())
	if err != nil {
		l.log.Error("building the next segment failed", "reason", err.Error())
		return
	}
	if due {
		l.writeSegment(ctx, sealed)
	}
}

func (w *segmentWriter) setCollector(collector *account.Collector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.collector = collector
}

func (w *segmentWriter) nextSegment(recorded []cell.Node, now time.Time) (account.Sealed, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range recorded {
		w.collector.Expect(account.Process{Node: n.Name, Incarnation: n.Incarnation}, now)
	}
	return w.collector.Next(now)
}

// openCollector creates the collector from the cell's last segment, if the node has just become the
// controller.
func (l *Ledger) openCollector(ctx context.Context) error {
	w := &l.segmentWriter
	w.mu.Lock()
	isOpen := w.collector != nil
	w.mu.Unlock()
	if isOpen {
		return nil
	}
	last, err := l.findLast(ctx)
	if err != nil {
		return err
	}
	w.setCollector(account.NewCollector(l.collectorConfig(), last, l.config.Now()))
	l.log.Info("collecting the cell's account", "cell", l.config.Self.Cell, "reason", "this node is the controller")
	return nil
}

func (l *Ledger) collectorConfig() account.Config {
	return account.Config{
		Cell: l.config.Self.Cell, Writer: l.process(),
		Interval: l.config.SegmentInterval, SilenceTimeout: l.config.SilenceTimeout,
	}
}

func (l *Ledger) findLast(ctx context.Context) (*account.Sealed, error) {
	l.mu.Lock()
	hint := l.newestSegment
	l.mu.Unlock()
	f := finder{store: l.segmentWriter.store, cell: l.config.Self.Cell, known: hint}
	return f.last(ctx, l.config.Now())
}

// writeSegment stores the segment if its key does not exist yet. A write with an unknown outcome is
// retried unchanged; its write ID distinguishes it from another collector's segment.
func (l *Ledger) writeSegment(ctx context.Context, sealed account.Sealed) {
	_, err := l.segmentWriter.store.Put(ctx, sealed.Key(), sealed.Value, 0, sealed.Digest)
	if errors.Is(err, objects.ErrConflict) {
		l.resolveConflict(ctx, sealed)
		return
	}
	if err != nil {
		l.metrics.countFailedSegment()
		l.log.Warn("segment not written yet", "segment", sealed.String(), "reason", err.Error())
		return
	}
	l.segmentWritten(sealed)
}

// resolveConflict handles a conflict on the segment's key. If the stored segment is this one, an
// earlier attempt succeeded. Otherwise another controller has written it, and the collector
// continues from the cell's new last segment.
func (l *Ledger) resolveConflict(ctx context.Context, sealed account.Sealed) {
	object, err := l.segmentWriter.store.Get(ctx, sealed.Key())
	if err != nil {
		l.log.Warn("reading the segment under the same key failed", "segment", sealed.String(), "reason", err.Error())
		return
	}
	if object.WriteID == sealed.Digest {
		l.segmentWritten(sealed)
		return
	}
	last, err := l.findLast(ctx)
	if err != nil || last == nil {
		l.log.Warn("the cell's last segment is not known", "reason", err)
		return
	}
	l.log.Info("continuing from another controller's segment", "segment", last.String(), "reason", "segment number already in use")
	w := &l.segmentWriter
	w.mu.Lock()
	defer w.mu.Unlock()
	w.collector.Superseded(*last, l.config.Now())
}

func (l *Ledger) segmentWritten(sealed account.Sealed) {
	l.metrics.countSegment(sealed.At)
	l.log.Info("segment written", "segment", sealed.String(), "counts", len(sealed.Counts),
		"gaps", len(sealed.Gaps), "reason", "interval elapsed, or a process started or ended")
	w := &l.segmentWriter
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.collector.Written(l.config.Now()); err != nil {
		l.log.Error("recording a written segment failed", "segment", sealed.String(), "reason", err.Error())
	}
}
