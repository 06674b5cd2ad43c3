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

// watchLoop watches the tables in the store until the context ends.
func (o *Ownership) watchLoop(ctx context.Context) {
	watcher, ok := o.store.(interface {
		Watch(ctx context.Context, prefix string, deliver func(objects.Batch)) error
	})
	if !ok {
		panic("the store has no Watch method")
	}
	_ = watcher.Watch(ctx, TablesPrefix, func(b objects.Batch) {
		for _, e := range b.Events {
			if !e.Deleted {
				o.learnTable(e.Object)
			}
		}
	})
}

// learnTable replaces the cached table of a service if the object is a newer version of it.
func (o *Ownership) learnTable(object objects.Object) {
	t, err := holding.Decode(object.Value)
	if err != nil {
		o.cfg.Log.Warn("malformed table ignored", "key", object.Key, "cause", err.Error())
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

// actLoop plans and writes the changes that the tables need, one write at a time.
func (o *Ownership) actLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, o.cfg.Timing.Act, o.kick)
		for _, service := range o.keyedServices() {
			o.act(ctx, service)
		}
	}
}

// keyedServices returns the keyed services among those that have a target or a table, sorted.
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

// change is a planned conditional write of a table.
type change struct {
	table    *holding.Table
	expected objects.Version
	reasons  []string
	// proves is set if the write proves the lease (see holding.Lease.Prove).
	proves bool
	// revoke lists the nodes whose leases must be revoked before the write.
	revoke []peer
}

// act plans one change to the table of a service, revokes the leases of the owners that it removes
// and writes the table.
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
		panic("cannot encode table: " + err.Error())
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

// reread reads a table again after a write that failed or whose outcome is unknown.
func (o *Ownership) reread(ctx context.Context, service string) {
	object, err := o.get(ctx, TablesPrefix+service)
	if err == nil {
		o.learnTable(object)
	} else if !errors.Is(err, objects.ErrNotFound) {
		wait(ctx, retryPause, nil)
	}
}

// plan returns the change that this node should make to the table of a service, or nil if there is
// none.
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

// because adds a reason for the write if the table changed.
func (c *change) because(changed bool, reason string) {
	if changed && !slices.Contains(c.reasons, reason) {
		c.reasons = append(c.reasons, reason)
	}
}

// planOwn plans the changes that only this node can decide: the slices that its target has
// released, and those of its target's processes that have ended.
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
		c.because(c.table.Revive(l.owner(o.cfg.Self.Name)), "target returned")
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

// isOver reports whether a process of this node's target can no longer hold any key.
func (o *Ownership) isOver(owner holding.Owner, now time.Duration) bool {
	if l := o.life; l != nil && l.owner(o.cfg.Self.Name) == owner {
		return l.dead || l.isLapsed(now) && (l.left || l.isGone(now, o.cfg.Timing.Silence))
	}
	for _, l := range o.former {
		if l.owner(o.cfg.Self.Name) == owner {
			return l.isLapsed(now)
		}
	}
	// A node has one local target at a time: a report of a later target process proves that an
	// earlier one has ended, even if only a former process of this node knew it.
	if l := o.life; l != nil && l.report.Born > owner.Born {
		return true
	}
	// Only a former process of this node knew this target process: its grants lapsed with the
	// lease of that process.
	return now > o.started+holding.Stretch(max(o.cfg.Timing.Lease, o.cfg.Timing.Silence))
}

// planProof plans the write that proves the lease, unless that was done since the lease was acquired.
func (o *Ownership) planProof(c *change, service string, now time.Duration) {
	if o.lease.Proved() || !o.lease.Valid(now) || o.life == nil || o.life.report.Service != service {
		return
	}
	c.proves = true
	if o.tables[service] != nil {
		c.because(true, "lease reacquired")
	}
}

// planOthers plans the changes that any node may make: it frees the slices of lost nodes, and
// assigns and moves slices.
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
	c.because(c.table.Evacuate(candidates), "leaving targets evacuated")
	c.because(c.table.Move(candidates, settled), "moved")
	c.because(c.table.Level(candidates, o.cfg.AnswerSize), "fences unified")
}

// planDelay returns how long this node waits for the nodes before it to make a needed change.
func (o *Ownership) planDelay(c *change, candidates []holding.Candidate, now time.Duration) time.Duration {
	delay := time.Duration(o.rank(now)) * o.cfg.Timing.Rank
	if c.table.Fence == 0 && len(candidates) > 0 {
		delay += o.cfg.Timing.Gather
	}
	return delay
}

// rank returns the number of live nodes, other than stopping ones, whose names sort before this
// node's.
func (o *Ownership) rank(now time.Duration) int {
	before := 0
	for name, p := range o.peers {
		if name < o.cfg.Self.Name && p.isLive(o.knownAt(now)) && !p.entry.Stopping {
			before++
		}
	}
	return before
}

// lostOwners returns the owners whose node no longer has a lease, each with what is known of that
// node. The lease of a node without an entry counts as lapsed once this process has run for longer
// than a lease.
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

// candidates returns the targets of a service whose nodes are live, sorted by node name.
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

// revoke revokes the lapsed lease of a node by a conditional write of its entry, so that a renewal
// in flight fails. The caller has read the table before and writes it afterwards: a node that
// acquires its lease again in between writes the table and makes that write fail.
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
		o.cfg.Log.Warn("malformed entry of a lost node", "peer", name, "cause", err.Error())
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
		panic("cannot encode node entry: " + err.Error())
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
