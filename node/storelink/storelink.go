// Package storelink reaches the platform's store directly or, while the store does not answer this
// node, through another node that it answers.
//
// A call that is passed on has the same meaning as a direct one: writes are conditional, and one
// whose answer is lost has an unknown outcome. A node passes on calls of others only while the
// store answers it directly, so calls take one extra hop at most.
//
// Lock order: Store.mu is a leaf.
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
)

const (
	// directTime bounds a direct call other than a poll: the store answers in 4 ms, in 240 ms
	// when it is slow, and the rest of the caller's time is left for another node.
	directTime = 350 * time.Millisecond
	// probePause is how long the store is not asked directly after it failed to answer.
	probePause = time.Second
	// maxHelpers is the number of nodes that are asked for one call.
	maxHelpers = 2
)

// Direct is the store as the platform's adapter reaches it.
type Direct interface {
	objects.Store
	// ListStale is List at a lower price; its result may be seconds old.
	ListStale(ctx context.Context, prefix string) (objects.Listing, error)
}

// Store is a Direct with other nodes to fall back on. It is safe for concurrent use.
type Store struct {
	direct  Direct
	pool    *h1.Pool
	helpers func() []string
	log     *slog.Logger

	mu sync.Mutex
	// lost tells that the store did not answer the last direct call; probeAt is when it is asked
	// again.
	lost    bool
	probeAt time.Time
	// failed is closed when the store stops answering: polls under way end with it.
	failed chan struct{}
	// helper is the node that answered last.
	helper string
}

// New returns a store over direct. helpers returns the addresses of other nodes.
func New(direct Direct, pool *h1.Pool, helpers func() []string, log *slog.Logger) *Store {
	return &Store{direct: direct, pool: pool, helpers: helpers, log: log, failed: make(chan struct{})}
}

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, key string) (objects.Object, error) {
	return call(ctx, s, message{Op: opGet, Key: key}, func(ctx context.Context) (objects.Object, error) {
		return s.direct.Get(ctx, key)
	}, func(a answer) objects.Object { return a.Object })
}

// List implements objects.Store.
func (s *Store) List(ctx context.Context, prefix string) (objects.Listing, error) {
	return call(ctx, s, message{Op: opList, Key: prefix}, func(ctx context.Context) (objects.Listing, error) {
		return s.direct.List(ctx, prefix)
	}, func(a answer) objects.Listing { return a.Listing })
}

// ListStale implements Direct.
func (s *Store) ListStale(ctx context.Context, prefix string) (objects.Listing, error) {
	return call(ctx, s, message{Op: opListStale, Key: prefix}, func(ctx context.Context) (objects.Listing, error) {
		return s.direct.ListStale(ctx, prefix)
	}, func(a answer) objects.Listing { return a.Listing })
}

// Put implements objects.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	m := message{Op: opPut, Key: key, Value: value, Version: expected, WriteID: writeID}
	return call(ctx, s, m, func(ctx context.Context) (objects.Version, error) {
		return s.direct.Put(ctx, key, value, expected, writeID)
	}, func(a answer) objects.Version { return a.Version })
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, key string, expected objects.Version) error {
	m := message{Op: opDelete, Key: key, Version: expected}
	_, err := call(ctx, s, m, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.direct.Delete(ctx, key, expected)
	}, func(answer) struct{} { return struct{}{} })
	return err
}

// Poll implements objects.Store. A poll under way ends as soon as another call shows that the
// store does not answer.
func (s *Store) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	m := message{Op: opPoll, Key: prefix, Version: after}
	return call(ctx, s, m, func(ctx context.Context) (objects.Batch, error) {
		return s.direct.Poll(ctx, prefix, after)
	}, func(a answer) objects.Batch { return a.Batch })
}

// call makes a call directly or through another node.
func call[T any](
	ctx context.Context, s *Store, m message, direct func(context.Context) (T, error), read func(answer) T,
) (T, error) {
	var value T
	if failed, ok := s.mayCall(); ok {
		err := s.callDirect(ctx, m.Op, failed, func(ctx context.Context) (err error) {
			value, err = direct(ctx)
			return err
		})
		if !errors.Is(err, objects.ErrUnavailable) || ctx.Err() != nil || s.IsDirect() {
			return value, err
		}
	}
	a, err := s.callHelpers(ctx, m)
	if err != nil {
		return value, err
	}
	return read(a), nil
}

// mayCall reports whether the store is to be asked directly, and returns the channel that is
// closed when it stops answering.
func (s *Store) mayCall() (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost && time.Now().Before(s.probeAt) {
		return nil, false
	}
	if s.lost {
		// One call at a time finds out whether the store is back.
		s.probeAt = time.Now().Add(probePause)
	}
	return s.failed, true
}

// IsDirect reports whether the store answers this node.
func (s *Store) IsDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

// callDirect makes a direct call and learns from its end.
func (s *Store) callDirect(ctx context.Context, op operation, failed <-chan struct{}, do func(context.Context) error) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if op == opPoll {
		go func() {
			select {
			case <-failed:
				cancel()
			case <-callCtx.Done():
			}
		}()
	} else {
		callCtx, cancel = context.WithTimeout(ctx, directTime)
		defer cancel()
	}
	err := do(callCtx)
	// A call that its caller gave up shows nothing, and a failed poll only that its connection
	// broke: the store may drop watches while it answers other calls.
	if ctx.Err() == nil && (op != opPoll || err == nil) {
		s.learn(err)
	}
	return err
}

// isUnreachable reports whether a direct call failed for want of an answer.
func isUnreachable(err error) bool {
	return errors.IsAny(err, objects.ErrUnavailable, objects.ErrUnknownOutcome)
}

// learn takes in how a direct call ended.
func (s *Store) learn(err error) {
	lost := isUnreachable(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.probeAt = time.Now().Add(probePause)
	}
	if lost == s.lost {
		return
	}
	s.lost = lost
	if lost {
		close(s.failed)
		s.failed = make(chan struct{})
		s.log.Warn("dependency lost", "dependency", "store", "cause", err.Error())
		return
	}
	s.log.Info("dependency regained", "dependency", "store")
}

// callHelpers makes the call through other nodes, first the one that answered last.
func (s *Store) callHelpers(ctx context.Context, m message) (answer, error) {
	addresses := s.helpers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	last := s.helper
	s.mu.Unlock()
	for i, address := range addresses {
		if address == last {
			addresses[0], addresses[i] = addresses[i], addresses[0]
		}
	}
	err := errors.Wrap(objects.ErrUnavailable, "no other node is known")
	for _, address := range addresses[:min(maxHelpers, len(addresses))] {
		var a answer
		a, err = s.ask(ctx, address, m)
		if err == nil || !errors.Is(err, objects.ErrUnavailable) {
			s.mu.Lock()
			s.helper = address
			s.mu.Unlock()
			return a, err
		}
	}
	return answer{}, err
}
