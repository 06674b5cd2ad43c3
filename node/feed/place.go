package feed

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/fanout"
)

const (
	// avoidTime is how long a source that failed is not followed again.
	avoidTime = 3 * time.Second
	// placeInterval is the interval at which a node that reads the store looks for a source.
	placeInterval = 200 * time.Millisecond
	// memberWait is how long a starting node waits to learn of the other nodes before it reads the
	// store itself.
	memberWait = 300 * time.Millisecond
	// maxMemberWait is the same while the node is asking another one for the members. It exceeds the time that this
	// may take (package ownership).
	maxMemberWait = 1300 * time.Millisecond
	// startPatience is how long a starting node follows a source that does not know the state either. All nodes of a
	// region may start at the same time, and if each of them read the configuration, it would fill the link to the
	// store for seconds.
	startPatience = time.Second
)

// placeLoop finds the node's source again and again and follows it.
func (f *Feed) placeLoop(ctx context.Context) {
	f.awaitMembers(ctx)
	for ctx.Err() == nil {
		place, address := f.place()
		if place.Source == "" {
			sleep(ctx, placeInterval)
			continue
		}
		f.follow(ctx, place, address)
	}
}

func (f *Feed) awaitMembers(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < f.memberWait() && len(f.cfg.Members()) == 0; waited += interval {
		sleep(ctx, interval)
	}
}

func (f *Feed) memberWait() time.Duration {
	if f.cfg.IsFindingMembers != nil && f.cfg.IsFindingMembers() {
		return maxMemberWait
	}
	return memberWait
}

// isStarting reports whether the node still waits for a source in the given place to learn the state.
func (f *Feed) isStarting(place fanout.Place) bool {
	return f.cfg.Clock()-f.started < startPatience+place.Patience()-fanout.Place{Level: 1}.Patience()
}

// place returns the node's place and the address of its source, and records whether the node reads
// the store.
func (f *Feed) place() (fanout.Place, string) {
	addresses := f.cfg.Members()
	names := slices.Sorted(maps.Keys(addresses))
	now := f.cfg.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fanout.Find(names, f.cfg.Self, func(name string) bool { return now < f.avoided[name] })
	if reads := place.Source == ""; reads != f.readsStore {
		f.readsStore, f.sourceReceives = reads, false
		f.wake()
		f.cfg.Log.Info("source of store changes", "source", place.Source, "level", place.Level)
	}
	return place, addresses[place.Source]
}

// avoid makes the node follow another source for avoidTime.
func (f *Feed) avoid(source, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	for name, until := range f.avoided {
		if until <= now {
			delete(f.avoided, name)
		}
	}
	f.avoided[source], f.sourceReceives = now+avoidTime, false
	f.cfg.Log.Info("source of store changes left", "source", source, "reason", reason)
}
