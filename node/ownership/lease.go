package ownership

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/core/roster"
	"github.com/auburnrelay/auburnrelay/node/entryfeed"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/client"
)

const (
	// callTimeout bounds one attempt of a store call. The store answers in 4 ms, or in 240 ms when
	// it is slow.
	callTimeout = 600 * time.Millisecond
	// retryPause is the delay before a failed renewal is retried.
	retryPause = 150 * time.Millisecond
)

// renewLoop renews the lease by writing the node's entry until the context ends.
func (o *Ownership) renewLoop(ctx context.Context) {
	continued := false
	lost := false
	for ctx.Err() == nil {
		ok := o.renewOnce(ctx, &continued)
		if ok == lost {
			lost = !ok
			o.logStoreState(lost)
		}
		if ok {
			o.awaitRenewal(ctx)
		} else {
			wait(ctx, retryPause, o.renewSoon)
		}
	}
}

// awaitRenewal waits until the lease is to be renewed: at the end of the interval, or earlier if the entry no longer
// tells the state of this node. What no signal announces is noticed within Timing.RenewInterval.
func (o *Ownership) awaitRenewal(ctx context.Context) {
	for passed := time.Duration(0); passed < o.renewInterval() && ctx.Err() == nil; {
		step := min(o.cfg.Timing.RenewInterval, o.renewInterval()-passed)
		if !wait(ctx, step, o.renewSoon) || o.hasUnwrittenState() {
			return
		}
		passed += step
	}
}

// isShared reports whether the local target belongs to a shared service, so that this node holds no keys. It is false
// while that is not known.
func (o *Ownership) isShared() bool {
	return o.cfg.Timing.RenewSharedInterval > 0 && o.cfg.IsShared != nil && o.cfg.IsShared(o.cfg.Service)
}

func (o *Ownership) renewInterval() time.Duration {
	if o.isShared() {
		return o.cfg.Timing.RenewSharedInterval
	}
	return o.cfg.Timing.RenewInterval
}

// hasUnwrittenState reports whether the next entry differs from the last one in more than its renewal, the load and the
// voters.
func (o *Ownership) hasUnwrittenState() bool {
	suspects := o.cfg.Monitor.Suspects()
	o.mu.Lock()
	defer o.mu.Unlock()
	next, last := o.entryAt(o.cfg.Clock(), suspects), o.written
	for _, e := range []*Entry{&next, &last} {
		e.Renewal, e.Voters = 0, nil
		if e.Target != nil {
			target := *e.Target
			target.Load = holding.Load{}
			e.Target = &target
		}
	}
	return !reflect.DeepEqual(next, last)
}

// entryAt returns the entry of this node without its voters and the load. The caller holds the lock.
func (o *Ownership) entryAt(now time.Duration, suspects []quarantine.Entry) Entry {
	entry := o.cfg.Self
	entry.Stopping, entry.Suspects = o.stopping, suspects
	if o.isShared() {
		entry.LeaseMillis = o.cfg.Timing.SharedLease.Milliseconds()
	}
	if process := o.target; process != nil && !process.isAbsent(now, o.cfg.Timing.TargetTimeout) {
		entry.Target = &Target{
			ID: process.report.ID, Born: process.report.Born, Service: process.report.Service, Slots: process.report.Slots,
			Draining: process.isLeaving(), FormerEnded: o.haveFormerTargetsEnded(),
		}
	}
	return entry
}

func (o *Ownership) logStoreState(lost bool) {
	if lost {
		o.cfg.Log.Warn("dependency lost", "dependency", "store", "task", "lease")
		return
	}
	o.cfg.Log.Info("dependency regained", "dependency", "store", "task", "lease")
}

// renewOnce writes the node's entry, conditional on the last known version of it. continued is set
// if that version is unrevoked and this node's own. It is cleared after a failed write, so that the
// next call reads the entry first.
func (o *Ownership) renewOnce(ctx context.Context, continued *bool) bool {
	if !*continued {
		known, err := o.readOwnEntry(ctx)
		if err != nil {
			return false
		}
		*continued = known
	}
	entry, expected := o.nextEntry()
	value, err := json.Marshal(entry)
	if err != nil {
		panic("cannot encode node entry: " + err.Error())
	}
	sent := o.cfg.Clock()
	version, err := o.put(ctx, NodesPrefix+entry.Name, value, expected)
	o.recordVoters(&entry, err)
	if err != nil {
		// The write may still take effect: the entry must be read to learn its present version.
		*continued = false
		o.cfg.Log.Warn("lease not renewed", "version", expected, "cause", err.Error())
		return false
	}
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.enterEra(version.Era(), now)
	o.version = version
	o.recordOwnWrite(version, now)
	if !*continued || o.acquiredAt == 0 || o.acquiredAt.Era() != version.Era() {
		o.acquiredAt = version
	}
	o.lease.Renewed(sent, *continued)
	o.written, o.announcedUntil = entry, sent+entry.lease()
	o.observeEntry(&entry, version, now)
	if !*continued {
		o.cfg.Log.Info("lease acquired", "version", version, "until_ms", (sent + o.cfg.Timing.Lease - now).Milliseconds())
	}
	*continued = true
	o.rebuildView(now)
	notify(o.reconcileSoon)
	return true
}

// readOwnEntry reads this node's entry and reports whether it exists and its lease is not revoked. An
// entry written by a former process of this node counts as well, since that process has ended.
func (o *Ownership) readOwnEntry(ctx context.Context) (bool, error) {
	object, err := o.get(ctx, NodesPrefix+o.cfg.Self.Name)
	if errors.Is(err, objects.ErrNotFound) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.version = 0
		o.recordFormerVoters(nil)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	entry, err := decodeEntry(object)
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.enterEra(object.Version.Era(), now)
	o.version = object.Version
	if err != nil {
		o.cfg.Log.Warn("malformed entry of this node; it will be overwritten", "cause", err.Error())
		o.recordFormerVoters(nil)
		return false, nil
	}
	o.recordFormerVoters(entry.Voters)
	if t := entry.Target; t != nil && t.Draining && o.target == nil {
		// A former process of this node has acknowledged that the target leaves, so this process
		// must act on it too.
		o.leaveNotices[t.ID] = leaveNotice{born: t.Born}
	}
	if entry.RevokedBy != "" {
		o.lease.Lost()
		o.announcedUntil = 0
		o.dropClaims()
		o.cfg.Log.Warn("lease revoked", "by", entry.RevokedBy, "version", object.Version)
	}
	return entry.RevokedBy == "", nil
}

// nextEntry returns the entry to write and the version that it is to replace.
func (o *Ownership) nextEntry() (Entry, objects.Version) {
	load, suspects := o.cfg.Monitor.Load(), o.cfg.Monitor.Suspects()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	o.cfg.Self.Renewal++
	entry := o.entryAt(now, suspects)
	entry.Voters = o.pendingVoters
	if !o.writeInDoubt {
		entry.Voters = o.chooseVoters(o.entriesKnownAt(now))
	}
	if entry.Target != nil {
		o.announcedLoad = load.Steady(o.announcedLoad)
		entry.Target.Load = o.announcedLoad
	}
	return entry, o.version
}

// put attempts a conditional write once. If the outcome is unknown, it reads the object once to
// find out whether the write took effect.
func (o *Ownership) put(ctx context.Context, key string, value []byte, expected objects.Version) (objects.Version, error) {
	id := client.NewWriteID()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	version, err := o.store.Put(callCtx, key, value, expected, id)
	cancel()
	if err == nil || !errors.Is(err, objects.ErrUnknownOutcome) {
		return version, err
	}
	object, readErr := o.get(ctx, key)
	if readErr == nil && object.WriteID == id {
		return object.Version, nil
	}
	return 0, err
}

func (o *Ownership) get(ctx context.Context, key string) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.store.Get(ctx, key)
}

// freshReadSpacing is the shortest time between two readings of the entries. Nodes that start together ask for fresh
// readings one after the other, and one reading serves all that have asked before it.
const freshReadSpacing = 100 * time.Millisecond

// readEntriesLoop keeps the entries of all nodes known: from the node that this one follows or, without one, by
// reading them from the store periodically, first from the store itself and then from a copy that may be stale.
func (o *Ownership) readEntriesLoop(ctx context.Context) {
	o.findMembers(ctx)
	for ctx.Err() == nil {
		if o.followEntries(ctx) {
			continue
		}
		err := o.readEntries(ctx)
		if err == nil {
			o.deleteExpiredEntry(ctx)
		} else {
			o.cfg.Log.Warn("node entries not read", "cause", err.Error())
		}
		wait(ctx, freshReadSpacing, nil)
		wait(ctx, o.entryReadPause()-freshReadSpacing, o.entries.Wanted())
	}
}

// followEntries takes the entries from the node that this one follows. It reports false if there is none.
func (o *Ownership) followEntries(ctx context.Context) bool {
	state, follows := o.entries.Follow(ctx, o.freshEntriesSince())
	if state.Snapshot != nil {
		o.observeState(state)
		o.deleteExpiredEntry(ctx)
	}
	return follows
}

// freshEntriesSince returns a time since which the entries must have been read from the store itself, if this process
// knows no such reading yet; negative otherwise.
func (o *Ownership) freshEntriesSince() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hasReadStore {
		return -1
	}
	return o.started
}

// maxStaleness bounds the age of a stale listing.
const maxStaleness = 10 * time.Second

// firstReadTimeout bounds the first reading of the entries. Until it succeeds the node knows no other one, and has no
// other way to the store; the listing of a large fleet may be delayed on a link between regions, and each further
// attempt would send it again.
const firstReadTimeout = 4 * callTimeout

// readEntries reads the entries once. The first reading of a process is never a stale one, nor is any while a
// stale one may show the state from before the store returned from a copy.
func (o *Ownership) readEntries(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.readTimeout())
	defer cancel()
	if !o.needsFreshEntries() {
		if isUsable, err := o.listEntries(ctx, false); err != nil || isUsable {
			return err
		}
	}
	_, err := o.listEntries(ctx, true)
	return err
}

// listEntries lists the entries once, from the store itself or from a copy that may be stale. A listing from a copy is
// not usable if it is the first sign of a new era of the store, or too old.
func (o *Ownership) listEntries(ctx context.Context, fresh bool) (isUsable bool, err error) {
	list := o.store.ListStale
	if fresh {
		list = o.store.List
	}
	ctx, reading := o.entries.BeginReading(ctx)
	defer reading.End()
	listing, err := list(ctx, NodesPrefix)
	if err != nil {
		return false, err
	}
	if fresh {
		o.recordAdvance(listing)
	}
	if !fresh && (o.isNewEra(listing.Version) || o.isOldListing(listing)) {
		return false, nil
	}
	o.observeState(o.entries.Publish(listing, NodesPrefix, reading, fresh))
	return true, nil
}

// maxListingAge is the age from which a stale listing is not used. It exceeds the interval of renewals and the time
// of a call, so that the delay of the usual stale listing does not count. Leases last almost three times as long.
const maxListingAge = time.Second

// minRenewingNodes is the number of nodes from which a listing without any new renewal for maxListingAge shows that the
// copy has fallen behind. Nodes without keys may renew every few seconds only.
const minRenewingNodes = 6

// isOldListing reports whether a stale listing is too old to be used. A copy of the store that falls seconds behind shows
// no renewals meanwhile, and all other nodes would look lost. The listing is at least as old as the first renewal of
// this node that it lacks. It also counts as old if no listing has shown a new renewal of any node for too long.
func (o *Ownership) isOldListing(listing objects.Listing) bool {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if age := now - o.newestListedAt; !o.recordNewest(listing, now) && age > maxListingAge && len(listing.Objects) >= minRenewingNodes {
		o.cfg.Log.Info("stale listing of the entries not used", "age_ms", age.Milliseconds(), "version", listing.Version)
		return true
	}
	var listed objects.Version
	for _, object := range listing.Objects {
		if object.Key == NodesPrefix+o.cfg.Self.Name {
			listed = object.Version
		}
	}
	for _, w := range o.ownWrites {
		if w.version > listed && now-w.at > maxListingAge {
			o.cfg.Log.Info("stale listing of the entries not used", "age_ms", (now - w.at).Milliseconds(), "version", listing.Version)
			return true
		}
	}
	return false
}

// recordAdvance records the latest version of an entry in a listing that was read from the store itself.
func (o *Ownership) recordAdvance(listing objects.Listing) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordNewest(listing, now)
}

// recordNewest records the newest version listed and when it was first seen. It reports whether the listing has a later
// version of an entry than all listings before it. The caller holds the lock.
func (o *Ownership) recordNewest(listing objects.Listing, now time.Duration) bool {
	newest := o.newestListed
	for _, object := range listing.Objects {
		newest = max(newest, object.Version)
	}
	if newest == o.newestListed {
		return false
	}
	o.newestListed, o.newestListedAt = newest, now
	return true
}

// ownWrite is a renewal of this node's entry.
type ownWrite struct {
	version objects.Version
	at      time.Duration
}

// maxOwnWrites is the number of the last renewals that are remembered. They cover the delay of stale listings.
const maxOwnWrites = 16

// recordOwnWrite remembers a renewal of this node's entry. The caller holds the lock.
func (o *Ownership) recordOwnWrite(version objects.Version, at time.Duration) {
	o.ownWrites = append(o.ownWrites, ownWrite{version, at})
	if len(o.ownWrites) > maxOwnWrites {
		o.ownWrites = slices.Delete(o.ownWrites, 0, 1)
	}
}

func (o *Ownership) readTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hasReadStore {
		return callTimeout
	}
	return firstReadTimeout
}

func (o *Ownership) needsFreshEntries() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	isYoung := o.era > 0 && o.cfg.Clock()-o.eraSince() < maxStaleness
	return !o.hasReadStore || isYoung || o.entries.IsFreshWanted()
}

func (o *Ownership) isNewEra(v objects.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return v.Era() > o.era
}

// startingPausePerNode is how long a starting node waits between two readings of the entries for each node
// that it knows. A listing grows with the fleet, and all nodes may start at the same time: without it, their
// readings would fill the link between the regions while nodes acquire their leases over it.
const startingPausePerNode = 10 * time.Millisecond

// entryReadPause returns the time until the entries are read again. A process that has started recently reads
// them more often, to find the other nodes soon, unless there are many.
func (o *Ownership) entryReadPause() time.Duration {
	if o.cfg.Clock()-o.started >= 2*o.cfg.Timing.InitialAssignDelay {
		return o.cfg.Timing.EntryReadInterval
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	pause := time.Duration(len(o.peers)) * startingPausePerNode
	return min(max(pause, o.cfg.Timing.ReconcileInterval), o.cfg.Timing.EntryReadInterval)
}

// observeState records the entries of all nodes and forgets the nodes that are missing there. A process begins with
// entries that were read from the store itself since its start. Entries of a former era of the store are not used.
func (o *Ownership) observeState(s entryfeed.State) {
	now := o.cfg.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	version := objects.Version(s.Snapshot.ID().Version)
	if version.Era() < o.era || !o.hasReadStore && s.FreshAt < o.started {
		return
	}
	o.enterEra(version.Era(), now)
	// The nodes of the first listing are logged in one line: when all nodes of a large fleet start, the lines of all
	// would grow with the square of their number.
	isFirst := !o.hasReadStore
	o.entriesReadAt, o.hasReadStore = max(o.entriesReadAt, s.CurrentAt), true
	former := o.listed
	o.listed = s.Snapshot
	malformed := make(map[string]bool)
	for _, item := range s.Snapshot.Items() {
		if known, found := former.Find(item.Name); found && known == item {
			continue
		}
		if err := o.observeItem(item, isFirst, now); err != nil {
			o.cfg.Log.Warn("malformed node entry ignored", "cause", err.Error())
			malformed[item.Name] = true
		}
	}
	if isFirst {
		o.cfg.Log.Info("nodes found at the start", "nodes", len(o.peers), "version", version)
	}
	for name, p := range o.peers {
		if _, present := s.Snapshot.Find(name); (!present || malformed[name]) && p.version <= version {
			delete(o.peers, name)
			o.setAddress(p, p.address(), "")
			o.cfg.Log.Info("node entry missing or malformed, node removed", "peer", name, "malformed", malformed[name], "version", version)
		}
	}
	o.rebuildView(now)
	notify(o.reconcileSoon)
}

// observeItem records an entry of a listing. One that differs from the known entry only in its renewal is not decoded.
// The caller holds the lock.
func (o *Ownership) observeItem(item roster.Item, isFirst bool, now time.Duration) error {
	p, version := o.peers[item.Name], objects.Version(item.Version)
	var entry *Entry
	if p != nil && p.content == item.Content {
		renewed := *p.entry
		renewed.Renewal = item.Renewal
		entry = &renewed
	} else {
		var err error
		entry, err = decodeEntry(objects.Object{Key: NodesPrefix + item.Name, Value: item.Content.Value(item.Renewal)})
		if err != nil {
			return err
		}
	}
	if !isFirst && p == nil {
		o.cfg.Log.Info("node found", "peer", entry.Name, "address", entry.Address, "version", version)
	}
	o.observeEntry(entry, version, now)
	if p = o.peers[item.Name]; p.version == version && item.Content.IsCounted() && entry.Renewal == item.Renewal {
		p.content = item.Content
	}
	return nil
}

// observeEntry records an entry if it is newer than the known one. The caller holds the lock.
func (o *Ownership) observeEntry(entry *Entry, version objects.Version, now time.Duration) {
	p := o.peers[entry.Name]
	if p == nil {
		p = &peer{watch: holding.LeaseWatch{}}
		o.peers[entry.Name] = p
	}
	if version <= p.version {
		return
	}
	if p.entry != nil && p.entry.Incarnation != entry.Incarnation {
		o.cfg.Log.Info("node restarted", "peer", entry.Name, "incarnation", entry.Incarnation)
	}
	// A revocation is no sign of life and does not restart the watch of the lease.
	renewed := p.entry == nil || p.entry.isRenewedBy(entry)
	o.setAddress(p, p.address(), entry.Address)
	p.entry, p.version, p.content = entry, version, nil
	o.voter.Revoked(entry.Name, revokedVersion(entry, version))
	if entry.RevokedBy == "" {
		p.replaced = false
		o.markReplaced(p)
	}
	if entry.Name != o.cfg.Self.Name {
		o.cfg.Monitor.SetSuspects(entry.Name, entry.Suspects)
	}
	if renewed {
		p.watch.Observe(int64(version), now)
	}
}

// markReplaced marks the nodes whose address appears in latest, a newer entry that its own node has
// written: the platform gives an address to another VM only after the former VM is gone. The caller
// holds the lock.
func (o *Ownership) markReplaced(latest *peer) {
	for _, p := range o.peersAt[latest.entry.Address] {
		if p != latest && p.version < latest.version && !p.replaced {
			p.replaced = true
			o.cfg.Log.Info("node replaced", "peer", p.entry.Name, "by", latest.entry.Name, "address", latest.entry.Address)
		}
	}
}

// setAddress keeps peersAt when the address of a peer's entry changes from former to latest; an empty address
// stands for none. The caller holds the lock.
func (o *Ownership) setAddress(p *peer, former, latest string) {
	if former == latest {
		return
	}
	if former != "" {
		others := slices.DeleteFunc(o.peersAt[former], func(other *peer) bool { return other == p })
		if o.peersAt[former] = others; len(others) == 0 {
			delete(o.peersAt, former)
		}
	}
	if latest != "" {
		o.peersAt[latest] = append(o.peersAt[latest], p)
	}
}
