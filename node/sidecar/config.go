package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/feed"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

// configWatcher watches the operator's configuration in the store. It ignores versions that are not
// newer than the one in force.
type configWatcher struct {
	feed    *feed.Feed
	log     *slog.Logger
	inForce atomic.Pointer[routing.Config]
	// maxUnconfirmed is how long after the store was last known to hold no later configuration the one in force
	// still shows that a route does not exist.
	maxUnconfirmed time.Duration
	// isReady reports whether what else is needed to route requests is known; nil if nothing else is.
	isReady func() bool
	// read is the version of the store up to which the configuration has been decoded or rejected.
	read atomic.Int64
}

// confirmMargin is subtracted from the time within which a configuration must be in force. It covers what comes after
// the store has answered: the transit of the response and the answer to the caller.
const confirmMargin = 500 * time.Millisecond

// newConfigWatcher returns a watcher of the feed for a deployment in which a configuration must be in force within
// the given time.
func newConfigWatcher(f *feed.Feed, applyWithin time.Duration, log *slog.Logger) *configWatcher {
	return &configWatcher{feed: f, log: log, maxUnconfirmed: applyWithin - confirmMargin}
}

// Current implements ingress.Configuration. A node that does not know yet which failure domains are evacuated refuses
// requests as one without a configuration does.
func (c *configWatcher) Current() *routing.Config {
	if c.isReady != nil && !c.isReady() {
		return nil
	}
	return c.inForce.Load()
}

func (c *configWatcher) isKeyed(service string) bool {
	config := c.inForce.Load()
	return config != nil && config.Services[service].Keyed
}

// mayOwn reports whether targets in the region may own keys of the service.
func (c *configWatcher) mayOwn(service, region string) bool {
	config := c.inForce.Load()
	return config == nil || config.OwnerRegions(service).Allows(region)
}

// service returns the configuration of a service, and whether any configuration is known.
func (c *configWatcher) service(name string) (routing.Service, bool) {
	config := c.inForce.Load()
	if config == nil {
		return routing.Service{}, false
	}
	return config.Services[name], true
}

// isShared reports whether the configuration in force names the service and says that it is not keyed.
func (c *configWatcher) isShared(service string) bool {
	config := c.inForce.Load()
	if config == nil {
		return false
	}
	known, exists := config.Services[service]
	return exists && !known.Keyed
}

// IsLatest implements ingress.Configuration: no later configuration is being decoded, and the state of the store was
// confirmed recently.
func (c *configWatcher) IsLatest() bool {
	state, known := c.feed.State(configPrefix)
	return known && int64(state.Version) <= c.read.Load() && bootclock.Now()-state.CurrentAt <= c.maxUnconfirmed
}

// configPrefix is the prefix of the configuration's key.
const configPrefix = objectstore.ConfigKind + "/"

// run watches the configuration until the context ends.
func (c *configWatcher) run(ctx context.Context) error {
	return c.feed.Watch(ctx, configPrefix, func(b objects.Batch) {
		began := bootclock.Now()
		for _, e := range b.Events {
			if e.Object.Key == platform.ConfigKey && !e.Deleted {
				c.apply(e.Object)
			}
		}
		c.read.Store(int64(b.Next))
		c.logSteps(b, began)
	})
}

// logSteps logs how long the steps of a change took until it was in force.
func (c *configWatcher) logSteps(b objects.Batch, began time.Duration) {
	state, _ := c.feed.State(configPrefix)
	now := bootclock.Now()
	c.log.Info("configuration read", "store_version", b.Next, "latest", state.Version,
		"waited_ms", (began - state.ChangedAt).Milliseconds(), "took_ms", (now - began).Milliseconds(),
		"current_ms_ago", (now - state.CurrentAt).Milliseconds(), "reads_store", c.feed.ReadsStore())
}

func (c *configWatcher) apply(o objects.Object) {
	began := time.Now()
	config, err := platform.DecodeConfig(o.Value)
	if err != nil {
		c.log.Error("malformed configuration ignored", "store_version", o.Version, "cause", err.Error())
		return
	}
	old := c.inForce.Load()
	if old != nil && old.Version >= config.Version {
		c.log.Info("configuration ignored: not newer than the one in force", "config", config.Version, "in_force", old.Version)
		return
	}
	c.inForce.Store(config)
	c.log.Info("configuration in force", "config", config.Version, "store_version", o.Version,
		"routes", len(config.Routes), "services", len(config.Services), "bytes", len(o.Value),
		"decode_ms", time.Since(began).Milliseconds())
}
