// Package serve runs the HTTP servers of the stand-ins' commands. It has no locks.
package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"golang.org/x/net/netutil"
)

const (
	readHeaderTimeout   = 10 * time.Second
	defaultDrainTimeout = 2 * time.Second
)

// Options configure a server. Zero values stand for the defaults.
type Options struct {
	// DrainTimeout limits the wait for running requests after a signal; 2 s by default.
	DrainTimeout time.Duration
	// MaxConnections limits the number of open connections; zero means no limit.
	MaxConnections int
	// ConnectDelay delays the first read of each new connection, to simulate an expensive
	// connection setup.
	ConnectDelay time.Duration
	// OnStop is called after a signal, while requests are still accepted. Its context expires after
	// DrainTimeout.
	OnStop func(context.Context)
}

// Actor is a part of a command that runs concurrently with its server. Execute must return when Interrupt
// is called.
type Actor struct {
	Execute   func() error
	Interrupt func(error)
}

// UntilSignal serves handler on the address until SIGINT, SIGTERM or the end of an actor. It returns nil
// after a signal, and otherwise the error of the listener, server or actor.
func UntilSignal(address string, handler http.Handler, o Options, actors ...Actor) error {
	listener, err := listen(address, o)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	drained := make(chan struct{})
	var group run.Group
	group.Add(func() error {
		err := server.Serve(listener)
		<-drained
		return err
	}, func(error) {
		defer close(drained)
		shutdown(server, o)
	})
	for _, actor := range actors {
		group.Add(actor.Execute, actor.Interrupt)
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	slog.Info("listening", "address", listener.Addr().String())
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		slog.Info("stopped", "reason", err)
		return nil
	}
	return err
}

func listen(address string, o Options) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if o.MaxConnections > 0 {
		listener = netutil.LimitListener(listener, o.MaxConnections)
	}
	if o.ConnectDelay > 0 {
		listener = delayedListener{Listener: listener, delay: o.ConnectDelay}
	}
	return listener, nil
}

// shutdown calls OnStop, waits for running requests and closes the connections that are left after
// DrainTimeout.
func shutdown(server *http.Server, o Options) {
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = defaultDrainTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.DrainTimeout)
	defer cancel()
	if o.OnStop != nil {
		o.OnStop(ctx)
	}
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// delayedListener is a listener whose connections delay their first read.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: conn, delay: l.delay}, nil
}

type delayedConn struct {
	net.Conn
	delay time.Duration
}

// Read implements net.Conn. It must not be called concurrently.
func (c *delayedConn) Read(p []byte) (int, error) {
	if c.delay > 0 {
		time.Sleep(c.delay)
		c.delay = 0
	}
	return c.Conn.Read(p)
}
