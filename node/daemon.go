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

// Run provisions a node over the store that its settings name and runs it.
func Run(ctx context.Context, s *settings.Settings) error {
	registry := prometheus.NewRegistry()
	record := objectstore.New(s.Store.URL, objectstore.Options{PollWait: s.Store.WatchWait.Std()})
	n, err := Provision(s, Stores{Record: record, Budgeted: openStore(record, s.Store, registry)}, registry, newLogger(s.Log))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// pollMargin is how much longer than the store's wait a poll may take.
const pollMargin = 2 * time.Second

// openStore returns the client of the object store, with the call budget of the settings.
func openStore(store objects.Store, s settings.Store, registry prometheus.Registerer) *client.Client {
	return client.New(store, client.Options{
		CallsPerSecond: s.CallsPerSecond,
		Burst:          s.CallBurst,
		AttemptTimeout: s.RequestTimeout.Std(),
		PollTimeout:    s.WatchWait.Std() + pollMargin,
		Registerer:     registry,
	})
}

// newLogger returns the logger that the settings ask for; the level is valid by then.
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
