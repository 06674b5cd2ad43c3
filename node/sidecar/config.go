package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

// configuration watches the operator's configuration in the store. It ignores versions that are not
// newer than the one in force.
type configuration struct {
	store *client.Client
	log   *slog.Logger
	now   atomic.Pointer[routing.Config]
}

func newConfiguration(store *client.Client, log *slog.Logger) *configuration {
	return &configuration{store: store, log: log}
}

// current returns the configuration in force, or nil before one is known.
func (c *configuration) current() *routing.Config { return c.now.Load() }

func (c *configuration) isKeyed(service string) bool {
	config := c.now.Load()
	return config != nil && config.Services[service].Keyed
}

// run watches the configuration until the context ends.
func (c *configuration) run(ctx context.Context) error {
	return c.store.Watch(ctx, objectstore.ConfigKind+"/", func(b objects.Batch) {
		for _, e := range b.Events {
			if e.Object.Key == platform.ConfigKey && !e.Deleted {
				c.apply(e.Object)
			}
		}
	})
}

func (c *configuration) apply(o objects.Object) {
	config, err := platform.DecodeConfig(o.Value)
	if err != nil {
		c.log.Error("malformed configuration ignored", "store_version", int64(o.Version), "cause", err.Error())
		return
	}
	old := c.now.Load()
	if old != nil && old.Version >= config.Version {
		c.log.Info("configuration ignored: not newer than the one in force", "config", config.Version, "in_force", old.Version)
		return
	}
	c.now.Store(config)
	c.log.Info("configuration in force", "config", config.Version, "store_version", int64(o.Version),
		"routes", len(config.Routes), "services", len(config.Services))
}
