// Package storelink calls the platform's store directly or, while the store does not answer this
// node, through another node that the store answers.
//
// A forwarded call has the same semantics as a direct one: writes are conditional, and a write
// whose response is lost has an unknown outcome. A node forwards calls of others only while the store
// answers it directly, so a call takes at most one extra hop.
//
// Lock order: no other lock is acquired while Store.mu is held.
package storelink

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/transfer"
)

const (
	// directTimeout bounds the wait for the response to a direct call other than a poll, if another node is
	// known. The store answers in 4 ms, or in 240 ms when it is slow; a higher limit would leave the call too
	// little time to go through another node.
	directTimeout = 350 * time.Millisecond
	// probeInterval is how long no direct call is made after the store failed to answer.
	probeInterval = time.Second
	// maxPeersTried is the maximum number of nodes tried for one call.
	maxPeersTried = 2
)

// Direct is the client that calls the platform's store directly.
type Direct interface {
	objects.Store
	// ListStale is a cheaper List whose result may be seconds old.
	ListStale(ctx context.Context, prefix string) (objects.Listing, error)
}

// Store is a Direct that falls back on other nodes. It is safe for concurrent use.
type Store struct {
	direct Direct
	pool   *h1.Pool
	// peers returns the addresses of the other nodes.
	peers func() []string
	log   *slog.Logger

	mu sync.Mutex
	// lost is set while the store does not answer direct calls; the next one is made at probeAt.
	lost    bool
	probeAt time.Time
	// storeLost is closed and replaced when the store stops answering, which ends direct polls.
	storeLost chan struct{}
	// lastPeer is the address of the node that answered last.
	lastPeer string
}

// New returns a store that calls direct first. peers returns the addresses of the other nodes in a
// slice that the store may change.
func New(direct Direct, pool *h1.Pool, peers func() []string, log *slog.Logger) *Store {
	return &Store{direct: direct, pool: pool, peers: peers, log: log, storeLost: make(chan struct{})}
}

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, key string) (objects.Object, error) {
	return call(ctx, s, storeRequest{Op: opGet, Key: key}, func(ctx context.Context) (objects.Object, error) {
		return s.direct.Get(ctx, key)
	}, func(a storeResponse) objects.Object { return a.Object })
}

// List implements objects.Store.
func (s *Store) List(ctx context.Context, prefix string) (objects.Listing, error) {
	return call(ctx, s, storeRequest{Op: opList, Key: prefix}, func(ctx context.Context) (objects.Listing, error) {
		return s.direct.List(ctx, prefix)
	}, func(a storeResponse) objects.Listing { return a.Listing })
}

// ListStale implements Direct.
func (s *Store) ListStale(ctx context.Context, prefix string) (objects.Listing, error) {
	return call(ctx, s, storeRequest{Op: opListStale, Key: prefix}, func(ctx context.Context) (objects.Listing, error) {
		return s.direct.ListStale(ctx, prefix)
	}, func(a storeResponse) objects.Listing { return a.Listing })
}

// Put implements objects.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	m := storeRequest{Op: opPut, Key: key, Value: value, Version: expected, WriteID: writeID}
	return call(ctx, s, m, func(ctx context.Context) (objects.Version, error) {
		return s.direct.Put(ctx, key, value, expected, writeID)
	}, func(a storeResponse) objects.Version { return a.Version })
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, key string, expected objects.Version) error {
	m := storeRequest{Op: opDelete, Key: key, Version: expected}
	_, err := call(ctx, s, m, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.direct.Delete(ctx, key, expected)
	}, func(storeResponse) struct{} { return struct{}{} })
	return err
}

// Poll implements objects.Store. A direct poll ends as soon as another call shows that the store
// does not answer.
func (s *Store) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	m := storeRequest{Op: opPoll, Key: prefix, Version: after}
	return call(ctx, s, m, func(ctx context.Context) (objects.Batch, error) {
		return s.direct.Poll(ctx, prefix, after)
	}, func(a storeResponse) objects.Batch { return a.Batch })
}

// call makes a call directly or, if the store does not answer, through another node.
func call[T any](
	ctx context.Context, s *Store, m storeRequest, direct func(context.Context) (T, error), extract func(storeResponse) T,
) (T, error) {
	var value T
	alone := s.isAlone()
	if storeLost, ok := s.mayCallDirect(alone); ok {
		limit := directTimeout
		if alone || m.Op == opPoll {
			limit = 0
		}
		err := s.callDirect(ctx, m.Op, limit, storeLost, func(ctx context.Context) (err error) {
			value, err = direct(ctx)
			return err
		})
		if !errors.Is(err, objects.ErrUnavailable) || ctx.Err() != nil || s.IsDirect() {
			return value, err
		}
	}
	a, err := s.callPeers(ctx, m)
	if err != nil {
		return value, err
	}
	return extract(a), nil
}

// isAlone reports whether no other node is known, as on a node that has just started. Calls of such a node have only
// one way to the store: ending them early would not make them succeed, but load a slow link with further responses.
func (s *Store) isAlone() bool { return len(s.peers()) == 0 }

// mayCallDirect reports whether to make a direct call, and returns the channel that is closed when
// the store stops answering.
func (s *Store) mayCallDirect(alone bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost && !alone && time.Now().Before(s.probeAt) {
		return nil, false
	}
	if s.lost {
		// Only one call per probeInterval tests whether the store answers again.
		s.probeAt = time.Now().Add(probeInterval)
	}
	return s.storeLost, true
}

// IsDirect reports whether the store answers direct calls of this node.
func (s *Store) IsDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

// callDirect makes a direct call and records whether the store answered. The limit bounds the wait for its response;
// zero means that only ctx does.
func (s *Store) callDirect(ctx context.Context, op operation, limit time.Duration, storeLost <-chan struct{}, do func(context.Context) error) error {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	if op == opPoll {
		go func() {
			select {
			case <-storeLost:
				// A response that is being received shows that the store answers.
				cancel(transfer.ErrWaitEnded)
			case <-callCtx.Done():
			}
		}()
	}
	if limit > 0 {
		var stop context.CancelFunc
		callCtx, stop = context.WithTimeout(callCtx, limit)
		defer stop()
	}
	err := do(callCtx)
	// A call that was cancelled says nothing about the store, and a failed poll says only that its
	// connection broke: the store may drop watches while it answers other calls.
	if ctx.Err() == nil && (op != opPoll || err == nil) {
		s.recordResult(err)
	}
	return err
}

// isUnreachable reports whether a direct call failed because the store did not answer.
func isUnreachable(err error) bool {
	return errors.IsAny(err, objects.ErrUnavailable, objects.ErrUnknownOutcome)
}

// recordResult records from the error of a direct call whether the store answers.
func (s *Store) recordResult(err error) {
	lost := isUnreachable(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.probeAt = time.Now().Add(probeInterval)
	}
	if lost == s.lost {
		return
	}
	s.lost = lost
	if lost {
		close(s.storeLost)
		s.storeLost = make(chan struct{})
		s.log.Warn("dependency lost", "dependency", "store", "cause", err.Error())
		return
	}
	s.log.Info("dependency regained", "dependency", "store")
}

// callPeers makes the call through at most maxPeersTried other nodes: first the one that answered
// last, then others in random order.
func (s *Store) callPeers(ctx context.Context, m storeRequest) (storeResponse, error) {
	addresses := s.peers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	last := s.lastPeer
	s.mu.Unlock()
	for i, address := range addresses {
		if address == last {
			addresses[0], addresses[i] = addresses[i], addresses[0]
		}
	}
	err := errors.Wrap(objects.ErrUnavailable, "store does not answer and no other node is known")
	for _, address := range addresses[:min(maxPeersTried, len(addresses))] {
		var a storeResponse
		a, err = s.forward(ctx, address, m)
		if err == nil || !errors.Is(err, objects.ErrUnavailable) {
			s.mu.Lock()
			s.lastPeer = address
			s.mu.Unlock()
			return a, err
		}
	}
	return storeResponse{}, err
}
