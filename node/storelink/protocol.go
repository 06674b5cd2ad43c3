package storelink

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/peercall"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Path is the HTTP path at which a node accepts store calls of other nodes.
const Path = "/auburnrelay/store"

const (
	// forwardTimeout bounds a call through another node, not counting the wait of a poll.
	forwardTimeout = 400 * time.Millisecond
	// forwardedPollWait bounds the wait of a poll through another node. It also bounds how long
	// the loss of that node goes unnoticed, which must be well below the time within which a
	// configuration has to be in force.
	forwardedPollWait = time.Second
)

// operation is the name of a store call.
type operation string

const (
	opGet       operation = "get"
	opList      operation = "list"
	opListStale operation = "list-stale"
	opPut       operation = "put"
	opDelete    operation = "delete"
	opPoll      operation = "poll"
)

// storeRequest is a store call that is sent to another node.
type storeRequest struct {
	Op operation `json:"op"`
	// Key is the key of the object or, for list and poll, the prefix of the keys.
	Key     string          `json:"key"`
	Value   []byte          `json:"value,omitempty"`
	Version objects.Version `json:"version,omitempty"`
	WriteID string          `json:"write_id,omitempty"`
}

// storeResponse is the result of a store call made for another node.
type storeResponse struct {
	Object  objects.Object  `json:"object"`
	Listing objects.Listing `json:"listing"`
	Batch   objects.Batch   `json:"batch"`
	Version objects.Version `json:"version"`
	// Error is the name of the error as in errorNames; empty on success.
	Error string `json:"error,omitempty"`
}

// errorNames maps names to the errors that a call may return.
var errorNames = map[string]error{
	"not-found":   objects.ErrNotFound,
	"conflict":    objects.ErrConflict,
	"unavailable": objects.ErrUnavailable,
	"unknown":     objects.ErrUnknownOutcome,
	"too-large":   objects.ErrTooLarge,
}

// errorName returns the name of an error; an error without one counts as unavailable. An unknown
// outcome takes precedence: the write may have taken effect.
func errorName(err error) string {
	for _, name := range []string{"unknown", "not-found", "conflict", "too-large", "unavailable"} {
		if errors.Is(err, errorNames[name]) {
			return name
		}
	}
	return "unavailable"
}

// forward makes a store call through the node at the address.
func (s *Store) forward(ctx context.Context, address string, m storeRequest) (storeResponse, error) {
	limit := forwardTimeout
	if m.Op == opPoll {
		limit += forwardedPollWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// A write that was sent but not answered may have taken effect.
	unansweredErr := objects.ErrUnavailable
	if m.Op == opPut || m.Op == opDelete {
		unansweredErr = objects.ErrUnknownOutcome
	}
	var a storeResponse
	err := peercall.Do(ctx, s.pool, address, Path, m, &a)
	if errors.Is(err, h1.ErrNotSent) {
		return storeResponse{}, errors.Mark(err, objects.ErrUnavailable)
	}
	if err != nil {
		return storeResponse{}, errors.Mark(err, unansweredErr)
	}
	if a.Error == "" {
		return a, nil
	}
	known, ok := errorNames[a.Error]
	if !ok {
		known = unansweredErr
	}
	return storeResponse{}, errors.Wrapf(known, "store call through node %s", address)
}

// ServeHTTP handles a store call of another node. While the store does not answer this node, it
// responds with unavailable.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m storeRequest
	if !peercall.Read(w, r, &m) {
		return
	}
	a := storeResponse{Error: "unavailable"}
	if s.IsDirect() {
		var err error
		if a, err = s.serve(r.Context(), m); err != nil {
			a = storeResponse{Error: errorName(err)}
		}
	}
	peercall.Answer(w, a)
}

// serve makes the call to the store directly.
func (s *Store) serve(ctx context.Context, m storeRequest) (a storeResponse, err error) {
	limit := directTimeout
	if m.Op == opPoll {
		limit = forwardedPollWait
	}
	requestCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch m.Op {
	case opGet:
		a.Object, err = s.direct.Get(ctx, m.Key)
	case opList:
		a.Listing, err = s.direct.List(ctx, m.Key)
	case opListStale:
		a.Listing, err = s.direct.ListStale(ctx, m.Key)
	case opPut:
		a.Version, err = s.direct.Put(ctx, m.Key, m.Value, m.Version, m.WriteID)
	case opDelete:
		err = s.direct.Delete(ctx, m.Key, m.Version)
	case opPoll:
		a.Batch, err = s.direct.Poll(ctx, m.Key, m.Version)
		if err != nil && ctx.Err() != nil && requestCtx.Err() == nil {
			// The wait ended without a change.
			a.Batch, err = objects.Batch{Next: m.Version}, nil
		}
	default:
		err = errors.Newf("unknown store operation %q", m.Op)
	}
	return a, err
}
