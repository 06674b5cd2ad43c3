package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/auburnrelay/auburnrelay/node/budget"
	"github.com/auburnrelay/auburnrelay/node/hop"
	"github.com/auburnrelay/auburnrelay/node/pipeline"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
	"github.com/auburnrelay/auburnrelay/platform"
)

// servers holds the node's listeners and their servers.
type servers struct {
	endpoints []*endpoint
	callers   *pipeline.Server
	// stopping is closed when the node starts to report that it is not ready.
	stopping chan struct{}
	// interrupted is closed when the run group is interrupted. Until then a server that was shut
	// down does not end the group, so that answers in flight are finished.
	interrupted   chan struct{}
	interruptOnce sync.Once
}

// endpoint is a listener with its server.
type endpoint struct {
	listener net.Listener
	server   server
}

// server is the interface of a listener's server.
type server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

func (s *servers) open(d *Daemon, callers, peers http.Handler) error {
	s.stopping, s.interrupted = make(chan struct{}), make(chan struct{})
	l, addresses := d.settings.limits(), d.settings.Listen
	memory := budget.New(l.held)
	telemetry.Gauge(d.registry, "held_bytes", "Memory that is reserved for clients.", func() float64 { return float64(memory.Held()) })
	telemetry.Gauge(d.registry, "held_bytes_limit", "Memory that may be reserved for clients.", func() float64 { return float64(memory.Limit()) })
	monitor := newLimitMonitor(d.registry, d.log.With("part", "limits"))
	newServer := func(listener string, h http.Handler, connections int, bodyBytes, perByte int64) *pipeline.Server {
		o := pipeline.Options{
			HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, HeaderFields: d.settings.Limits.HeaderFields,
			MaxConnections: connections, Memory: memory, ConnectionBytes: l.connection, HeldBodyBytes: bodyBytes, HeldPerByte: perByte,
			MinBytesPerSecond: d.settings.Limits.BytesPerSecond, IDHeader: platform.IDHeader, Reached: monitor.reached(listener),
		}
		if listener == "peers" {
			o.HeaderBytes, o.HeaderFields = peerHeaderBytes, o.HeaderFields+peerHeaderFields
			o.RefusalHeader, o.ClosingHeader = hop.RefusalHeader(), hop.ClosingHeader()
		}
		return pipeline.New(h, o)
	}
	s.callers = newServer("callers", callers, l.callers, bodyBytesHeld, 1)
	wanted := []struct {
		field, address string
		server         server
	}{
		{"callers", addresses.Callers, s.callers},
		{"peers", addresses.Peers, newServer("peers", peers, l.peers, bodyBytesHeld, 1)},
		{"target", addresses.Target, newServer("target", platform.ControlHandler(d.ownership), l.other, controlBodyBytes, controlPerByte)},
		{"ready", addresses.Ready, newServer("ready", s.readyHandler(d), l.other, 0, 1)},
		{"admin", addresses.Admin, newServer("admin", adminHandler(d), l.other, 0, 1)},
	}
	for _, w := range wanted {
		listener, err := listen(w.field, w.address)
		if err != nil {
			s.close()
			return err
		}
		s.endpoints = append(s.endpoints, &endpoint{listener: listener, server: w.server})
	}
	return nil
}

func (s *servers) close() {
	for _, e := range s.endpoints {
		_ = e.listener.Close()
	}
}

func (s *servers) addTo(group *run.Group) {
	for _, e := range s.endpoints {
		group.Add(func() error {
			err := e.server.Serve(e.listener)
			if errors.Is(err, pipeline.ErrClosed) {
				// The listener is closed, but answers may still be in flight.
				<-s.interrupted
				return errStopped
			}
			return err
		}, func(error) {
			s.interruptOnce.Do(func() { close(s.interrupted) })
			_ = e.server.Close()
		})
	}
}

func (s *servers) readyHandler(d *Daemon) http.Handler {
	e := echo.New()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		select {
		case <-s.stopping:
			return c.String(http.StatusServiceUnavailable, "stopping\n")
		default:
		}
		if d.ownership.IsStuck() {
			d.log.Error("not ready: the ownership of keys does not respond")
			return c.String(http.StatusServiceUnavailable, "ownership does not respond\n")
		}
		if d.config.Current() == nil {
			return c.String(http.StatusServiceUnavailable, "no configuration\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

func adminHandler(d *Daemon) http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	e.GET(WherePath, echo.WrapHandler(whereHandler(d.config, d.dispatcher)))
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, d.ownership.Status()) })
	return e
}

// shutdown shuts the servers down one after another, those for callers and peers first. Each one
// waits for its requests in flight.
func (s *servers) shutdown(ctx context.Context) {
	for _, e := range s.endpoints {
		// Requests left at the deadline are aborted by the end of the process.
		_ = e.server.Shutdown(ctx)
	}
}

// announceStop makes the node report that it is not ready and asks callers to close their
// connections with each further answer.
func (s *servers) announceStop() {
	close(s.stopping)
	s.callers.DisableKeepAlives()
}

const (
	// readinessGrace is how long callers may take to notice that the node is not ready: two
	// readiness checks one second apart.
	readinessGrace = 2500 * time.Millisecond
	// killMargin is subtracted from the time between SIGTERM and SIGKILL.
	killMargin = 300 * time.Millisecond
)
