package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// maxEndedAttempts is the number of finished or cancelled attempts whose state is kept.
	maxEndedAttempts = 1 << 16
	// maxCancelWait is the longest that a cancellation waits for running work to end.
	maxCancelWait = time.Second
)

// CancelState is the result of a cancellation.
type CancelState string

const (
	// CancelledState means that the attempt has not started and will not start.
	CancelledState CancelState = "cancelled"
	// FinishedState means that the attempt ran, at least in part, and has ended.
	FinishedState CancelState = "finished"
	// UnknownState means that the attempt still runs, or that the target has no record of it
	// other than an earlier cancellation.
	UnknownState CancelState = "unknown"
)

// CancelMessage is the body of the answer to a cancellation.
type CancelMessage struct {
	State CancelState `json:"state"`
}

// attemptID identifies one attempt of a request.
type attemptID struct {
	requestID string
	number    string
}

// activeAttempt is the state of an attempt that is queued or running.
type activeAttempt struct {
	started bool
	cancel  context.CancelFunc
	ended   chan struct{}
}

// attemptTable tracks the queued and running attempts and how the latest ended ones ended.
type attemptTable struct {
	mu     sync.Mutex
	active map[attemptID]*activeAttempt
	// ended holds the state of the attempts that have finished or were cancelled.
	ended map[attemptID]CancelState
	// endedOrder lists the keys of ended, oldest first, for eviction.
	endedOrder []attemptID
}

func newAttemptTable() *attemptTable {
	return &attemptTable{active: make(map[attemptID]*activeAttempt), ended: make(map[attemptID]CancelState)}
}

// enqueue registers a queued attempt. It returns nil if the attempt was cancelled before it
// arrived.
func (r *attemptTable) enqueue(a attemptID, cancel context.CancelFunc) *activeAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.requestID != "" && r.ended[a] == CancelledState {
		return nil
	}
	attempt := &activeAttempt{cancel: cancel, ended: make(chan struct{})}
	if a.requestID != "" {
		r.active[a] = attempt
	}
	return attempt
}

// start marks the attempt as running, or returns false if it was cancelled.
func (r *attemptTable) start(ctx context.Context, attempt *activeAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	attempt.started = true
	return true
}

// end removes the active attempt and, if it had started, records it as finished.
func (r *attemptTable) end(a attemptID, attempt *activeAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(attempt.ended)
	if r.active[a] != attempt {
		return
	}
	delete(r.active, a)
	if attempt.started {
		r.recordLocked(a, FinishedState)
	}
}

// recordLocked records the state of an ended attempt and evicts the oldest one if there
// are too many.
func (r *attemptTable) recordLocked(a attemptID, state CancelState) {
	if _, ok := r.ended[a]; !ok {
		r.endedOrder = append(r.endedOrder, a)
	}
	r.ended[a] = state
	if len(r.endedOrder) > maxEndedAttempts {
		delete(r.ended, r.endedOrder[0])
		r.endedOrder = r.endedOrder[1:]
	}
}

// cancel cancels the attempt and returns its state; the active attempt is returned too if it
// was running. An unknown attempt is recorded as cancelled, so that it is refused if it
// arrives later.
func (r *attemptTable) cancel(a attemptID) (CancelState, *activeAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt, ok := r.active[a]
	if !ok {
		return r.cancelInactiveLocked(a), nil
	}
	attempt.cancel()
	if attempt.started {
		return UnknownState, attempt
	}
	r.recordLocked(a, CancelledState)
	return CancelledState, nil
}

func (r *attemptTable) cancelInactiveLocked(a attemptID) CancelState {
	if state, ok := r.ended[a]; ok && state == FinishedState {
		return FinishedState
	}
	r.recordLocked(a, CancelledState)
	return UnknownState
}

func (t *Target) cancel(c echo.Context) error {
	state, attempt := t.attempts.cancel(attemptID{requestID: c.Param("id"), number: c.Param("attempt")})
	if attempt != nil {
		timer := time.NewTimer(maxCancelWait)
		defer timer.Stop()
		select {
		case <-attempt.ended:
			state = FinishedState
		case <-timer.C:
		}
	}
	return c.JSON(http.StatusOK, CancelMessage{State: state})
}
