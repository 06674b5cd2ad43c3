package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"google.golang.org/grpc"
)

// ErrForced reports a stop that a second signal cut short.
var ErrForced = errors.New("stopped at once by a second signal")

// shutdownWait bounds the wait for callers' connections after the keys were handed over.
const shutdownWait = 5 * time.Second

// closingWait is the least time between asking callers to close their connections and closing
// the listener.
const closingWait = time.Second

// Run serves until the context ends, a part fails, or a signal asks for a stop. A first
// SIGTERM or SIGINT hands the node's keys over and finishes what is in flight; a second one
// ends Run at once with ErrForced.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	group.Add(n.untilSignal(ctx))
	group.Add(serveHTTP(n.entry, n.listeners.entry))
	group.Add(n.runLedger())
	// The control side ends its leases before the peer listener closes: a refused connection
	// proves to others that nothing is held here any more.
	group.Add(untilEnded(n.control.Run))
	group.Add(servePeers(n.peers, n.listeners.peer))
	for _, loop := range []func(context.Context) error{n.owner.Run, n.link.Run, n.sharer.Run} {
		group.Add(untilCancelled(loop))
	}
	group.Add(serveHTTP(n.local, n.listeners.target))
	group.Add(serveHTTP(n.admin, n.listeners.admin))
	n.log.Info("node started", "name", n.settings.Node.Name, "cell", n.settings.Node.Cell,
		"incarnation", n.control.Self().Incarnation, "entry", n.settings.Listen.Entry, "peer", n.settings.Listen.Peer)
	err := group.Run()
	n.pool.Close()
	n.link.Close()
	n.log.Info("node stopped", "reason", err.Error())
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the group after a planned stop.
var errStopped = errors.New("stopped as asked")

// untilSignal leaves the cell at the first signal while every other part still runs.
func (n *Node) untilSignal(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	execute := func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals:
			n.log.Info("stopping: handing the keys over", "reason", s.String())
		}
		n.callers.CloseConnections()
		began := time.Now()
		err := n.leave(ctx, signals)
		if errors.Is(err, errStopped) {
			time.Sleep(closingWait - time.Since(began))
		}
		return err
	}
	interrupt := func(error) {
		signal.Stop(signals)
		cancel()
	}
	return execute, interrupt
}

func (n *Node) leave(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.DrainTimeout.Std())
	defer cancel()
	left := make(chan error, 1)
	go func() { left <- n.control.Leave(ctx) }()
	select {
	case err := <-left:
		if err != nil {
			n.log.Warn("stopped before all keys were handed over", "reason", err.Error())
		}
		return errStopped
	case <-signals:
		return ErrForced
	}
}

func serveHTTP(server *http.Server, listener net.Listener) (func() error, func(error)) {
	execute := func() error { return server.Serve(listener) }
	interrupt := func(cause error) {
		if errors.Is(cause, ErrForced) {
			_ = server.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	return execute, interrupt
}

// runLedger runs the ledger until the callers' listener is closed, and then reports the
// last counts.
func (n *Node) runLedger() (func() error, func(error)) {
	execute, cancel := untilCancelled(n.ledger.Run)
	interrupt := func(cause error) {
		cancel(cause)
		if errors.Is(cause, ErrForced) {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), shutdownWait)
		defer stop()
		n.ledger.Close(ctx)
	}
	return execute, interrupt
}

func servePeers(server *grpc.Server, listener net.Listener) (func() error, func(error)) {
	execute := func() error { return server.Serve(listener) }
	interrupt := func(cause error) {
		if errors.Is(cause, ErrForced) {
			server.Stop()
			return
		}
		timer := time.AfterFunc(shutdownWait, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	}
	return execute, interrupt
}

func untilCancelled(loop func(context.Context) error) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { return loop(ctx) }, func(error) { cancel() }
}

// untilEnded is like untilCancelled, and its interrupt returns when the loop has.
func untilEnded(loop func(context.Context) error) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	execute := func() error {
		defer close(ended)
		return loop(ctx)
	}
	interrupt := func(error) {
		cancel()
		<-ended
	}
	return execute, interrupt
}
