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
	// askTime bounds a call through another node, not counting the wait of a poll.
	askTime = 400 * time.Millisecond
	// passedPollTime is how long a poll through another node waits for changes. It bounds how long
	// the loss of that node goes unnoticed, which must be well below the time within which a
	// configuration has to be in force.
	passedPollTime = time.Second
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

// message is a store call that is sent to another node.
type message struct {
	Op operation `json:"op"`
	// Key is the key of the object or, for list and poll, the prefix of the keys.
	Key     string          `json:"key"`
	Value   []byte          `json:"value,omitempty"`
	Version objects.Version `json:"version,omitempty"`
	WriteID string          `json:"write_id,omitempty"`
}

// answer is the result of a store call made for another node.
type answer struct {
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

// nameOf returns the name of an error; an error without one counts as unavailable. An unknown outcome
// takes precedence: the write may have taken effect.
func nameOf(err error) string {
	for _, name := range []string{"unknown", "not-found", "conflict", "too-large", "unavailable"} {
		if errors.Is(err, errorNames[name]) {
			return name
		}
	}
	return "unavailable"
}

// ask makes a store call through the node at the address.
func (s *Store) ask(ctx context.Context, address string, m message) (answer, error) {
	limit := askTime
	if m.Op == opPoll {
		limit += passedPollTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// A write that was sent but not answered may have taken effect.
	doubt := objects.ErrUnavailable
	if m.Op == opPut || m.Op == opDelete {
		doubt = objects.ErrUnknownOutcome
	}
	var a answer
	err := peercall.Do(ctx, s.pool, address, Path, m, &a)
	if errors.Is(err, h1.ErrNotSent) {
		return answer{}, errors.Mark(err, objects.ErrUnavailable)
	}
	if err != nil {
		return answer{}, errors.Mark(err, doubt)
	}
	if a.Error == "" {
		return a, nil
	}
	known, ok := errorNames[a.Error]
	if !ok {
		known = doubt
	}
	return answer{}, errors.Wrapf(known, "store call through node %s", address)
}

// ServeHTTP handles a store call of another node. While the store does not answer this node, it
// responds with unavailable.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m message
	if !peercall.Read(w, r, &m) {
		return
	}
	a := answer{Error: "unavailable"}
	if s.IsDirect() {
		var err error
		if a, err = s.serve(r.Context(), m); err != nil {
			a = answer{Error: nameOf(err)}
		}
	}
	peercall.Answer(w, a)
}

// serve makes the call to the store directly.
func (s *Store) serve(ctx context.Context, m message) (a answer, err error) {
	limit := directTime
	if m.Op == opPoll {
		limit = passedPollTime
	}
	caller := ctx
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
		if err != nil && ctx.Err() != nil && caller.Err() == nil {
			// The wait ended without a change.
			a.Batch, err = objects.Batch{Next: m.Version}, nil
		}
	default:
		err = errors.Newf("unknown store operation %q", m.Op)
	}
	return a, err
}
