package node

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/auburnrelay/auburnrelay/node/settings"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

// Run provisions a node with the object store of its settings and runs it, as Node.Run does.
func Run(ctx context.Context, s *settings.Settings) error {
	registry := prometheus.NewRegistry()
	direct := objectstore.New(s.Store.URL, objectstore.Options{PollWait: s.Store.WatchWait.Std()})
	n, err := Provision(s, Stores{Direct: direct, Budgeted: openStore(direct, s.Store, registry)}, registry, newLogger(s.Log))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// pollMargin is the time allowed for the answer to a poll after the store's wait.
const pollMargin = 2 * time.Second

// openStore returns a client that applies the call budget of the settings to the store.
func openStore(store objects.Store, s settings.Store, registry prometheus.Registerer) *client.Client {
	return client.New(store, client.Options{
		CallsPerSecond: s.CallsPerSecond,
		Burst:          s.CallBurst,
		AttemptTimeout: s.RequestTimeout.Std(),
		PollTimeout:    s.WatchWait.Std() + pollMargin,
		Registerer:     registry,
	})
}

// newLogger returns a logger to standard error with the format and the level of the settings, which
// must be validated.
func newLogger(s settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		panic(err)
	}
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
