package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/auburnrelay/auburnrelay/core/routing"
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
}

func newConfigWatcher(f *feed.Feed, log *slog.Logger) *configWatcher {
	return &configWatcher{feed: f, log: log}
}

// current returns the configuration in force, or nil before one is known.
func (c *configWatcher) current() *routing.Config { return c.inForce.Load() }

func (c *configWatcher) isKeyed(service string) bool {
	config := c.inForce.Load()
	return config != nil && config.Services[service].Keyed
}

// run watches the configuration until the context ends.
func (c *configWatcher) run(ctx context.Context) error {
	return c.feed.Watch(ctx, objectstore.ConfigKind+"/", func(b objects.Batch) {
		for _, e := range b.Events {
			if e.Object.Key == platform.ConfigKey && !e.Deleted {
				c.apply(e.Object)
			}
		}
	})
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
