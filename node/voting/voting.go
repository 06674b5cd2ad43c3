// Package voting transports votes on leases between nodes over HTTP: promises to an owner that
// cannot reach the store, and consents to a node that takes over from a lost one.
package voting

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/peercall"
)

// Path is the HTTP path at which a node answers requests for its vote.
const Path = "/auburnrelay/vote"

// voteTimeout bounds one request for a vote; a voter that takes longer counts as not having answered.
const voteTimeout = 300 * time.Millisecond

// voteRequest is the body of a request for a vote.
type voteRequest struct {
	// Voter is the name of the node that is asked; another node at the same address answers no.
	Voter string                `json:"voter"`
	Ask   ownership.VoteRequest `json:"ask"`
}

// voteResponse is the body of the response.
type voteResponse struct {
	Yes bool `json:"yes"`
}

// Client asks other nodes for their votes.
type Client struct {
	pool *h1.Pool
}

// NewClient returns a client that sends its requests over the pool's connections.
func NewClient(pool *h1.Pool) *Client { return &Client{pool: pool} }

var _ ownership.VoteClient = (*Client)(nil)

// Ask implements ownership.VoteClient. It returns an error if the voter does not answer in time.
func (c *Client) Ask(ctx context.Context, voter, address string, request ownership.VoteRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var a voteResponse
	err := peercall.Do(ctx, c.pool, address, Path, voteRequest{Voter: voter, Ask: request}, &a)
	return a.Yes, err
}

// Handler handles requests for a vote with the function vote. It answers no if the request names
// another voter than name.
func Handler(name string, vote func(ownership.VoteRequest) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m voteRequest
		if !peercall.Read(w, r, &m) {
			return
		}
		peercall.Answer(w, voteResponse{Yes: m.Voter == name && vote(m.Ask)})
	})
}
