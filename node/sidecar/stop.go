package sidecar

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/shutdown"
	"github.com/auburnrelay/auburnrelay/platform"
)

// errStopped ends the run group after a requested stop.
var errStopped = errors.New("stopped on request")

// handleSignals handles signals and requests to stop. At the first SIGTERM or SIGINT the node
// reports that it is not ready, gives callers time to leave, finishes the requests in flight and
// stops. SIGHUP rereads the settings file.
func (d *Daemon) handleSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload("signal")
				continue
			}
			return d.stop(ctx, s.String())
		case <-d.stopRequested:
			return d.stop(ctx, "call")
		case <-ticker.C:
			d.reload("file")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settingsCheckInterval is the interval between checks of the settings file for changes.
const settingsCheckInterval = 5 * time.Second

// Stop requests a graceful stop, like SIGTERM.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stopRequested) }) }

func (d *Daemon) stop(ctx context.Context, cause string) error {
	began := time.Now()
	d.log.Info("stop begins", "cause", cause)
	d.servers.announceStop()
	d.ownership.Stop()
	ctx, cancel := context.WithTimeout(ctx, max(readinessGrace, d.settings.Bounds.StopSeconds.Duration()-killMargin))
	defer cancel()
	if end, ok := ctx.Deadline(); ok {
		period := shutdown.Period{Began: began, End: end}
		d.guard.Stop(period)
		d.dispatcher.Stop(period)
	}
	timer := time.NewTimer(readinessGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	d.servers.shutdown(ctx)
	d.log.Info("stop finished", "took_ms", time.Since(began).Milliseconds())
	return errStopped
}

// reload rereads the settings file, validates it and logs a change. The file is the one named by the
// environment variable platform.SettingsEnv. Settings are fixed for the lifetime of a process, so a
// change takes effect at the next start.
func (d *Daemon) reload(cause string) {
	path := os.Getenv(platform.SettingsEnv)
	data, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn("settings file not readable", "cause", err.Error())
		return
	}
	if d.settingsText == nil {
		d.settingsText = data
	}
	if bytes.Equal(data, d.settingsText) {
		if cause == "signal" {
			d.log.Info("settings file reread", "changed", false)
		}
		return
	}
	d.settingsText = data
	if _, err := ParseSettings(data); err != nil {
		d.log.Error("changed settings are invalid", "cause", err.Error())
		return
	}
	d.log.Warn("settings file changed; the change takes effect at the next start", "trigger", cause)
}
