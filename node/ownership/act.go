package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// watchLoop follows the tables.
func (o *Ownership) watchLoop(ctx context.Context) {
	watcher, ok := o.store.(interface {
		Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error
	})
	if !ok {
		panic("the store has no watch")
	}
	_ = watcher.Watch(ctx, TablesPrefix, func(b objects.Batch) {
		for _, e := range b.Events {
			if !e.Deleted {
				o.learnTable(e.Object)
			}
		}
	})
}

// learnTable takes in a table if it is newer than what is known.
func (o *Ownership) learnTable(object objects.Object) {
	t, err := holding.Decode(object.Value)
	if err != nil {
		o.cfg.Log.Warn("table ignored", "key", object.Key, "cause", err.Error())
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.tables[t.Service]
	if TablesPrefix+t.Service != object.Key || known != nil && known.version >= object.Version {
		return
	}
	o.tables[t.Service] = &table{Table: t, version: object.Version}
	o.cfg.Log.Info("table read", "service", t.Service, "version", int64(object.Version), "fence", t.Fence)
	o.rebuild(o.cfg.Clock())
	signal(o.kick)
}

// actLoop does what this node has to do for the tables, one write at a time.
func (o *Ownership) actLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, o.cfg.Timing.Act, o.kick)
		for _, service := range o.keyedServices() {
			o.act(ctx, service)
		}
	}
}

// keyedServices returns the services of the live targets and of the tables that are divided by
// key.
func (o *Ownership) keyedServices() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var services []string
	add := func(s string) {
		if o.cfg.IsKeyed(s) && !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	for _, p := range o.peers {
		if p.entry.Target != nil {
			add(p.entry.Target.Service)
		}
	}
	for s := range o.tables {
		add(s)
	}
	slices.Sort(services)
	return services
}

// change is a table as it shall be written.
type change struct {
	table    *holding.Table
	expected objects.Version
	reasons  []string
	// proves tells that the write proves the lease.
	proves bool
	// revoke are the nodes whose leases must be revoked first.
	revoke []peer
}

func (o *Ownership) act(ctx context.Context, service string) {
	c := o.plan(service)
	if c == nil {
		return
	}
	for _, p := range c.revoke {
		if !o.revoke(ctx, p) || !o.mayTake(ctx, p.entry.Name) {
			return
		}
	}
	value, err := c.table.Encode()
	if err != nil {
		panic("table cannot be encoded: " + err.Error())
	}
	version, err := o.put(ctx, TablesPrefix+service, value, c.expected)
	if err != nil {
		o.cfg.Log.Warn("table not written", "service", service, "expected", int64(c.expected),
			"reasons", strings.Join(c.reasons, ","), "cause", err.Error())
		o.reread(ctx, service)
		return
	}
	o.cfg.Log.Info("table written", "service", service, "version", int64(version), "fence", c.table.Fence,
		"reasons", strings.Join(c.reasons, ","))
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.tables[service]; known == nil || known.version < version {
		o.tables[service] = &table{Table: c.table, version: version}
	}
	delete(o.planSince, service)
	if c.proves {
		o.lease.Prove()
	}
	o.rebuild(o.cfg.Clock())
}

// reread reads a table after a write that failed or whose outcome is not known.
func (o *Ownership) reread(ctx context.Context, service string) {
	object, err := o.get(ctx, TablesPrefix+service)
	if err == nil {
		o.learnTable(object)
	} else if !errors.Is(err, objects.ErrNotFound) {
		wait(ctx, retryPause, nil)
	}
}

// plan returns the change that this node should make to the table of a service, or nil.
func (o *Ownership) plan(service string) *change {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &change{table: holding.NewTable(service)}
	if t := o.tables[service]; t != nil {
		c.table, c.expected = t.Clone(), t.version
	}
	o.planOwn(c, service, now)
	o.planProof(c, service, now)
	o.planOthers(c, service, now)
	if len(c.reasons) == 0 {
		return nil
	}
	return c
}

func (c *change) because(changed bool, reason string) {
	if changed && !slices.Contains(c.reasons, reason) {
		c.reasons = append(c.reasons, reason)
	}
}

// planOwn plans what only this node can know: what its target released, and which lives of its
// target are over.
func (o *Ownership) planOwn(c *change, service string, now time.Duration) {
	t := o.tables[service]
	if t == nil {
		return
	}
	if l := o.life; l != nil && l.report.Service == service {
		for slice, token := range o.releasable(t, l, now) {
			c.table.Release(slice, token)
			c.because(true, "released")
		}
	}
	if l := o.life; l != nil && l.report.Service == service && !l.isGone(now, o.cfg.Timing.Silence) {
		c.because(c.table.Revive(l.owner(o.cfg.Self.Name)), "target back")
	}
	freed := false
	for _, owner := range t.Owners {
		if owner.Node == o.cfg.Self.Name && o.isOver(owner, now) {
			c.table.Bury(owner)
			freed = c.table.Free(owner) || freed
		}
	}
	if freed {
		c.because(true, "target gone")
		c.because(c.table.Assign(o.candidates(service, now)), "assigned")
	}
}

// isOver reports whether a life of this node's target can hold no key any more.
func (o *Ownership) isOver(owner holding.Owner, now time.Duration) bool {
	if l := o.life; l != nil && l.owner(o.cfg.Self.Name) == owner {
		return l.dead || l.isLapsed(now) && (l.left || l.isGone(now, o.cfg.Timing.Silence))
	}
	for _, l := range o.former {
		if l.owner(o.cfg.Self.Name) == owner {
			return l.isLapsed(now)
		}
	}
	// Beside a node stands one target: that a later one reports proves that an earlier one, which
	// only a former process of this node knew, has ended.
	if l := o.life; l != nil && l.report.Born > owner.Born {
		return true
	}
	// A life that only a former process of this node knew: its grants lapsed with that
	// process's lease.
	return now > o.started+holding.Stretch(max(o.cfg.Timing.Lease, o.cfg.Timing.Silence))
}

// planProof plans the write that proves a lease which was taken anew.
func (o *Ownership) planProof(c *change, service string, now time.Duration) {
	if o.lease.Proved() || !o.lease.Valid(now) || o.life == nil || o.life.report.Service != service {
		return
	}
	c.proves = true
	if o.tables[service] != nil {
		c.because(true, "lease taken anew")
	}
}

// planOthers plans what any node may do: free the slices of lost nodes, assign and move slices.
func (o *Ownership) planOthers(c *change, service string, now time.Duration) {
	lost := o.lostOwners(c.table, now)
	candidates := o.candidates(service, now)
	if c.table.IsMoving() {
		o.movedAt[service] = now
	}
	settled := now-o.movedAt[service] >= o.cfg.Timing.Settle
	if len(lost) == 0 && !c.table.Needs(candidates, o.cfg.AnswerSize, settled) {
		delete(o.planSince, service)
		return
	}
	since, waiting := o.planSince[service]
	if !waiting {
		since = now
		o.planSince[service] = now
	}
	if now-since < o.planDelay(c, candidates, now) {
		return
	}
	for owner, p := range lost {
		c.because(c.table.Free(owner), "node lost: "+owner.Node)
		if p != nil {
			c.revoke = append(c.revoke, *p)
		}
	}
	c.because(c.table.Assign(candidates), "assigned")
	c.because(c.table.Evacuate(candidates), "leaving targets relieved")
	c.because(c.table.Move(candidates, settled), "moved")
	c.because(c.table.Level(candidates, o.cfg.AnswerSize), "tokens levelled")
}

// planDelay is how long this node leaves a need to others.
func (o *Ownership) planDelay(c *change, candidates []holding.Candidate, now time.Duration) time.Duration {
	delay := time.Duration(o.rank(now)) * o.cfg.Timing.Rank
	if c.table.Fence == 0 && len(candidates) > 0 {
		delay += o.cfg.Timing.Gather
	}
	return delay
}

// rank is the number of live nodes before this one in the order of names.
func (o *Ownership) rank(now time.Duration) int {
	before := 0
	for name, p := range o.peers {
		if name < o.cfg.Self.Name && p.isLive(o.knownAt(now)) && !p.entry.Stopping {
			before++
		}
	}
	return before
}

// lostOwners returns the owners whose node's lease is over, with the node's entry; nil if there
// is no entry.
func (o *Ownership) lostOwners(t *holding.Table, now time.Duration) map[holding.Owner]*peer {
	lost := make(map[holding.Owner]*peer)
	for i := range t.Slices {
		for _, find := range []func(int) (holding.Owner, bool){t.OwnerOf, t.NextOf} {
			owner, ok := find(i)
			if !ok || owner.Node == o.cfg.Self.Name {
				continue
			}
			p := o.peers[owner.Node]
			if p == nil {
				if now-o.started > holding.Stretch(o.cfg.Timing.Lease) {
					lost[owner] = &peer{entry: &Entry{Name: owner.Node}}
				}
			} else if !p.isLive(o.knownAt(now)) {
				lost[owner] = p
			}
		}
	}
	return lost
}

// candidates returns the live targets of a service in the order of their nodes' names.
func (o *Ownership) candidates(service string, now time.Duration) []holding.Candidate {
	var found []holding.Candidate
	for name, p := range o.peers {
		if name == o.cfg.Self.Name && (o.life == nil || o.life.isGone(now, o.cfg.Timing.Silence)) {
			continue
		}
		if p.entry.Target != nil && p.entry.Target.Service == service && p.isLive(o.knownAt(now)) {
			t := p.entry.Target
			found = append(found, holding.Candidate{
				Owner: p.entry.owner(), Leaving: t.Draining, Capacity: t.Load.Capacity, Rate: t.Load.Rate, Hot: t.Load.Hot,
			})
		}
	}
	slices.SortFunc(found, func(a, b holding.Candidate) int { return strings.Compare(a.Owner.Node, b.Owner.Node) })
	return found
}

// revoke ends the lapsed lease of a node, so that no renewal under way takes effect. The table
// that is written next was read before, so that a node that takes its lease anew meanwhile makes
// that write fail.
func (o *Ownership) revoke(ctx context.Context, p peer) bool {
	name := p.entry.Name
	object, err := o.get(ctx, NodesPrefix+name)
	if errors.Is(err, objects.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	now := o.cfg.Clock()
	entry, err := decodeEntry(object)
	if err != nil {
		o.cfg.Log.Warn("entry of a lost node cannot be read", "peer", name, "cause", err.Error())
		return false
	}
	if entry.RevokedBy != "" {
		return true
	}
	if object.Version != p.version {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.observe(entry, object.Version, now)
		o.rebuild(now)
		return false
	}
	revoked := *entry
	revoked.RevokedBy = o.cfg.Self.Name
	value, err := json.Marshal(revoked)
	if err != nil {
		panic("entry cannot be encoded: " + err.Error())
	}
	version, err := o.put(ctx, NodesPrefix+name, value, object.Version)
	if err != nil {
		o.cfg.Log.Warn("lease not revoked", "peer", name, "cause", err.Error())
		return false
	}
	o.cfg.Log.Warn("lease revoked", "peer", name, "version", int64(version), "silent_ms", (now - p.watch.Seen).Milliseconds())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observe(&revoked, version, o.cfg.Clock())
	return true
}
