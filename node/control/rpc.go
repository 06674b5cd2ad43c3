package control

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/wire/cellwire"
	pb "github.com/auburnrelay/auburnrelay/wire/gen/auburnrelay/v1"
)

// rpcTimeout is the timeout of one call between nodes; a later answer would be useless.
const rpcTimeout = time.Second

// Heartbeat implements CellService. The controller answers a node's heartbeat.
func (c *Control) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if err := c.checkOrigin(r.GetCluster(), r.GetCell()); err != nil {
		return nil, err
	}
	h, err := cellwire.HeartbeatFromWire(r)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	effect, err := c.ask(ctx, cell.HeartbeatReceived{Heartbeat: h})
	if err != nil {
		return nil, err
	}
	a, ok := effect.(cell.AnswerHeartbeat)
	if !ok {
		return nil, status.Error(codes.Internal, "no answer to the heartbeat")
	}
	response, err := cellwire.HeartbeatResponseToWire(nodeOf(c.cfg.Self), a.Answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return response, nil
}

// Promise implements CellService. The standby answers the controller's request for a promise.
func (c *Control) Promise(ctx context.Context, r *pb.PromiseRequest) (*pb.PromiseResponse, error) {
	if err := c.checkOrigin(r.GetCluster(), c.cfg.Cell); err != nil {
		return nil, err
	}
	effect, err := c.ask(ctx, cell.PromiseRequested{Request: cellwire.PromiseRequestFromWire(r)})
	if err != nil {
		return nil, err
	}
	a, ok := effect.(cell.AnswerPromise)
	if !ok {
		return nil, status.Error(codes.Internal, "no answer to the request for a promise")
	}
	return cellwire.PromiseResponseToWire(a.Answer), nil
}

// Poke implements CellService. A controller asks the node for a heartbeat; without an epoch, the
// caller only wants to know which process answers.
func (c *Control) Poke(_ context.Context, r *pb.PokeRequest) (*pb.PokeResponse, error) {
	if err := c.checkOrigin(r.GetCluster(), r.GetCell()); err != nil {
		return nil, err
	}
	if r.GetEpoch() > 0 {
		c.post(cell.Poked{Poke: cellwire.PokeFromWire(r)})
	}
	return cellwire.PokeResponseToWire(nodeOf(c.cfg.Self)), nil
}

func (c *Control) checkOrigin(cluster, cellName string) error {
	if cluster != c.cfg.Cluster || cellName != c.cfg.Cell {
		return status.Errorf(codes.PermissionDenied, "cluster %q, cell %q is not this node's", cluster, cellName)
	}
	return nil
}

// ask queues an event for the loop and waits for the effect that answers it.
func (c *Control) ask(ctx context.Context, event cell.Event) (cell.Effect, error) {
	reply := make(chan cell.Effect, 1)
	select {
	case c.events <- envelope{event: event, reply: reply}:
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-c.stopped:
		return nil, status.Error(codes.Unavailable, "the node stops")
	}
	select {
	case effect := <-reply:
		return effect, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-c.stopped:
		return nil, status.Error(codes.Unavailable, "the node stops")
	}
}

// startRPC runs a call to another node in a goroutine of its own, so that the loop does not block.
func (c *Control) startRPC(ctx context.Context, f func(ctx context.Context)) {
	c.calls.Add(1)
	go func() {
		defer c.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
		defer cancel()
		f(ctx)
	}()
}

func (c *Control) sendHeartbeat(ctx context.Context, e cell.SendHeartbeat) {
	if e.To.Name == c.cfg.Self.Name {
		c.localEvents = append(c.localEvents, cell.HeartbeatReceived{Heartbeat: e.Heartbeat})
		return
	}
	request := cellwire.HeartbeatToWire(c.cfg.Cluster, c.cfg.Cell, e.Heartbeat)
	parent := ctx
	c.startRPC(ctx, func(ctx context.Context) {
		client, err := c.peers.client(e.To.Address)
		if err != nil {
			return
		}
		response, err := client.Heartbeat(ctx, request)
		c.metrics.countMessage("heartbeat", err)
		if err != nil {
			// If the process has exited, the probe's connection is refused at once.
			c.probePeer(parent, e.To)
			return
		}
		if from := cellwire.NodeFromWire(response.GetFrom()); from.Name == e.To.Name {
			c.reportReplacedPeer(e.To.Node, from)
		}
		answer, err := cellwire.HeartbeatResponseFromWire(response)
		if err != nil {
			c.log.Warn("malformed heartbeat answer dropped", "peer", e.To.Name, "reason", err.Error())
			return
		}
		c.post(cell.HeartbeatAnswered{Answer: answer})
	})
}

// reportReplacedPeer reports a process as exited if a later one of the same node answers at its
// address.
func (c *Control) reportReplacedPeer(want, got cell.Node) {
	if got.Name == want.Name && want.Incarnation != 0 && got.Incarnation > want.Incarnation {
		c.post(cell.PeerExited{Node: want})
	}
}

func (c *Control) requestPromise(ctx context.Context, e cell.RequestPromise) {
	request := cellwire.PromiseRequestToWire(c.cfg.Cluster, e.Request)
	c.startRPC(ctx, func(ctx context.Context) {
		client, err := c.peers.client(e.To.Address)
		if err != nil {
			return
		}
		response, err := client.Promise(ctx, request)
		c.metrics.countMessage("promise", err)
		if err == nil {
			c.post(cell.PromiseAnswered{Answer: cellwire.PromiseResponseFromWire(response)})
		}
	})
}

func (c *Control) sendPoke(ctx context.Context, e cell.SendPoke) {
	request := cellwire.PokeToWire(c.cfg.Cluster, c.cfg.Cell, e.Poke)
	c.startRPC(ctx, func(ctx context.Context) {
		client, err := c.peers.client(e.To.Address)
		if err != nil {
			return
		}
		_, err = client.Poke(ctx, request)
		c.metrics.countMessage("poke", err)
	})
}
