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
				o.observeTable(e.Object)
			}
		}
	})
}

// observeTable replaces the cached table of a service if the object is a newer version of it.
func (o *Ownership) observeTable(object objects.Object) {
	t, err := holding.Decode(object.Value)
	if err != nil {
		o.cfg.Log.Warn("malformed table ignored", "key", object.Key, "cause", err.Error())
		return
	}
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.tables[t.Service]
	if TablesPrefix+t.Service != object.Key || known != nil && known.version >= object.Version {
		return
	}
	o.enterEra(object.Version.Era(), now)
	o.setTable(t.Service, o.mergeRestored(known, &table{Table: t, version: object.Version}, now))
	o.cfg.Log.Info("table read", "service", t.Service, "version", object.Version, "fence", t.Fence)
	o.rebuildView(now)
	notify(o.reconcileSoon)
}

// reconcileLoop plans and writes the changes that the tables need, one write at a time.
func (o *Ownership) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, o.cfg.Timing.ReconcileInterval, o.reconcileSoon)
		for _, service := range o.keyedServices() {
			o.reconcile(ctx, service)
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

// reasonTargetGone is the reason for a write that removes owners whose processes have ended.
const reasonTargetGone = "target gone"

// tableChange is a planned conditional write of a table.
type tableChange struct {
	table    *holding.Table
	expected objects.Version
	// isNew is set if no table of the service is known.
	isNew   bool
	reasons []string
	// provesLease is set if the write proves the lease (see holding.Lease.Prove).
	provesLease bool
	// revokeFirst lists the nodes whose leases must be revoked before the write.
	revokeFirst []peer
}

// reconcile plans one change to the table of a service, revokes the leases of the owners that it
// removes and writes the table.
func (o *Ownership) reconcile(ctx context.Context, service string) {
	change := o.plan(service)
	if change == nil {
		return
	}
	for _, p := range change.revokeFirst {
		if !o.revokeLease(ctx, p) || !o.mayTakeOver(ctx, p.entry.Name) {
			return
		}
	}
	value, err := change.table.Encode()
	if err != nil {
		panic("cannot encode table: " + err.Error())
	}
	version, err := o.put(ctx, TablesPrefix+service, value, change.expected)
	if err != nil {
		o.cfg.Log.Warn("table not written", "service", service, "expected", change.expected,
			"reasons", strings.Join(change.reasons, ","), "cause", err.Error())
		o.mu.Lock()
		if errors.Is(err, objects.ErrUnknownOutcome) {
			o.dropReleased(change.table)
		}
		if errors.Is(err, objects.ErrConflict) && slices.Contains(change.reasons, reasonTargetGone) {
			o.goneLeftUntil[service] = o.cfg.Clock() + 2*o.cfg.Timing.EntryReadInterval
		}
		o.mu.Unlock()
		o.rereadTable(ctx, service)
		return
	}
	o.cfg.Log.Info("table written", "service", service, "version", version, "fence", change.table.Fence,
		"reasons", strings.Join(change.reasons, ","))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.enterEra(version.Era(), o.cfg.Clock())
	written := &table{Table: change.table, version: version}
	if known := o.tables[service]; known == nil || known.version < version {
		o.setTable(service, written)
	}
	delete(o.planNeededSince, service)
	if change.provesLease && written.isCurrent() {
		o.lease.Prove()
	}
	o.rebuildView(o.cfg.Clock())
}

// rereadTable reads a table again after a write that failed or whose outcome is unknown.
func (o *Ownership) rereadTable(ctx context.Context, service string) {
	object, err := o.get(ctx, TablesPrefix+service)
	switch {
	case err == nil:
		o.observeTable(object)
	case errors.Is(err, objects.ErrNotFound):
		o.observeLostTable(service)
	default:
		wait(ctx, retryPause, nil)
	}
}

// plan returns the change that this node should make to the table of a service, or nil if there is
// none.
func (o *Ownership) plan(service string) *tableChange {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	change := &tableChange{}
	t := o.tables[service]
	if t != nil {
		change.table, change.expected = t.Clone(), t.version
	} else {
		change.table, change.isNew = holding.NewTableInEra(service, o.era), true
		o.recordUnknownTable(change.table)
	}
	if t != nil && !t.isCurrent() {
		o.planEra(change, service, now)
	} else {
		o.planClaims(change, service, now)
		o.planLocal(change, service, now)
		o.planLeaseProof(change, service, now)
		o.planShared(change, service, now)
	}
	if len(change.reasons) == 0 {
		return nil
	}
	return change
}

// addReason adds a reason for the write if the table changed.
func (c *tableChange) addReason(changed bool, reason string) {
	if changed && !slices.Contains(c.reasons, reason) {
		c.reasons = append(c.reasons, reason)
	}
}

// planLocal plans the changes that only this node can decide: the slices that its target has
// released, and those of its target's processes that have ended.
func (o *Ownership) planLocal(change *tableChange, service string, now time.Duration) {
	t := o.tables[service]
	if t == nil {
		return
	}
	if process := o.target; process != nil && process.report.Service == service {
		for slice, token := range o.releasable(t, process, now) {
			change.table.Release(slice, token)
			change.addReason(true, "released")
		}
	}
	if process := o.target; process != nil && process.report.Service == service && !process.isAbsent(now, o.cfg.Timing.TargetTimeout) {
		change.addReason(change.table.UnmarkGone(process.owner(o.cfg.Self.Name)), "target returned")
	}
	if now < o.goneLeftUntil[service] && o.haveFormerTargetsEnded() {
		return
	}
	removed := make(map[int]bool)
	for _, owner := range t.Owners {
		if owner.Node == o.cfg.Self.Name && o.hasEnded(owner, now) {
			change.table.MarkGone(owner)
			change.table.RemoveOwnerFrom(owner, func(slice int) bool {
				if holder, ok := t.OwnerOf(slice); !ok || holder != owner {
					return true
				}
				if o.isCertain(service, owner, slice) {
					removed[slice] = true
				}
				return removed[slice]
			})
		}
	}
	if len(removed) > 0 {
		change.addReason(true, reasonTargetGone)
		isRemoved := func(slice int) bool { return change.table.IsSettled() || removed[slice] }
		change.addReason(change.table.AssignFrom(o.candidates(service, now), isRemoved), "assigned")
	}
}

// hasEnded reports whether a process of this node's target can no longer hold any key.
func (o *Ownership) hasEnded(owner holding.Owner, now time.Duration) bool {
	if process := o.target; process != nil && process.owner(o.cfg.Self.Name) == owner {
		return process.ended || process.grantsLapsed(now) && (process.left || process.isAbsent(now, o.cfg.Timing.TargetTimeout))
	}
	for _, process := range o.formerTargets {
		if process.owner(o.cfg.Self.Name) == owner {
			return process.grantsLapsed(now)
		}
	}
	// A node has one local target at a time: a report of a later target process proves that an
	// earlier one has ended, even if only a former process of this node knew it.
	if process := o.target; process != nil && process.report.Born > owner.Born && process.provesEarlierEnded() {
		return true
	}
	// Only a former process of this node knew this target process: its grants lapsed with the
	// lease of that process.
	return now > o.started+holding.AddDrift(max(o.cfg.Timing.Lease, o.cfg.Timing.TargetTimeout))
}

// planLeaseProof plans the write that proves the lease, unless the table was written since the lease was
// acquired.
func (o *Ownership) planLeaseProof(change *tableChange, service string, now time.Duration) {
	if o.lease.Proved() || !o.lease.Valid(now) || o.target == nil || o.target.report.Service != service {
		return
	}
	t := o.tables[service]
	if t != nil && o.provesLease(t) {
		o.lease.Prove()
		o.cfg.Log.Info("lease proved", "by", t.version, "acquired", o.acquiredAt)
		return
	}
	change.provesLease = true
	if t != nil {
		change.addReason(true, "lease reacquired")
	}
}

// provesLease reports whether the table was written, by any node, after this node acquired its lease. A node
// that took over from this one read the table before it revoked the lease, so before the lease was acquired:
// its write of the table is conditional on an earlier version and fails. Versions of all objects come from one
// counter of the store.
func (o *Ownership) provesLease(t *table) bool {
	return o.acquiredAt != 0 && o.acquiredAt.Era() == o.era && t.version.Era() == o.era && t.isCurrent() && t.version > o.acquiredAt
}

// planShared plans the changes that any node may make: it removes owners at lost nodes and those that have ended,
// and assigns and moves slices.
func (o *Ownership) planShared(change *tableChange, service string, now time.Duration) {
	var lost map[holding.Owner]*peer
	if change.table.IsSettled() {
		lost = o.lostOwners(change.table, now)
	}
	if change.table.IsMoving() {
		o.movingSeenAt[service] = now
	}
	settled := now-o.movingSeenAt[service] >= o.cfg.Timing.SettleTime
	rank := o.rank(now)
	if len(lost) == 0 && !o.needsChange(change.table, service, settled, rank, now) {
		delete(o.planNeededSince, service)
		return
	}
	since, waiting := o.planNeededSince[service]
	if !waiting {
		since = now
		o.planNeededSince[service] = now
	}
	candidates := o.candidates(service, now)
	if now-since < o.planDelay(change, candidates, rank) {
		return
	}
	for owner, p := range lost {
		if p == nil {
			change.addReason(change.table.RemoveOwner(owner), reasonTargetGone)
			continue
		}
		change.addReason(change.table.RemoveOwner(owner), "node lost: "+owner.Node)
		change.revokeFirst = append(change.revokeFirst, *p)
	}
	if change.table.IsSettled() {
		change.addReason(change.table.Assign(candidates), "assigned")
	}
	change.addReason(change.table.Evacuate(candidates), "leaving targets evacuated")
	change.addReason(change.table.Move(candidates, settled), "moved")
	if change.table.IsSettled() {
		change.addReason(change.table.MergeGrants(candidates, o.cfg.ResponseLimit), "grants merged")
	}
}

// planCheck is the result of a check whether a table needs a change that any node may make.
type planCheck struct {
	at     time.Duration
	needed bool
}

// needsChange reports whether slices of a table are to be assigned or moved. The first node checks the present
// state; each other one repeats its check only in half the time for which it leaves the change to the nodes
// before it. Otherwise the work of all nodes together would grow with the square of their number.
func (o *Ownership) needsChange(t *holding.Table, service string, settled bool, rank int, now time.Duration) bool {
	last, checked := o.planChecks[service]
	if checked && now-last.at < time.Duration(rank)*o.cfg.Timing.RankDelay/2 {
		return last.needed
	}
	needed := t.NeedsChange(o.candidates(service, now), o.cfg.ResponseLimit, settled)
	o.planChecks[service] = planCheck{now, needed}
	return needed
}

// planDelay returns how long the node of the given rank leaves a needed change to the live nodes whose names
// sort before its own. The first assignment of a service also waits for further targets.
func (o *Ownership) planDelay(change *tableChange, candidates []holding.Candidate, rank int) time.Duration {
	delay := time.Duration(rank) * o.cfg.Timing.RankDelay
	if change.isNew && len(candidates) > 0 {
		delay += o.cfg.Timing.InitialAssignDelay
	}
	return delay
}

// rank returns the number of live nodes, other than stopping ones, whose names sort before this
// node's.
func (o *Ownership) rank(now time.Duration) int {
	before := 0
	knownAt := o.entriesKnownAt(now)
	for name, p := range o.peers {
		if name < o.cfg.Self.Name && p.isLive(knownAt) && !p.entry.Stopping {
			before++
		}
	}
	return before
}

// lostOwners returns the owners that are to be removed: those whose node no longer has a lease, each with what is
// known of that node, and those whose node says that they have ended, each with nil. The lease of a node without
// an entry counts as lapsed once this process has run for longer than a lease.
func (o *Ownership) lostOwners(t *holding.Table, now time.Duration) map[holding.Owner]*peer {
	lost := make(map[holding.Owner]*peer)
	knownAt := o.entriesKnownAt(now)
	for _, owner := range t.OwnersInUse() {
		if owner.Node == o.cfg.Self.Name {
			continue
		}
		p := o.peers[owner.Node]
		switch {
		case p == nil:
			if now-o.started > holding.AddDrift(o.cfg.Timing.Lease) {
				lost[owner] = &peer{entry: &Entry{Name: owner.Node}}
			}
		case p.entry.hasEnded(owner):
			lost[owner] = nil
		case !p.isLive(knownAt):
			lost[owner] = p
		}
	}
	return lost
}

// candidates returns the targets of a service whose nodes are live, sorted by node name. Those that may not own keys
// and those in evacuated failure domains count as leaving.
func (o *Ownership) candidates(service string, now time.Duration) []holding.Candidate {
	var found []holding.Candidate
	knownAt := o.entriesKnownAt(now)
	for name, p := range o.peers {
		if name == o.cfg.Self.Name && (o.target == nil || o.target.isAbsent(now, o.cfg.Timing.TargetTimeout)) {
			continue
		}
		if p.entry.Target != nil && p.entry.Target.Service == service && p.isLive(knownAt) {
			t := p.entry.Target
			found = append(found, holding.Candidate{
				Owner: p.entry.owner(), Leaving: t.Draining || o.isEvacuated(p.entry.FailureDomain, false) || !o.mayOwn(service, p.entry.Region),
				Capacity: t.Load.Capacity, Cold: t.Load.Cold, Rate: t.Load.Rate, Hot: t.Load.Hot,
			})
		}
	}
	slices.SortFunc(found, func(a, b holding.Candidate) int { return strings.Compare(a.Owner.Node, b.Owner.Node) })
	return found
}

// mayOwn reports whether targets in the region may own keys of the service.
func (o *Ownership) mayOwn(service, region string) bool {
	return o.cfg.MayOwn == nil || o.cfg.MayOwn(service, region)
}

// revokeLease revokes the lapsed lease of a node by a conditional write of its entry, so that a
// renewal in flight fails. The caller has read the table before and writes it afterwards: a node
// that acquires its lease again in between writes the table and makes that write fail.
func (o *Ownership) revokeLease(ctx context.Context, p peer) bool {
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
	if object.Version != p.version {
		// Also a revocation may be a later one than that of p, with a renewal in between.
		o.mu.Lock()
		defer o.mu.Unlock()
		o.observeEntry(entry, object.Version, now)
		o.rebuildView(now)
		return false
	}
	if entry.RevokedBy != "" {
		return true
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
	o.cfg.Log.Warn("lease revoked", "peer", name, "version", version, "silent_ms", (now - p.watch.Seen).Milliseconds())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeEntry(&revoked, version, o.cfg.Clock())
	return true
}
