// Package target implements the stand-in for a target (a back end): an HTTP server that
// simulates work with a fixed number of slots and a service time per kind of work. It
// optionally checks fences, injects faults and logs each execution. It implements the
// target's side of the protocol in docs/design/parts.md.
//
// Lock order: Target.mu, grantTable.mu and attemptTable.mu are leaf locks: none is held
// while another is acquired or while work runs.
package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

const (
	defaultSlots       = 6
	defaultQueue       = 64
	defaultServiceTime = 5 * time.Millisecond
	announceInterval   = time.Second
	announceTimeout    = 900 * time.Millisecond
	poisonExitCode     = 3
)

// State is the state that a target reports in answers to health probes.
type State string

// The states of a target.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Config holds the settings of a target; zero values take the defaults.
type Config struct {
	// Name is the name of the target.
	Name string
	// Address is the IP address and port under which the node reaches the target.
	Address string
	// Node is the base URL of the node's local listener; if empty, the target does not
	// announce itself.
	Node string
	// Slots is the number of requests that run at once; 6 by default.
	Slots int
	// Queue is the number of requests that may wait for a slot; further ones are shed. 64
	// by default.
	Queue int
	// CheckFences makes the target refuse work whose fence is lower than the highest one
	// seen for its slice, and work without a valid grant.
	CheckFences bool
	// Services are the services that the target announces.
	Services []string
	// ServiceTimes maps each kind of work, the first path segment after the key, to its mean
	// service time. The entry "" applies to all other kinds; its default is 5 ms.
	ServiceTimes map[string]time.Duration
	// StartTime is how long the target reports the state starting.
	StartTime time.Duration
	// ColdTime is the length of the warm-up after StartTime. Service times are multiplied by
	// a factor that falls linearly from ColdFactor to one.
	ColdTime   time.Duration
	ColdFactor float64
	// ProbeCost is the time that answering a health probe takes.
	ProbeCost time.Duration
	// PoisonKey is the key whose requests crash the target; empty for none.
	PoisonKey string
	// Crash ends the process on a request for a poison key; os.Exit by default.
	Crash func()
	// Log receives the execution log; if nil, the log is kept in memory only.
	Log *execlog.Writer
	// Seed seeds the random variation of service times.
	Seed uint64
}

// Target is an http.Handler that simulates a back end. It is safe for concurrent use.
type Target struct {
	config      Config
	incarnation uint64
	started     time.Time
	echo        *echo.Echo
	log         *execlog.Writer
	grants      *grantTable
	attempts    *attemptTable
	// slots is a semaphore whose length is the number of requests that hold a slot.
	slots         chan struct{}
	queued        atomic.Int64
	lastExecution atomic.Uint64

	mu     sync.Mutex
	faults FaultsMessage
	// unfrozen is a channel that is closed while the target is not frozen.
	unfrozen chan struct{}
	random   *rand.Rand
}

// New returns a target that has just started.
func New(config Config) *Target {
	config = withDefaults(config)
	t := &Target{
		config:      config,
		incarnation: rand.Uint64() >> 1,
		started:     time.Now(),
		echo:        echo.New(),
		log:         config.Log,
		grants:      newGrantTable(),
		attempts:    newAttemptTable(),
		slots:       make(chan struct{}, config.Slots),
		unfrozen:    make(chan struct{}),
		random:      rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	close(t.unfrozen)
	t.routes()
	return t
}

func withDefaults(config Config) Config {
	if config.Slots <= 0 {
		config.Slots = defaultSlots
	}
	if config.Queue <= 0 {
		config.Queue = defaultQueue
	}
	if config.Log == nil {
		config.Log = execlog.NewWriter(nil)
	}
	if config.Crash == nil {
		config.Crash = func() { os.Exit(poisonExitCode) }
	}
	if config.ColdFactor < 1 {
		config.ColdFactor = 1
	}
	return config
}

func (t *Target) routes() {
	t.echo.Any("/work/*", t.work, t.delayWhileFrozen)
	t.echo.GET("/health", t.health, t.delayWhileFrozen)
	t.echo.PUT("/v1/grants", t.putGrants, t.delayWhileFrozen)
	t.echo.DELETE("/v1/running/:id/:attempt", t.cancel, t.delayWhileFrozen)
	t.echo.GET("/v1/executions", t.executions)
	t.echo.GET("/admin/faults", t.showFaults)
	t.echo.POST("/admin/faults", t.setFaults)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.echo.ServeHTTP(w, r)
}

// Incarnation returns the random number that identifies this run of the target.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// State returns the state that the target reports.
func (t *Target) State() State {
	switch {
	case t.currentFaults().Draining:
		return Draining
	case time.Since(t.started) < t.config.StartTime:
		return Starting
	default:
		return Ready
	}
}

// delayWhileFrozen is middleware that delays requests while the target is frozen.
func (t *Target) delayWhileFrozen(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := t.waitWhileFrozen(c.Request().Context()); err != nil {
			return err
		}
		return next(c)
	}
}

func (t *Target) waitWhileFrozen(ctx context.Context) error {
	t.mu.Lock()
	unfrozen := t.unfrozen
	t.mu.Unlock()
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HealthMessage is the JSON answer to a health probe.
type HealthMessage struct {
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
}

func (t *Target) health(c echo.Context) error {
	time.Sleep(t.config.ProbeCost)
	m := HealthMessage{
		Incarnation: t.incarnation,
		State:       t.State(),
		Running:     len(t.slots),
		Queued:      int(t.queued.Load()),
	}
	switch t.currentFaults().Misreport {
	case MisreportIdle:
		m.Running, m.Queued = 0, 0
	case MisreportBusy:
		m.Running, m.Queued = t.config.Slots, t.config.Queue
	}
	return c.JSON(http.StatusOK, m)
}
