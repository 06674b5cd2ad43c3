package ownership

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/core/roster"
	"github.com/auburnrelay/auburnrelay/objects"
)

// Key prefixes in the store.
const (
	// NodesPrefix and the name of a node form the key of the node's entry.
	NodesPrefix = "nodes/"
	// TablesPrefix and the name of a service form the key of the service's table of slices.
	TablesPrefix = "tables/"
)

// Entry is the record of a node in the store. Each write of it by the node renews the node's lease.
type Entry struct {
	Name string `json:"name"`
	// Incarnation identifies the process of the node.
	Incarnation string `json:"incarnation"`
	// Address is the host and port to which other nodes send requests.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// LeaseMillis is the length of the lease in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// Renewal counts the writes of this incarnation.
	Renewal int64 `json:"renewal"`
	// Target is the node's local target; nil if none is running.
	Target *Target `json:"target,omitempty"`
	// Suspects are the requests that were in flight when targets crashed, and the bans.
	Suspects []quarantine.Entry `json:"suspects,omitempty"`
	// Stopping is set while the node's process shuts down.
	Stopping bool `json:"stopping,omitempty"`
	// Voters are the nodes whose promises extend the lease while the store is unavailable. A node
	// that takes over before every possible extension has ended needs their consent.
	Voters []string `json:"voters,omitempty"`
	// RevokedBy is the name of the node that revoked the lease after it had lapsed; empty if it is
	// not revoked.
	RevokedBy string `json:"revoked_by,omitempty"`
}

// Target describes a node's local target in the node's entry.
type Target struct {
	ID string `json:"id"`
	// Born is the start time of the target process in Unix milliseconds.
	Born    int64  `json:"born"`
	Service string `json:"service"`
	// Slots is the number of requests that the target processes at a time.
	Slots int `json:"slots"`
	// Draining is set once the target has sent a heartbeat in state draining or a leave call; it
	// gets no new slices and no shared requests.
	Draining bool `json:"draining,omitempty"`
	// FormerEnded is set if the processes of all earlier targets of the node are known to have ended, so that
	// other nodes may remove them from the tables.
	FormerEnded bool `json:"former_ended,omitempty"`
	// Load is the target's load as measured by the node.
	Load holding.Load `json:"load"`
}

func (e *Entry) owner() holding.Owner {
	return holding.Owner{Node: e.Name, Target: e.Target.ID, Born: e.Target.Born}
}

// hasEnded reports whether the entry shows that an owner on its node is a process that has ended.
func (e *Entry) hasEnded(owner holding.Owner) bool {
	return e.Target != nil && e.Target.FormerEnded && owner.Born < e.Target.Born
}

func (e *Entry) lease() time.Duration { return time.Duration(e.LeaseMillis) * time.Millisecond }

// isRenewedBy reports whether other is a different renewal of the lease than e. A revocation keeps
// the renewal number and is not a renewal.
func (e *Entry) isRenewedBy(other *Entry) bool {
	return e.Incarnation != other.Incarnation || e.Renewal != other.Renewal
}

func decodeEntry(o objects.Object) (*Entry, error) {
	var e Entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return nil, errors.Wrapf(err, "decode node entry %q", o.Key)
	}
	if NodesPrefix+e.Name != o.Key || e.Address == "" || e.LeaseMillis <= 0 || e.LeaseMillis > maxLease.Milliseconds() {
		return nil, errors.Newf("invalid node entry %q: name %q, address %q, lease of %d ms", o.Key, e.Name, e.Address, e.LeaseMillis)
	}
	if t := e.Target; t != nil && (t.ID == "" || t.Service == "" || t.Slots < 1 || t.Slots > holding.MaxSlots) {
		return nil, errors.Newf("invalid node entry %q: target %q of service %q with %d slots", o.Key, t.ID, t.Service, t.Slots)
	}
	return &e, nil
}

// maxLease is the longest lease that an entry may name. Leases take a few seconds; a longer one is a mistake of the
// writer that would keep the node's keys from the others.
const maxLease = time.Minute

// peer is the last known entry of a node, this one included.
type peer struct {
	entry   *Entry
	version objects.Version
	watch   holding.LeaseWatch
	// content is the text of the entry without its renewal, if the entry was taken from a listing; nil otherwise.
	content *roster.Content
	// replaced is set if a later entry of another node has the same address: this node's VM is
	// gone for good.
	replaced bool
}

// isLive reports whether the node's lease may still be valid.
func (p *peer) isLive(now time.Duration) bool {
	return p.entry.RevokedBy == "" && !p.replaced && !p.watch.Lapsed(now, p.entry.lease())
}

// address returns the node's address; empty before its entry is known.
func (p *peer) address() string {
	if p.entry == nil {
		return ""
	}
	return p.entry.Address
}
