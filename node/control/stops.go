package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
)

// stopsInterval is the interval at which the controller advances the planned stops.
const stopsInterval = time.Second

// storedProgress is a stored progress and its object version.
type storedProgress struct {
	stop.Progress
	version objects.Version
}

// stopsChanged decodes and keeps the planned stops that operators have written.
func (c *Control) stopsChanged(_ objects.Version, objects map[string]objects.Object) {
	stops := []stop.Stop{}
	for key, object := range objects {
		s, err := stop.Decode(object.Value)
		if err != nil {
			c.log.Error("planned stop not decoded", "key", key, "reason", err.Error())
			continue
		}
		stops = append(stops, s)
	}
	c.stopsMu.Lock()
	defer c.stopsMu.Unlock()
	c.stops = stops
}

// runPlannedStops drains the nodes affected by planned stops and stores the cell's progress. It
// runs while the node is the controller of its cell.
func (c *Control) runPlannedStops(ctx context.Context) {
	defer c.calls.Done()
	ticker := time.NewTicker(stopsInterval)
	defer ticker.Stop()
	var progress map[string]storedProgress
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.stopsMu.Lock()
		stops := c.stops
		c.stopsMu.Unlock()
		if len(stops) == 0 {
			c.post(cell.StopsRead{})
			continue
		}
		if progress == nil {
			progress = c.readProgress(ctx)
		}
		if progress != nil && !c.advanceStops(ctx, stops, progress) {
			progress = nil
		}
	}
}

// readProgress returns the cell's progress by stop id; nil if the store cannot be read.
func (c *Control) readProgress(ctx context.Context) map[string]storedProgress {
	listing, err := c.list(ctx, stop.ProgressPrefix)
	if err != nil {
		c.waitAfterError(ctx, stop.ProgressPrefix, err)
		return nil
	}
	progress := map[string]storedProgress{}
	for _, object := range listing.Objects {
		p, err := stop.DecodeProgress(object.Value)
		if err == nil && p.Cell == c.cfg.Cell {
			progress[p.ID] = storedProgress{Progress: p, version: object.Version}
		}
	}
	return progress
}

// advanceStops advances each planned stop once and asks the state machine to drain the nodes
// concerned. It returns false if the stored progress has to be read again.
func (c *Control) advanceStops(ctx context.Context, stops []stop.Stop, progress map[string]storedProgress) bool {
	status := c.Status()
	if !status.HasAuthority {
		return true
	}
	now := time.Now()
	loads := loadsOfMembers(status)
	for _, s := range stops {
		previous := progress[s.ID]
		next, shouldWrite := stop.UpdateProgress(s, previous.Progress, c.cfg.Cell, loads, now)
		if !shouldWrite {
			continue
		}
		version, err := c.putProgress(ctx, next, previous.version)
		if err != nil {
			c.log.Warn("progress of a planned stop not written", "stop", s.ID, "reason", err.Error())
			return false
		}
		progress[s.ID] = storedProgress{Progress: next, version: version}
	}
	c.post(cell.StopsRead{Drain: nodesToDrain(stops, progress, loads, now)})
	return true
}

func nodesToDrain(stops []stop.Stop, progress map[string]storedProgress, loads []stop.MemberLoad, now time.Time) []string {
	var all []stop.Progress
	for _, p := range progress {
		all = append(all, p.Progress)
	}
	members := make([]stop.Member, 0, len(loads))
	for _, load := range loads {
		members = append(members, load.Member)
	}
	return stop.MembersToDrain(stops, all, members, now)
}

// putProgress stores a progress. If the answer of the store is lost, reading the progress again
// shows whether the write took effect.
func (c *Control) putProgress(ctx context.Context, p stop.Progress, expected objects.Version) (objects.Version, error) {
	value, err := p.Encode()
	if err != nil {
		return 0, errors.Wrap(err, "encode progress of planned stop")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := c.store.Put(ctx, stop.ProgressKey(p.ID, p.Cell), value, expected, ulid.Make().String())
	c.metrics.countStoreCall("put", err)
	return version, errors.Wrap(err, "write progress of planned stop")
}

// loadsOfMembers converts the members of the status to the loads that stop.UpdateProgress expects.
func loadsOfMembers(status Status) []stop.MemberLoad {
	loads := make([]stop.MemberLoad, 0, len(status.Members))
	for _, m := range status.Members {
		loads = append(loads, stop.MemberLoad{
			Member: stop.Member{
				Name: m.Peer.Name, Incarnation: m.Peer.Incarnation, TargetProcess: m.Peer.Target.Incarnation,
				Region: m.Peer.Region, FailureDomain: m.Peer.FailureDomain, Cell: m.Peer.Cell,
			},
			Slices: m.Slices, InFlight: m.Peer.Target.InFlight,
		})
	}
	return loads
}
