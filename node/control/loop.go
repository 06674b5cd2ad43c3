package control

import (
	"context"
	"net"
	"time"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/bootclock"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// envelope is an event for the loop. If reply is set, the effect that answers the event is sent
// to it.
type envelope struct {
	event cell.Event
	reply chan<- cell.Effect
}

type sliceKey = keyspace.SliceID

// firstGrant is the time at which this process was first granted the assignment with the fence
// sequence number seq.
type firstGrant struct {
	seq uint64
	at  time.Time
}

// loadInterval is the interval at which the measured load of the slices is reported.
const loadInterval = 500 * time.Millisecond

// statusInterval is the interval at which the result of Status is updated.
const statusInterval = 200 * time.Millisecond

// Run takes part in the cell until ctx is done. It then ends every lease and waits for its calls to
// return. It always returns nil.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.stopped)
	ctx, cancel := context.WithCancel(ctx)
	ticker := time.NewTicker(cell.TickInterval)
	defer ticker.Stop()
	var clock bootclock.JumpDetector
	var loadsAt, statusAt time.Duration
	for {
		select {
		case <-ctx.Done():
			c.endAllLeases()
			cancel()
			c.calls.Wait()
			c.peers.close()
			return nil
		case e := <-c.events:
			c.step(ctx, e)
		case <-ticker.C:
			now := bootclock.Now()
			if clock.Jumped(now, time.Now()) {
				c.step(ctx, envelope{event: cell.ClockJumped{}})
			}
			report := cell.TargetReported{Target: c.localTarget()}
			if now-loadsAt >= loadInterval {
				loadsAt = now
				report.Loads = loadsOf(c.holder.SliceLoads())
			}
			c.step(ctx, envelope{event: report})
			c.step(ctx, envelope{event: cell.Tick{}})
			if now-statusAt >= statusInterval {
				statusAt = now
				c.publishStatus()
			}
		}
	}
}

// localTarget returns the state of the local target. The address is cleared unless its host is the
// one of the node's entry address: another node probes the address, and with a loopback address it
// would probe its own VM and conclude from a refused connection that this target has exited.
func (c *Control) localTarget() cell.Target {
	report := c.holder.Report()
	target, _, _ := net.SplitHostPort(report.Address)
	entry, _, _ := net.SplitHostPort(c.cfg.Self.EntryAddress)
	if target != entry {
		report.Address = ""
	}
	return targetOf(report)
}

// step passes an event to the state machine, followed by the events that its effects produce on
// this node.
func (c *Control) step(ctx context.Context, e envelope) {
	c.apply(ctx, e)
	for len(c.localEvents) > 0 {
		next := c.localEvents[0]
		c.localEvents = c.localEvents[1:]
		c.apply(ctx, envelope{event: next})
	}
}

func (c *Control) apply(ctx context.Context, e envelope) {
	for _, effect := range c.machine.Step(bootclock.Now(), e.event) {
		c.execute(ctx, effect, e.reply)
	}
}

// execute carries out one effect. It must not block the loop.
func (c *Control) execute(ctx context.Context, effect cell.Effect, reply chan<- cell.Effect) {
	switch e := effect.(type) {
	case cell.SendHeartbeat:
		c.sendHeartbeat(ctx, e)
	case cell.AnswerHeartbeat:
		c.deliverAnswer(e, reply)
	case cell.AnswerPromise:
		c.deliverAnswer(e, reply)
	case cell.RequestPromise:
		c.requestPromise(ctx, e)
	case cell.SendPoke:
		c.sendPoke(ctx, e)
	case cell.ReadRecord:
		c.readRecord(ctx)
	case cell.WriteRecord:
		c.writeRecord(ctx, e)
	case cell.Watch:
		c.setWatches(ctx, e.On)
	case cell.AdoptLeases:
		c.adoptLeases(e.Leases)
	case cell.EndLeases:
		c.endLeases(e)
	case cell.AbandonSlices:
		c.abandonSlices(e)
	case cell.DrainSlice:
		c.drainSlice(e)
	case cell.TableChanged:
		c.publishRoutes()
	case cell.ProbePeer:
		c.probePeer(ctx, e.Peer)
	case cell.ProbeTarget:
		c.probeTarget(ctx, e)
	case cell.LeaveDone:
		close(c.leaveDone)
	case cell.Decision:
		c.logDecision(e)
	}
}

// deliverAnswer passes an answer to the waiting RPC handler, or to this node's own state machine.
func (c *Control) deliverAnswer(effect cell.Effect, reply chan<- cell.Effect) {
	if reply != nil {
		reply <- effect
		return
	}
	if a, ok := effect.(cell.AnswerHeartbeat); ok && a.To == nodeOf(c.cfg.Self) {
		c.localEvents = append(c.localEvents, cell.HeartbeatAnswered{Answer: a.Answer})
	}
}

// post queues an event for the loop. The event is dropped if the loop has ended.
func (c *Control) post(event cell.Event) {
	select {
	case c.events <- envelope{event: event}:
	case <-c.stopped:
	}
}

func (c *Control) adoptLeases(leases []cell.AdoptedLease) {
	view := c.machine.View()
	out := make([]plane.Lease, 0, len(leases))
	for _, l := range leases {
		first, ok := c.firstGrants[l.Slice]
		if !ok || first.seq != l.Fence.Seq {
			first = firstGrant{seq: l.Fence.Seq, at: time.Now()}
			c.firstGrants[l.Slice] = first
		}
		out = append(out, plane.Lease{
			Slice: l.Slice, Service: serviceOf(view.Sheet, l.Slice.Range), Fence: l.Fence,
			Until: l.Until, FirstAt: first.at, Window: l.Window,
		})
	}
	c.metrics.leasesAdopted.Add(float64(len(out)))
	c.holder.AdoptLeases(out)
}

func (c *Control) endLeases(e cell.EndLeases) {
	c.metrics.leasesEnded.Add(float64(len(e.Slices)))
	c.log.Warn("leases ended", "slices", len(e.Slices), "first", e.Slices[0].String(), "reason", e.Reason)
	c.forgetFirstGrants(e.Slices)
	c.holder.EndLeases(e.Slices, e.Reason)
}

// abandonSlices gives up slices if the request side can prove that the target holds no valid grant.
func (c *Control) abandonSlices(e cell.AbandonSlices) {
	if !c.holder.Abandon(e.Slices, e.Reason) {
		return
	}
	c.forgetFirstGrants(e.Slices)
	c.localEvents = append(c.localEvents, cell.SlicesAbandoned{Slices: e.Slices})
}

// forgetFirstGrants removes the first-grant times of the slices, so that the next grant gets a new
// one: the request ids seen under the previous grant are no longer known.
func (c *Control) forgetFirstGrants(slices []keyspace.SliceID) {
	for _, id := range slices {
		delete(c.firstGrants, id)
	}
}

// drainSlice hands over a slice together with its window of request ids. The first-grant time is
// removed because a later grant to this process starts without these ids.
func (c *Control) drainSlice(e cell.DrainSlice) {
	delete(c.firstGrants, e.Slice)
	c.holder.Drain(e.Slice, func(window []byte) {
		go c.post(cell.SliceDrained{Slice: e.Slice, Number: e.Number, Window: window})
	})
}

// endAllLeases ends all leases of this node before the process exits: the event ClockJumped makes
// the state machine drop them.
func (c *Control) endAllLeases() {
	for _, effect := range c.machine.Step(bootclock.Now(), cell.ClockJumped{}) {
		if e, ok := effect.(cell.EndLeases); ok {
			c.holder.EndLeases(e.Slices, "the node stops")
		}
	}
}

func (c *Control) logDecision(d cell.Decision) {
	c.metrics.decisions.WithLabelValues(d.What).Inc()
	args := []any{"reason", d.Reason, "about", d.Node}
	if d.Slice != (keyspace.SliceID{}) {
		args = append(args, "slice", d.Slice.String())
	}
	c.log.Info(d.What, args...)
}
