// Package target is the stand-in of a target: an HTTP server with slots, service times per
// kind of work, fence checks as a setting, faults, and a log of what it executed. It speaks
// the target's protocol of docs/design/parts.md.
//
// Lock order: Target.mu, grantTable.mu and runs.mu are leaves; none is held while another
// is taken, and none is held while work runs.
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

// State is a target's condition as it reports it.
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
	// Node is the base URL of the node's local listener; empty announces to nobody.
	Node string
	// Slots is the number of requests that run at once; 6 by default.
	Slots int
	// Queue is the number of requests that wait for a slot before others are shed; 64 by
	// default.
	Queue int
	// CheckFences makes the target refuse lower fences and lapsed grants.
	CheckFences bool
	// Services are the services that the target announces.
	Services []string
	// ServiceTimes gives the mean time in a slot by kind of work, the first segment of the
	// path after the key; "" is the kind of all others and takes 5 ms by default.
	ServiceTimes map[string]time.Duration
	// StartTime is how long the target reports starting.
	StartTime time.Duration
	// ColdTime is how long after the start work is slower, by ColdFactor at first and then
	// less and less.
	ColdTime   time.Duration
	ColdFactor float64
	// ProbeCost is the time that a health probe takes.
	ProbeCost time.Duration
	// PoisonKey is the key whose requests crash the target; empty for none.
	PoisonKey string
	// Crash ends the process for a poisonous request; by default by os.Exit.
	Crash func()
	// Log receives the execution log; nil keeps none but that in memory.
	Log *execlog.Writer
	// Seed seeds the spread of service times.
	Seed uint64
}

// Target is the stand-in; it is an http.Handler. It is safe for concurrent use.
type Target struct {
	config      Config
	incarnation uint64
	started     time.Time
	echo        *echo.Echo
	log         *execlog.Writer
	grants      *grantTable
	runs        *runs
	slots       chan struct{}
	queued      atomic.Int64
	number      atomic.Uint64

	mu     sync.Mutex
	faults FaultsMessage
	// thawed is closed while the target is not frozen.
	thawed chan struct{}
	random *rand.Rand
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
		runs:        newRuns(),
		slots:       make(chan struct{}, config.Slots),
		thawed:      make(chan struct{}),
		random:      rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	close(t.thawed)
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
	t.echo.Any("/work/*", t.work, t.whenThawed)
	t.echo.GET("/health", t.health, t.whenThawed)
	t.echo.PUT("/v1/grants", t.putGrants, t.whenThawed)
	t.echo.DELETE("/v1/running/:id/:attempt", t.cancel, t.whenThawed)
	t.echo.GET("/v1/executions", t.executions)
	t.echo.GET("/admin/faults", t.showFaults)
	t.echo.POST("/admin/faults", t.setFaults)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.echo.ServeHTTP(w, r)
}

// Incarnation returns the number drawn when the target started.
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

// whenThawed holds a request while the target is frozen.
func (t *Target) whenThawed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := t.waitThawed(c.Request().Context()); err != nil {
			return err
		}
		return next(c)
	}
}

func (t *Target) waitThawed(ctx context.Context) error {
	t.mu.Lock()
	thawed := t.thawed
	t.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HealthMessage is the answer to a probe.
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
	switch t.currentFaults().Lie {
	case LieIdle:
		m.Running, m.Queued = 0, 0
	case LieBusy:
		m.Running, m.Queued = t.config.Slots, t.config.Queue
	}
	return c.JSON(http.StatusOK, m)
}
