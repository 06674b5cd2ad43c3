package ownership

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// deleteExpiredEntry deletes the entry of a node that has not renewed its lease for
// Timing.EntryExpiry and that owns no slice, since objects in the store don't expire by themselves.
// Only the live node whose name sorts first does so.
func (o *Ownership) deleteExpiredEntry(ctx context.Context) {
	name, version := o.expiredEntry(o.cfg.Clock())
	if name == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// If the node has returned in the meantime, the version has changed and the call fails.
	if err := o.store.Delete(callCtx, NodesPrefix+name, version); err != nil {
		o.cfg.Log.Warn("node entry not deleted", "peer", name, "version", version, "cause", err.Error())
		return
	}
	o.cfg.Log.Info("node entry deleted", "peer", name, "version", version, "reason", "silent")
}

// expiredEntry returns a node whose entry this node should delete, and the entry's version; an empty
// name if there is none.
func (o *Ownership) expiredEntry(now time.Duration) (string, objects.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rank(now) > 0 {
		return "", 0
	}
	for name, p := range o.peers {
		if name != o.cfg.Self.Name && now-p.watch.Seen > holding.AddDrift(o.cfg.Timing.EntryExpiry) && !o.ownsSlices(name) {
			return name, p.version
		}
	}
	return "", 0
}

// ownsSlices reports whether the node owns or is to own a slice of any table. The caller holds the
// lock.
func (o *Ownership) ownsSlices(node string) bool {
	for _, t := range o.tables {
		for i := range t.Slices {
			if owner, ok := t.OwnerOf(i); ok && owner.Node == node {
				return true
			}
			if owner, ok := t.NextOf(i); ok && owner.Node == node {
				return true
			}
		}
	}
	return false
}
