package ownership

import (
	"context"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// removeForgotten removes the entry of a node that has been silent for long and that no table
// names; nothing in the store expires by itself. The first live node by name does it.
func (o *Ownership) removeForgotten(ctx context.Context) {
	name, version := o.forgotten(o.cfg.Clock())
	if name == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A node that is back meanwhile has changed the version.
	if err := o.store.Delete(call, NodesPrefix+name, version); err != nil {
		o.cfg.Log.Warn("entry not removed", "peer", name, "version", int64(version), "cause", err.Error())
		return
	}
	o.cfg.Log.Info("entry removed", "peer", name, "version", int64(version), "reason", "silent")
}

func (o *Ownership) forgotten(now time.Duration) (string, objects.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rank(now) > 0 {
		return "", 0
	}
	for name, p := range o.peers {
		if name != o.cfg.Self.Name && now-p.watch.Seen > holding.Stretch(o.cfg.Timing.Forget) && !o.isNamed(name) {
			return name, p.version
		}
	}
	return "", 0
}

// isNamed reports whether a table names the node; the caller holds the lock.
func (o *Ownership) isNamed(node string) bool {
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
