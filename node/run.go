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

// ErrForced reports that a second signal ended a graceful stop early.
var ErrForced = errors.New("graceful stop interrupted by a second signal")

// shutdownTimeout is the timeout for closing the connections of targets and operators and for the last report of the
// account, after the keys were handed over. Requests in flight are waited for until the node's drain timeout ends.
const shutdownTimeout = 5 * time.Second

// callerCloseDelay is the minimum time between asking callers to close their connections and
// closing the listener.
const callerCloseDelay = time.Second

// Run serves until the context ends, a component fails or a signal requests a stop. At the first
// SIGTERM or SIGINT the node hands over its keys, finishes the requests in flight, and Run returns
// nil. At a second one Run ends at once with ErrForced.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	group.Add(n.signalActor(ctx))
	group.Add(httpActor(n.entryServer, n.listeners.entry, n.drainLeft))
	group.Add(n.ledgerActor())
	// Actors are interrupted in this order. The control component ends its leases before the peer
	// listener closes, because other nodes take a refused connection as proof that this node
	// holds no lease any more.
	group.Add(awaitedActor(n.control.Run))
	group.Add(grpcActor(n.peerServer, n.listeners.peer, n.drainLeft))
	for _, loop := range []func(context.Context) error{n.owner.Run, n.targetLink.Run, n.distributor.Run} {
		group.Add(cancelledActor(loop))
	}
	group.Add(httpActor(n.targetServer, n.listeners.target, closeTime))
	group.Add(httpActor(n.adminServer, n.listeners.admin, closeTime))
	n.log.Info("node started", "name", n.settings.Node.Name, "cell", n.settings.Node.Cell,
		"incarnation", n.control.Self().Incarnation, "entry", n.settings.Listen.Entry, "peer", n.settings.Listen.Peer)
	err := group.Run()
	n.pool.Close()
	n.targetLink.Close()
	n.log.Info("node stopped", "reason", err.Error())
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the run group after a graceful stop.
var errStopped = errors.New("stopped on request")

// signalActor returns the actor (the execute and interrupt functions of a run.Group) that waits for
// a signal. At the first one the node leaves the cell while all other actors still run.
func (n *Node) signalActor(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	execute := func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals:
			n.log.Info("graceful stop: handing over keys", "reason", s.String())
		}
		n.entryHandler.CloseConnections()
		began := time.Now()
		n.drainBy = began.Add(n.settings.Timing.DrainTimeout.Std())
		err := n.leave(ctx, signals)
		if errors.Is(err, errStopped) {
			time.Sleep(callerCloseDelay - time.Since(began))
		}
		return err
	}
	interrupt := func(error) {
		signal.Stop(signals)
		cancel()
	}
	return execute, interrupt
}

// leave hands over the node's keys. It returns ErrForced at a further signal, otherwise errStopped,
// even if some keys could not be handed over.
func (n *Node) leave(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.DrainTimeout.Std())
	defer cancel()
	left := make(chan error, 1)
	go func() { left <- n.control.Leave(ctx) }()
	select {
	case err := <-left:
		if err != nil {
			n.log.Warn("graceful stop incomplete: not all keys were handed over", "reason", err.Error())
		}
		return errStopped
	case <-signals:
		return ErrForced
	}
}

// drainLeft returns how long requests in flight are waited for: the rest of the drain timeout after a signal to stop, and
// shutdownTimeout at least.
func (n *Node) drainLeft() time.Duration { return max(shutdownTimeout, time.Until(n.drainBy)) }

func closeTime() time.Duration { return shutdownTimeout }

// httpActor returns an actor that serves HTTP on the listener until it is interrupted. It then waits for requests in
// flight for at most the time that wait returns.
func httpActor(server *http.Server, listener net.Listener, wait func() time.Duration) (func() error, func(error)) {
	execute := func() error { return server.Serve(listener) }
	interrupt := func(cause error) {
		if errors.Is(cause, ErrForced) {
			_ = server.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), wait())
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	return execute, interrupt
}

// ledgerActor returns the actor of the ledger. Its interrupt, which comes after that of the
// callers' listener, reports the last counts.
func (n *Node) ledgerActor() (func() error, func(error)) {
	execute, cancel := cancelledActor(n.ledger.Run)
	interrupt := func(cause error) {
		cancel(cause)
		if errors.Is(cause, ErrForced) {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
		defer stop()
		n.ledger.Close(ctx)
	}
	return execute, interrupt
}

// grpcActor returns an actor that serves gRPC on the listener until it is interrupted. It then waits for calls in flight
// for at most the time that wait returns.
func grpcActor(server *grpc.Server, listener net.Listener, wait func() time.Duration) (func() error, func(error)) {
	execute := func() error { return server.Serve(listener) }
	interrupt := func(cause error) {
		if errors.Is(cause, ErrForced) {
			server.Stop()
			return
		}
		timer := time.AfterFunc(wait(), server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	}
	return execute, interrupt
}

// cancelledActor returns an actor that runs the loop until it is interrupted.
func cancelledActor(loop func(context.Context) error) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { return loop(ctx) }, func(error) { cancel() }
}

// awaitedActor is like cancelledActor, but the interrupt function waits for the loop to return.
func awaitedActor(loop func(context.Context) error) (func() error, func(error)) {
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
