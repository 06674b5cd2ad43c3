package entry

import (
	"context"
	"log/slog"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Answer takes an answer and the name of the node that served it.
type Answer interface {
	plane.Sink
	// ServedBy names the owner before the answer's head.
	ServedBy(owner plane.Peer)
}

// Budget limits retries to a share of the requests.
type Budget interface {
	// Earn records one first try.
	Earn()
	// Spend takes the cost of one retry and reports whether it was there.
	Spend() bool
}

// Chooser picks a node for a request of a shared service.
type Chooser interface {
	// Choose returns one of the candidates whose name is not in tried, and a function to call
	// with the result. It returns false when none is left.
	Choose(candidates []plane.Peer, tried []string) (plane.Peer, func(plane.Result), bool)
}

// Ledger counts the outcomes of callers' requests for the account.
type Ledger interface {
	Count(route plane.Route, result outcome.Outcome)
}

// Forwarder sends a request to another node.
type Forwarder interface {
	Forward(ctx context.Context, to plane.Peer, hops uint32, r *plane.Request, sink plane.Sink) forward.Reply
}

// Parts are what a dispatcher works with; all but Metrics are needed.
type Parts struct {
	Router  plane.Router
	Local   plane.Server
	Remote  Forwarder
	Chooser Chooser
	Budget  Budget
	Ledger  Ledger
	Log     *slog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}
