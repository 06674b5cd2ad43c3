// Package voting carries the votes on leases between nodes: promises to an owner that the store
// does not answer, and consents to a node that takes over from a lost one.
package voting

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/peercall"
)

// Path is where a node is asked for its vote.
const Path = "/auburnrelay/vote"

// askTime bounds one question: a voter that takes longer does not count.
const askTime = 300 * time.Millisecond

// message is a question; Voter is the name of the node that is meant.
type message struct {
	Voter string             `json:"voter"`
	Ask   ownership.Question `json:"ask"`
}

type answer struct {
	Yes bool `json:"yes"`
}

// Client asks other nodes for their votes.
type Client struct {
	pool *h1.Pool
}

// NewClient returns a client over the pool.
func NewClient(pool *h1.Pool) *Client { return &Client{pool: pool} }

var _ ownership.Voters = (*Client)(nil)

// Ask implements ownership.Voters.
func (c *Client) Ask(ctx context.Context, voter, address string, q ownership.Question) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var a answer
	err := peercall.Do(ctx, c.pool, address, Path, message{Voter: voter, Ask: q}, &a)
	return a.Yes, err
}

// Handler answers questions to the node of the name by vote.
func Handler(name string, vote func(ownership.Question) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m message
		if !peercall.Read(w, r, &m) {
			return
		}
		peercall.Answer(w, answer{Yes: m.Voter == name && vote(m.Ask)})
	})
}
