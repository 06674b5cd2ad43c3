package entry

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// decisionKind is the kind of a routing decision.
type decisionKind int

const (
	routed decisionKind = iota
	redirected
	held
	refused
	decisionKinds
)

// String returns the log message of the decision.
func (k decisionKind) String() string {
	return [decisionKinds]string{"routed", "redirected", "held", "refused"}[k]
}

// Logged reasons for the choice of the node to which a request is sent first.
const (
	reasonOwnSlice   = "this node owns the slice"
	reasonKnownOwner = "the route table names the owner"
	reasonContact    = "a node of the range's cell knows the owner"
	reasonBalance    = "least expected wait of two candidates"
)

// decisionLog logs a sample of the routing decisions of each kind.
type decisionLog struct {
	log *slog.Logger
	// sampleInterval is the sampling interval: one in sampleInterval decisions of each kind is
	// logged, starting with the first.
	sampleInterval uint64
	counts         [decisionKinds]atomic.Uint64
}

func (d *decisionLog) write(ctx context.Context, kind decisionKind, r *plane.Request, node, reason string) {
	if (d.counts[kind].Add(1)-1)%d.sampleInterval != 0 || !d.log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	d.log.LogAttrs(ctx, slog.LevelInfo, kind.String(),
		slog.String("service", r.Service),
		slog.String("key", r.Key),
		slog.String("slice", r.Slice.String()),
		slog.String("node", node),
		slog.Uint64("attempt", r.Attempt),
		slog.String("reason", reason),
		slog.Uint64("one_in", d.sampleInterval))
}

// writeRefused logs a request that ended without an answer from a target.
func (d *decisionLog) writeRefused(ctx context.Context, r *plane.Request, result plane.Result) {
	if result.Outcome != outcome.Answered {
		d.write(ctx, refused, r, "", result.Outcome.String()+": "+string(result.Reason))
	}
}
