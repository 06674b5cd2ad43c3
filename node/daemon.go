package node

import (
	"context"
	"log/slog"
	"os"

	"github.com/auburnrelay/auburnrelay/node/settings"
	"github.com/auburnrelay/auburnrelay/platform/httpstore"
)

// Run provisions a node over the store that its settings name and runs it.
func Run(ctx context.Context, s *settings.Settings) error {
	store := httpstore.New(s.Store.URL, httpstore.Options{PollWait: s.Store.WatchWait.Std()})
	n, err := Provision(s, store, newLogger(s.Log))
	if err != nil {
		return err
	}
	return n.Run(ctx)
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
