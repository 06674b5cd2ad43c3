// Package loadquery transports queries for the load of a node's target between nodes over HTTP. A query is asked before a
// request of a shared service is sent, so it is small and its wait is short.
package loadquery

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/peercall"
)

// Path is the HTTP path at which a node answers queries.
const Path = "/auburnrelay/load"

// Timeout bounds one query. A node that takes longer counts as slow. It covers the way to another region and back and is
// short against the objectives of requests.
const Timeout = 30 * time.Millisecond

// ErrUnavailable reports a node whose target takes no requests of the service.
var ErrUnavailable = errors.New("target takes no requests of the service")

// ErrTimeout reports a node that did not answer within Timeout.
var ErrTimeout = errors.New("no answer in time")

// query is the body of a query.
type query struct {
	// Node is the name of the node that is asked; another node at the same address has no report.
	Node            string `json:"n"`
	Service         string `json:"s"`
	ObjectiveMicros int64  `json:"o"`
	Priority        int    `json:"p"`
}

// answer is the body of the response. Report is empty if the target takes no requests of the service.
type answer struct {
	Report string `json:"r"`
}

// Client asks other nodes for the load of their targets.
type Client struct {
	pool *h1.Pool
}

// NewClient returns a client that sends its queries over the pool's connections.
func NewClient(pool *h1.Pool) *Client { return &Client{pool: pool} }

// Ask returns the report of the named node on the load of its target as requests of the class see it. It fails with
// ErrUnavailable, balance.ErrReport, or ErrTimeout if the node does not answer within Timeout.
func (c *Client) Ask(ctx context.Context, node, address string, class slotqueue.Class) (*balance.Report, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	q := query{Node: node, Service: class.Service, ObjectiveMicros: class.Objective.Microseconds(), Priority: class.Priority}
	var a answer
	if err := peercall.Do(ctx, c.pool, address, Path, q, &a); err != nil {
		if ctx.Err() != nil && parent.Err() == nil {
			return nil, errors.Mark(err, ErrTimeout)
		}
		return nil, err
	}
	if a.Report == "" {
		return nil, ErrUnavailable
	}
	return balance.ParseReport(a.Report)
}

// Handler answers queries to the named node with the function report, which returns false if the target takes no requests
// of the service.
func Handler(node string, report func(slotqueue.Class) (*balance.Report, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q query
		if !peercall.Read(w, r, &q) {
			return
		}
		a := answer{}
		objective := time.Duration(q.ObjectiveMicros) * time.Microsecond
		if q.Node == node && objective >= 0 && objective <= maxObjective {
			class := slotqueue.Class{Service: q.Service, Objective: objective, Priority: q.Priority}
			if load, ok := report(class); ok {
				a.Report = load.String()
			}
		}
		peercall.Answer(w, a)
	})
}

// maxObjective bounds the objective in a query.
const maxObjective = time.Minute
