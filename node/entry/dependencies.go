package entry

import (
	"context"
	"log/slog"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/forward"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// AnswerSink receives an answer and the node that served it.
type AnswerSink interface {
	plane.Sink
	// ServedBy sets the owner. It is called before Head.
	ServedBy(owner plane.Peer)
}

// Budget limits retries to a fraction of the requests.
type Budget interface {
	// RecordFirstAttempt records the first send of a request.
	RecordFirstAttempt()
	// Spend takes one retry from the budget and reports whether one was available.
	Spend() bool
}

// Chooser selects a node for a request of a shared service.
type Chooser interface {
	// Choose returns one of the candidates whose name is not in tried, and a function that must be
	// called with the result. It returns false if no candidate is left.
	Choose(candidates []plane.Peer, tried []string) (plane.Peer, func(plane.Result), bool)
}

// Ledger counts the outcomes of callers' requests for accounting.
type Ledger interface {
	Count(route plane.Route, result outcome.Outcome)
}

// Forwarder sends a request to another node.
type Forwarder interface {
	Forward(ctx context.Context, to plane.Peer, hops uint32, r *plane.Request, sink plane.Sink) forward.Reply
}

// Dependencies are the dependencies of a Dispatcher. All but Metrics are required.
type Dependencies struct {
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
