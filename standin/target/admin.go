package target

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// drainNotice is the least time between the start of a drain and the end of the server.
	drainNotice = 1500 * time.Millisecond
	drainCheck  = 20 * time.Millisecond
)

// Lie says how the target's load reports mislead.
type Lie string

const (
	// LieIdle reports no load.
	LieIdle Lie = "idle"
	// LieBusy reports full slots and queue.
	LieBusy Lie = "busy"
)

// FaultsMessage says how the target misbehaves; the zero value is a sound target.
type FaultsMessage struct {
	// Frozen stops every answer, announcement and execution until it is cleared.
	Frozen bool `json:"frozen"`
	// Draining refuses new work.
	Draining bool `json:"draining"`
	// Shed refuses new work as a target above its capacity does.
	Shed bool `json:"shed"`
	// Lie misreports the load.
	Lie Lie `json:"lie"`
	// Multiplier multiplies the service times; zero means one.
	Multiplier float64 `json:"multiplier"`
	// PoisonKey crashes the target; empty for none but that of the settings.
	PoisonKey string `json:"poison_key"`
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f FaultsMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Frozen && !t.faults.Frozen {
		t.thawed = make(chan struct{})
	}
	if !f.Frozen && t.faults.Frozen {
		close(t.thawed)
	}
	t.faults = f
}

func (t *Target) currentFaults() FaultsMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) isPoison(key string) bool {
	set := t.currentFaults().PoisonKey
	return set != "" && key == set || t.config.PoisonKey != "" && key == t.config.PoisonKey
}

// Drain makes the target refuse new work from now on.
func (t *Target) Drain() {
	f := t.currentFaults()
	f.Draining = true
	t.SetFaults(f)
}

// DrainAndWait drains the target and returns when nothing waits or runs any more and the
// node has had the time to see the drain, or when the context ends.
func (t *Target) DrainAndWait(ctx context.Context) {
	t.Drain()
	noticed := time.Now().Add(drainNotice)
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		idle := len(t.slots) == 0 && t.queued.Load() == 0
		if idle && time.Now().After(noticed) {
			return
		}
	}
}

func (t *Target) showFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, t.currentFaults())
}

func (t *Target) setFaults(c echo.Context) error {
	var f FaultsMessage
	if err := c.Bind(&f); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if f.Lie != "" && f.Lie != LieIdle && f.Lie != LieBusy {
		return echo.NewHTTPError(http.StatusBadRequest, "lie is neither idle nor busy")
	}
	t.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
