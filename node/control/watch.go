package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/stop"
	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// sheetKey is the key of the accepted sheet in the object store.
	sheetKey = "sheet/current"
	// watchRetryDelay is the delay before a failed watch is restarted.
	watchRetryDelay = 500 * time.Millisecond
)

// setWatches starts or stops the controller's watches of the sheet, the records of the cells and
// the planned stops.
func (c *Control) setWatches(ctx context.Context, enabled bool) {
	if c.cancelWatches != nil {
		c.cancelWatches()
		c.cancelWatches = nil
	}
	if !enabled {
		return
	}
	ctx, c.cancelWatches = context.WithCancel(ctx)
	c.calls.Add(4)
	go c.watchPrefix(ctx, sheetKey, c.sheetChanged)
	go c.watchPrefix(ctx, cellsPrefix, c.cellsChanged)
	go c.watchPrefix(ctx, stop.KeyPrefix, c.stopsChanged)
	go c.runPlannedStops(ctx)
}

// watchPrefix lists the objects with the prefix and then polls for changes, until ctx is done.
// changed receives the complete state after the list and after every change.
func (c *Control) watchPrefix(ctx context.Context, prefix string, changed func(objects.Version, map[string]objects.Object)) {
	defer c.calls.Done()
	for ctx.Err() == nil {
		listing, err := c.list(ctx, prefix)
		if err != nil {
			c.waitAfterError(ctx, prefix, err)
			continue
		}
		objects := make(map[string]objects.Object)
		for _, o := range listing.Objects {
			objects[o.Key] = o
		}
		changed(listing.Version, objects)
		c.pollChanges(ctx, prefix, listing.Version, objects, changed)
	}
}

func (c *Control) list(ctx context.Context, prefix string) (objects.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := c.store.List(ctx, prefix)
	c.metrics.countStoreCall("list", err)
	return listing, errors.Wrap(err, "list objects")
}

// pollChanges applies changes to objects until a poll fails. The caller then lists the objects
// again.
func (c *Control) pollChanges(ctx context.Context, prefix string, after objects.Version, objects map[string]objects.Object, changed func(objects.Version, map[string]objects.Object)) {
	for ctx.Err() == nil {
		batch, err := c.store.Poll(ctx, prefix, after)
		c.metrics.countStoreCall("poll", err)
		if err != nil {
			c.waitAfterError(ctx, prefix, err)
			return
		}
		if batch.Reset {
			clear(objects)
		}
		for _, e := range batch.Events {
			applyEvent(objects, e)
		}
		after = max(after, batch.Next)
		if len(batch.Events) > 0 || batch.Reset {
			changed(after, objects)
		}
	}
}

// applyEvent applies a change unless a newer version of the object is already present.
func applyEvent(objects map[string]objects.Object, e objects.Event) {
	if old, ok := objects[e.Object.Key]; ok && old.Version > e.Object.Version {
		return
	}
	if e.Deleted {
		delete(objects, e.Object.Key)
		return
	}
	objects[e.Object.Key] = e.Object
}

func (c *Control) waitAfterError(ctx context.Context, prefix string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.log.Warn("objects not read from the store, retrying", "prefix", prefix, "reason", err.Error())
	select {
	case <-time.After(watchRetryDelay):
	case <-ctx.Done():
	}
}

// storedSheet is the part of the stored sheet that the control side reads.
type storedSheet struct {
	Layout keyspace.Layout `json:"layout"`
}

func (c *Control) sheetChanged(_ objects.Version, objects map[string]objects.Object) {
	o, ok := objects[sheetKey]
	if !ok {
		return
	}
	var sheet storedSheet
	if err := json.Unmarshal(o.Value, &sheet); err != nil {
		c.log.Error("sheet not decoded", "reason", err.Error(), "version", int64(o.Version))
		return
	}
	sheet.Layout.Version = int64(o.Version)
	c.post(cell.SheetRead{Layout: &sheet.Layout})
}

func (c *Control) cellsChanged(version objects.Version, objects map[string]objects.Object) {
	e := cell.CellsRead{Version: int64(version)}
	for key, o := range objects {
		if key == c.recordKey() || !strings.HasPrefix(key, cellsPrefix) {
			continue
		}
		record, err := cell.DecodeRecord(o.Value)
		if err != nil {
			c.log.Error("record of another cell not decoded", "key", key, "reason", err.Error())
			return
		}
		e.Cells = append(e.Cells, record.Summary())
	}
	slices.SortFunc(e.Cells, func(a, b cell.OtherCell) int { return strings.Compare(a.Cell, b.Cell) })
	c.post(e)
}
