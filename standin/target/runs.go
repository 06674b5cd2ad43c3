package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// maxFinished is the number of finished or cancelled attempts whose state is kept.
	maxFinished = 1 << 16
	// cancelWait is the longest that a cancellation waits for running work to end.
	cancelWait = time.Second
)

// CancelState is the result of a cancellation.
type CancelState string

const (
	// CancelledState means that the attempt has not started and will not start.
	CancelledState CancelState = "cancelled"
	// FinishedState means that the attempt ran, at least in part, and has ended.
	FinishedState CancelState = "finished"
	// UnknownState means that the target has no record of the attempt, or that it still runs.
	UnknownState CancelState = "unknown"
)

// CancelMessage is the body of the answer to a cancellation.
type CancelMessage struct {
	State CancelState `json:"state"`
}

// attempt identifies one attempt of a request.
type attempt struct {
	id     string
	number string
}

// active is the state of an attempt that is queued or running.
type active struct {
	started bool
	cancel  context.CancelFunc
	ended   chan struct{}
}

// runs tracks the queued and running attempts and how the latest ended ones ended.
type runs struct {
	mu       sync.Mutex
	active   map[attempt]*active
	finished map[attempt]CancelState
	// order lists the keys of finished, oldest first, for eviction.
	order []attempt
}

func newRuns() *runs {
	return &runs{active: make(map[attempt]*active), finished: make(map[attempt]CancelState)}
}

// begin registers a queued attempt. It returns nil if the attempt was cancelled before it
// arrived.
func (r *runs) begin(a attempt, cancel context.CancelFunc) *active {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.id != "" && r.finished[a] == CancelledState {
		return nil
	}
	run := &active{cancel: cancel, ended: make(chan struct{})}
	if a.id != "" {
		r.active[a] = run
	}
	return run
}

// start marks the attempt as running, or returns false if it was cancelled.
func (r *runs) start(ctx context.Context, run *active) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	run.started = true
	return true
}

// end removes the active attempt and, if it had started, records it as finished.
func (r *runs) end(a attempt, run *active) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(run.ended)
	if r.active[a] != run {
		return
	}
	delete(r.active, a)
	if run.started {
		r.rememberLocked(a, FinishedState)
	}
}

// rememberLocked records the state of an ended attempt and evicts the oldest one if there
// are too many.
func (r *runs) rememberLocked(a attempt, state CancelState) {
	if _, ok := r.finished[a]; !ok {
		r.order = append(r.order, a)
	}
	r.finished[a] = state
	if len(r.order) > maxFinished {
		delete(r.finished, r.order[0])
		r.order = r.order[1:]
	}
}

// cancel cancels the attempt and returns its state; the active attempt is returned too if it
// was running. An unknown attempt is recorded as cancelled, so that it is refused if it
// arrives later.
func (r *runs) cancel(a attempt) (CancelState, *active) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, ok := r.active[a]
	if !ok {
		return r.cancelInactiveLocked(a), nil
	}
	run.cancel()
	if run.started {
		return UnknownState, run
	}
	r.rememberLocked(a, CancelledState)
	return CancelledState, nil
}

func (r *runs) cancelInactiveLocked(a attempt) CancelState {
	if state, ok := r.finished[a]; ok && state == FinishedState {
		return FinishedState
	}
	r.rememberLocked(a, CancelledState)
	return UnknownState
}

func (t *Target) cancel(c echo.Context) error {
	state, run := t.runs.cancel(attempt{id: c.Param("id"), number: c.Param("attempt")})
	if run != nil {
		timer := time.NewTimer(cancelWait)
		defer timer.Stop()
		select {
		case <-run.ended:
			state = FinishedState
		case <-timer.C:
		}
	}
	return c.JSON(http.StatusOK, CancelMessage{State: state})
}
