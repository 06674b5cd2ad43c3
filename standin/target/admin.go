package target

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// minDrainTime is the least time between the start of a drain and the server's exit, so
	// that the node can observe the drain.
	minDrainTime      = 1500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// Misreport selects how the target misreports its load in answers to health probes.
type Misreport string

const (
	// MisreportIdle reports no running and no queued requests.
	MisreportIdle Misreport = "idle"
	// MisreportBusy reports that all slots and the whole queue are in use.
	MisreportBusy Misreport = "busy"
)

// FaultsMessage is the JSON form of the injected faults; the zero value injects none.
type FaultsMessage struct {
	// Frozen suspends executions, announcements and all answers until it is cleared. Only
	// /admin/faults and /v1/executions still answer.
	Frozen bool `json:"frozen"`
	// Draining makes the target refuse new work with the reason draining.
	Draining bool `json:"draining"`
	// Shed makes the target refuse new work as if it were overloaded.
	Shed bool `json:"shed"`
	// Misreport makes the target misreport its load.
	Misreport Misreport `json:"lie"`
	// Multiplier multiplies the service times; zero means one.
	Multiplier float64 `json:"multiplier"`
	// PoisonKey is a key whose requests crash the target, in addition to Config.PoisonKey;
	// empty for none.
	PoisonKey string `json:"poison_key"`
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f FaultsMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Frozen && !t.faults.Frozen {
		t.unfrozen = make(chan struct{})
	}
	if !f.Frozen && t.faults.Frozen {
		close(t.unfrozen)
	}
	t.faults = f
}

func (t *Target) currentFaults() FaultsMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) isPoisonKey(key string) bool {
	faultKey := t.currentFaults().PoisonKey
	return faultKey != "" && key == faultKey || t.config.PoisonKey != "" && key == t.config.PoisonKey
}

// Drain makes the target refuse new work from now on.
func (t *Target) Drain() {
	f := t.currentFaults()
	f.Draining = true
	t.SetFaults(f)
}

// DrainAndWait drains the target. It returns once no request is queued or running and the
// node has had time to observe the drain, or when the context is done.
func (t *Target) DrainAndWait(ctx context.Context) {
	t.Drain()
	earliestReturn := time.Now().Add(minDrainTime)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		idle := len(t.slots) == 0 && t.queued.Load() == 0
		if idle && time.Now().After(earliestReturn) {
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
	if f.Misreport != "" && f.Misreport != MisreportIdle && f.Misreport != MisreportBusy {
		return echo.NewHTTPError(http.StatusBadRequest, "lie is neither idle nor busy")
	}
	t.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
