package ownership

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Prefixes of the keys in the store.
const (
	// NodesPrefix is followed by the name of a node: its entry.
	NodesPrefix = "nodes/"
	// TablesPrefix is followed by the name of a service: its table of slices.
	TablesPrefix = "tables/"
)

// Entry is what a node writes of itself. Each renewal of its lease is a write of the entry.
type Entry struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where other nodes send requests.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// LeaseMillis is the length of the lease that a write of the entry renews.
	LeaseMillis int64 `json:"lease_ms"`
	// Renewal counts the writes of this incarnation.
	Renewal int64 `json:"renewal"`
	// Target is the target beside the node; nil if there is none that lives.
	Target *Target `json:"target,omitempty"`
	// Suspects are requests that were in flight as targets ended, and bans.
	Suspects []quarantine.Entry `json:"suspects,omitempty"`
	// Stopping tells that the node's process is about to end.
	Stopping bool `json:"stopping,omitempty"`
	// Voters are the nodes whose promises extend the lease while the store does not answer, and
	// whose consent a node needs that takes over before every extension has ended.
	Voters []string `json:"voters,omitempty"`
	// RevokedBy names the node that ended the lease after it had lapsed.
	RevokedBy string `json:"revoked_by,omitempty"`
}

// Target is what an entry says of the node's target.
type Target struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// Draining tells that the target leaves and takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Load is what the node measured of the target.
	Load holding.Load `json:"load"`
}

func (e *Entry) owner() holding.Owner {
	return holding.Owner{Node: e.Name, Target: e.Target.ID, Born: e.Target.Born}
}

func (e *Entry) lease() time.Duration { return time.Duration(e.LeaseMillis) * time.Millisecond }

// isRenewedBy reports whether other is not the same renewal of the lease as e, revoked or not.
func (e *Entry) isRenewedBy(other *Entry) bool {
	return e.Incarnation != other.Incarnation || e.Renewal != other.Renewal
}

func decodeEntry(o objects.Object) (*Entry, error) {
	var e Entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return nil, errors.Wrapf(err, "entry %q", o.Key)
	}
	if NodesPrefix+e.Name != o.Key || e.Address == "" || e.LeaseMillis <= 0 {
		return nil, errors.Newf("entry %q names %q at %q", o.Key, e.Name, e.Address)
	}
	return &e, nil
}

// peer is what this node knows of a node, itself included.
type peer struct {
	entry   *Entry
	version objects.Version
	watch   holding.Watch
	// replaced tells that a later entry names the node's address: its VM is gone for good.
	replaced bool
}

// isLive reports whether the node's lease may still run.
func (p *peer) isLive(now time.Duration) bool {
	return p.entry.RevokedBy == "" && !p.replaced && !p.watch.Lapsed(now, p.entry.lease())
}
