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

	"github.com/auburnrelay/auburnrelay/node/pipeline"
	"github.com/auburnrelay/auburnrelay/platform"
)

// servers holds the node's listeners and their servers.
type servers struct {
	parts   []*part
	callers *pipeline.Server
	// stopping is closed when the node starts to report that it is not ready.
	stopping chan struct{}
	// ended is closed when the run group is interrupted. Until then a server that was shut down
	// does not end the group, so that answers in flight are finished.
	ended chan struct{}
	once  sync.Once
}

// part is a listener with its server.
type part struct {
	listener net.Listener
	server   server
}

// server is the common interface of http.Server and pipeline.Server.
type server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

func (s *servers) open(d *Daemon, callers, peers http.Handler) error {
	s.stopping, s.ended = make(chan struct{}), make(chan struct{})
	s.callers = pipeline.New(callers, pipeline.Options{HeaderBytes: headerBytes, HeaderTime: headerTime, IdleTime: idleTime})
	at := d.settings.Listen
	wanted := []struct {
		field, address string
		server         server
	}{
		{"callers", at.Callers, s.callers},
		{"peers", at.Peers, newServer(peers)},
		{"target", at.Target, newServer(platform.ControlHandler(d.ownership))},
		{"ready", at.Ready, newServer(s.readyHandler(d))},
		{"admin", at.Admin, newServer(adminHandler(d))},
	}
	for _, w := range wanted {
		l, err := listen(w.field, w.address)
		if err != nil {
			s.close()
			return err
		}
		s.parts = append(s.parts, &part{listener: l, server: w.server})
	}
	return nil
}

func (s *servers) close() {
	for _, p := range s.parts {
		_ = p.listener.Close()
	}
}

func (s *servers) add(group *run.Group) {
	for _, p := range s.parts {
		group.Add(func() error {
			err := p.server.Serve(p.listener)
			if errors.IsAny(err, http.ErrServerClosed, pipeline.ErrClosed) {
				// The listener is closed, but answers may still be in flight.
				<-s.ended
				return errStopped
			}
			return err
		}, func(error) {
			s.once.Do(func() { close(s.ended) })
			_ = p.server.Close()
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
		if d.config.current() == nil {
			return c.String(http.StatusServiceUnavailable, "no configuration\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

func adminHandler(d *Daemon) http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, d.ownership.Status()) })
	return e
}

// shutdown shuts the servers down one after another, those for callers and peers first. Each one
// waits for its requests in flight.
func (s *servers) shutdown(ctx context.Context) {
	for _, p := range s.parts {
		// Requests left at the deadline are aborted by the end of the process.
		_ = p.server.Shutdown(ctx)
	}
}

// leave makes the node report that it is not ready and asks callers to close their connections: each
// further answer carries that request.
func (s *servers) leave() {
	close(s.stopping)
	s.callers.Leave()
}

const (
	// leaveTime is how long callers may take to notice that the node is not ready: two readiness
	// checks one second apart.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is subtracted from the time between SIGTERM and SIGKILL.
	stopMargin = 300 * time.Millisecond
)
