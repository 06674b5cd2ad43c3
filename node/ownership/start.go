package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// findMembersTimeout bounds how long a starting node looks for the other nodes of its region before it reads the
	// store itself. It leaves time for that within the 2 to 3 s in which a configuration must be in force.
	findMembersTimeout = 1200 * time.Millisecond
	// maxMembersAsked is the number of nodes that are asked for the members.
	maxMembersAsked = 2
)

// IsFindingMembers reports whether the process is still trying to learn of the other nodes of its region from one of
// them.
func (o *Ownership) IsFindingMembers() bool { return o.isFindingMembers.Load() }

// findMembers learns the members of the region from another node. When all nodes of a large fleet start at the same
// time, their readings of all entries would fill the link to the store for seconds. The entry of a node's former
// process names voters of several failure domains, so nodes of its own region are usually among them. Only those whose
// names sort before its own are asked, as in the tree of sources, so that nodes do not wait for each other in a circle.
func (o *Ownership) findMembers(ctx context.Context) {
	defer o.isFindingMembers.Store(false)
	if o.cfg.Entries == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findMembersTimeout)
	defer cancel()
	select {
	case <-o.ownEntryRead:
	case <-ctx.Done():
		return
	}
	asked := 0
	for _, entry := range o.getEntries(ctx, o.formerVoters) {
		if entry == nil || entry.Name >= o.cfg.Self.Name || entry.Region != o.cfg.Self.Region || asked == maxMembersAsked {
			continue
		}
		asked++
		members, err := o.entries.AskMembers(ctx, entry.Address)
		if err != nil || len(members) == 0 {
			o.cfg.Log.Info("could not get the members of the region", "peer", entry.Name, "address", entry.Address, "cause", err)
			continue
		}
		o.cfg.Log.Info("received the members of the region", "peer", entry.Name, "members", len(members))
		o.mu.Lock()
		defer o.mu.Unlock()
		o.startMembers = members
		return
	}
}

// recordFormerVoters records the voters in the entry of this node, if it is read for the first time. The next write
// replaces the entry. The caller holds the lock.
func (o *Ownership) recordFormerVoters(voters []string) {
	select {
	case <-o.ownEntryRead:
	default:
		o.formerVoters = voters
		close(o.ownEntryRead)
	}
}

// getEntries reads the entries of several nodes concurrently, at most maxVoters. Those that cannot be read are nil.
func (o *Ownership) getEntries(ctx context.Context, names []string) []*Entry {
	found := make([]*Entry, min(len(names), maxVoters))
	var group sync.WaitGroup
	for i := range found {
		group.Go(func() { found[i] = o.getEntry(ctx, names[i]) })
	}
	group.Wait()
	return found
}

// getEntry reads the entry of a node; nil if that fails.
func (o *Ownership) getEntry(ctx context.Context, name string) *Entry {
	var object objects.Object
	object, err := o.get(ctx, NodesPrefix+name)
	if err != nil {
		return nil
	}
	entry, err := decodeEntry(object)
	if err != nil {
		return nil
	}
	return entry
}
