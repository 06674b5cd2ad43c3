package ownership

import (
	"maps"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// A store that returns from an older copy has lost the latest writes of a table. A node that read the copy
// could act as the owner of a slice that has gone to another one meanwhile. These rules keep each slice
// with one owner without any node having to notice the return in time:
//
//   - A table that was not written in the store's era is not acted on. The first node that finds one writes
//     the table that it knew before, under tokens above all earlier ones (Table.BeginEra).
//   - From then on until the table is settled, a slice is certain only for the owner that held it without a
//     break since before the era (its claim), or that got it in this era from a certain owner. No slice is
//     taken from an owner and none without an owner is assigned.
//   - Each node of the service that had a proved lease when the era began reports the table that it knew:
//     slices with later tokens, and its claims, are written into the present one.
//   - The write that gave a moving slice to its next owner may have taken effect and be lost. So its owner
//     is certain only once the next owner's node has reported and the table still names the former.
//   - The table is settled once a node has known of the era for so long that no lease from before it can be
//     valid. Such a lease ends with its last possible extension.
//   - A lease must be proved again in each era, since the write that proved it may be lost.

// restoredTable is what is known of a table that the store may have lost writes of.
type restoredTable struct {
	// seenAt is when this process first knew of the loss.
	seenAt time.Duration
	// owner has held the slices in claims without a break, in the given states.
	owner  holding.Owner
	claims map[int]holding.Slice
	// moving holds the slices of owner that were being moved, whether or not it has released them.
	moving map[int]movingClaim
	// known is the table as known at that time, if this node had a target of the service and its lease was
	// valid and proved; nil otherwise.
	known *holding.Table
}

// movingClaim is a slice in the given state that was being moved to the target of another node.
type movingClaim struct {
	state holding.Slice
	next  string
}

// isCurrent reports whether the table was written in the store's era.
func (t *table) isCurrent() bool { return t.Era == t.version.Era() }

// enterEra records that the store is in an era. If it is a later one, the lease and the certainty about all
// tables are lost, except for the slices that the local target holds. The caller holds the lock.
func (o *Ownership) enterEra(era int64, now time.Duration) {
	if era <= o.era {
		return
	}
	if o.hasReadStore {
		o.eraBeganAt = now
	}
	for service, r := range o.restored {
		if o.tables[service] == nil {
			r.seenAt = now
		}
	}
	for service := range o.tables {
		o.recordClaims(service, now)
	}
	o.era = era
	o.lease.Unprove()
}

// eraSince returns the time from which the store is known to be in its era. The caller holds the lock.
func (o *Ownership) eraSince() time.Duration { return max(o.started, o.eraBeganAt) }

// recordClaims records the slices that the local target holds at the time when certainty about the
// service's table is lost. The caller holds the lock.
func (o *Ownership) recordClaims(service string, now time.Duration) {
	before := o.restored[service]
	r := &restoredTable{seenAt: now, claims: make(map[int]holding.Slice), moving: make(map[int]movingClaim)}
	// The former record is needed until the end, by isCertain.
	defer func() { o.restored[service] = r }()
	t := o.tables[service]
	unbroken := t != nil && o.lease.Proved() && o.lease.Valid(now)
	process := o.target
	if process == nil || process.report.Service != service {
		return
	}
	if unbroken {
		r.known = t.Table
	}
	if process.grantsLapsed(now) {
		return
	}
	r.owner = process.owner(o.cfg.Self.Name)
	if !o.lease.Proved() && before != nil && before.owner == r.owner {
		// The lease was not proved since the last loss, so only the claims from before it stand.
		r.claims, r.moving = before.claims, before.moving
		return
	}
	if !unbroken || process.lastResponse == 0 {
		return
	}
	for i, s := range t.Slices {
		owner, ok := t.OwnerOf(i)
		if !ok || owner != r.owner {
			continue
		}
		next, moves := t.NextOf(i)
		switch {
		case process.lastGranted[i] == process.lastResponse:
			r.claims[i] = s
		case moves && o.isCertain(service, owner, i):
			r.moving[i] = movingClaim{s, next.Node}
		}
	}
	o.cfg.Log.Info("slices claimed", "service", service, "slices", len(r.claims), "moving", len(r.moving))
}

// mergeRestored returns the table to keep when latest is read after known, which may be nil. The caller
// holds the lock.
func (o *Ownership) mergeRestored(known, latest *table, now time.Duration) *table {
	if known == nil {
		if !latest.isCurrent() || !latest.IsSettled() {
			o.restored[latest.Service] = &restoredTable{seenAt: now}
		}
		return latest
	}
	if latest.isCurrent() {
		takenUpAgain := known.isCurrent() && known.Era == latest.Era && latest.EraFence > known.EraFence
		if takenUpAgain {
			o.recordClaims(latest.Service, now)
		}
		return latest
	}
	if latest.version.Era() == known.version.Era() {
		// A write from before the era took effect late.
		o.recordClaims(latest.Service, now)
	}
	merged := known.Clone()
	merged.Era, merged.Fence = latest.Era, max(known.Fence, latest.Fence)
	return &table{Table: merged, version: latest.version}
}

// setTable keeps a table that was read or written, and drops the claims that it supersedes: those on slices
// that were assigned since the era began, and all once it is settled. The caller holds the lock.
func (o *Ownership) setTable(service string, t *table) {
	o.tables[service] = t
	r := o.restored[service]
	if r == nil || !t.isCurrent() {
		return
	}
	if t.IsSettled() {
		delete(o.restored, service)
		return
	}
	inEra := func(slice int) bool { return t.AssignedInEra(slice) }
	maps.DeleteFunc(r.claims, func(slice int, _ holding.Slice) bool { return inEra(slice) })
	maps.DeleteFunc(r.moving, func(slice int, _ movingClaim) bool { return inEra(slice) })
}

// dropReleased drops the claims on slices that a table, whose write is in doubt, gives to others. The caller
// holds the lock.
func (o *Ownership) dropReleased(t *holding.Table) {
	r := o.restored[t.Service]
	if r == nil {
		return
	}
	isReleased := func(slice int) bool {
		owner, ok := t.OwnerOf(slice)
		return !ok || owner != r.owner
	}
	maps.DeleteFunc(r.claims, func(slice int, _ holding.Slice) bool { return isReleased(slice) })
	maps.DeleteFunc(r.moving, func(slice int, _ movingClaim) bool { return isReleased(slice) })
}

// dropClaims drops all claims, since the lease is lost. The caller holds the lock.
func (o *Ownership) dropClaims() {
	for _, r := range o.restored {
		r.claims, r.moving = nil, nil
	}
}

// recordUnknownTable records a service without a table in the store. Its table may be a lost write that this
// process did not see. The caller holds the lock.
func (o *Ownership) recordUnknownTable(t *holding.Table) {
	if o.restored[t.Service] != nil || t.IsSettled() {
		return
	}
	o.restored[t.Service] = &restoredTable{seenAt: o.eraSince()}
}

// observeLostTable records that the store has no table of the service. If the known one is of a former era,
// it is to be created again.
func (o *Ownership) observeLostTable(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.tables[service]; known != nil && known.version.Era() < o.era {
		o.tables[service] = &table{Table: known.Table, version: objects.NewVersion(o.era, 0)}
	}
}

// isCertain reports whether the owner, a process of the local target that the table names as the slice's
// owner, may act on the slice. The caller holds the lock.
func (o *Ownership) isCertain(service string, owner holding.Owner, slice int) bool {
	t := o.tables[service]
	if t == nil {
		return false
	}
	if t.version.Era() == o.era && t.isCurrent() && t.AssignedInEra(slice) {
		return true
	}
	r := o.restored[service]
	if r == nil || r.owner != owner {
		return false
	}
	// A table that was read before a claim is written may name an earlier token of the owner.
	fence := t.Slices[slice].Fence
	if state, claimed := r.claims[slice]; claimed {
		return fence == state.Fence
	}
	moving, claimed := r.moving[slice]
	return claimed && fence == moving.state.Fence && t.isCurrent() && t.HasReported(moving.next)
}

// planEra plans to take up the known table in the store's era.
func (o *Ownership) planEra(change *tableChange, service string, now time.Duration) {
	r := o.restored[service]
	if r == nil {
		r = &restoredTable{seenAt: now}
		o.restored[service] = r
	}
	if now-r.seenAt < time.Duration(o.rank(now))*o.cfg.Timing.RankDelay {
		return
	}
	change.table.BeginEra(change.expected.Era())
	change.addReason(true, "store restored")
	if r.known != nil {
		change.table.Report(o.cfg.Self.Name, r.known)
	}
	o.reclaim(change.table, r)
}

// planClaims plans the writes that an unsettled table needs: of claims that it contradicts, and that it is
// settled.
func (o *Ownership) planClaims(change *tableChange, service string, now time.Duration) {
	r := o.restored[service]
	if change.table.IsSettled() || r == nil {
		return
	}
	if r.known != nil {
		change.addReason(change.table.Report(o.cfg.Self.Name, r.known), "reported")
	}
	change.addReason(o.reclaim(change.table, r), "claimed")
	settleAfter := holding.AddDrift(o.cfg.Timing.ExtendLimit) + time.Duration(o.rank(now))*o.cfg.Timing.RankDelay
	if now-r.seenAt >= settleAfter {
		change.table.Settle()
		change.addReason(true, "era settled")
	}
}

// reclaim gives the claimed slices back to their owner unless they were assigned in this era. It reports
// whether anything changed.
func (o *Ownership) reclaim(t *holding.Table, r *restoredTable) bool {
	changed := false
	for i, state := range r.claims {
		owner, ok := t.OwnerOf(i)
		if t.AssignedInEra(i) || ok && owner == r.owner && t.Slices[i].Fence == state.Fence {
			continue
		}
		t.Reclaim(i, r.owner, state)
		changed = true
	}
	return changed
}
