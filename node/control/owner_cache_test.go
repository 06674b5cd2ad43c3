package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// Numbers of cells, nodes and slices that the system is designed for.
const (
	designedCells  = 109
	designedNodes  = 2600
	designedSlices = 167_000
)

func cachedPeer(i int) plane.Peer {
	return plane.Peer{
		Name: fmt.Sprintf("vm-%04d", i), Incarnation: 1_700_000_000_000_000_000 + uint64(i),
		Address:      fmt.Sprintf("10.0.%d.%d:7002", i/256, i%256),
		EntryAddress: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
		AdminAddress: fmt.Sprintf("10.0.%d.%d:7004", i/256, i%256),
		Region:       fmt.Sprintf("region-%d", i%3), FailureDomain: fmt.Sprintf("domain-%d", i%6),
		Cell:   fmt.Sprintf("cell-%03d", i%designedCells),
		Target: plane.TargetReport{State: plane.TargetReady, Incarnation: uint64(i), Slots: 6},
	}
}

func cachedSlice(i int) keyspace.SliceID {
	return keyspace.SliceID{Range: keyspace.RangeID(1 + i%designedCells), Index: uint32(i / designedCells)}
}

func TestOwnerCacheHoldsDesignedSize(t *testing.T) {
	var cache ownerCache
	for i := range designedSlices {
		cache.set(cachedSlice(i), cachedPeer(i%designedNodes))
	}
	for i := range designedSlices {
		if got, want := cache.owner(cachedSlice(i)), cachedPeer(i%designedNodes); got != want {
			t.Fatalf("slice %d: %+v, want %+v", i, got, want)
		}
	}
}

func TestOwnerCacheReplacesAndForgets(t *testing.T) {
	var cache ownerCache
	cache.forget(cachedSlice(1))
	old, restarted, elsewhere := cachedPeer(1), cachedPeer(1), cachedPeer(2)
	restarted.Incarnation++
	cache.set(cachedSlice(1), old)
	cache.set(cachedSlice(2), restarted)
	cache.set(cachedSlice(3), elsewhere)
	if got := cache.owner(cachedSlice(1)); got != old {
		t.Errorf("the owner of another slice changed: %+v", got)
	}
	newer := old
	newer.Target.InFlight = 5
	cache.set(cachedSlice(4), newer)
	if got := cache.owner(cachedSlice(1)); got != newer || len(cache.nodes) != 3 {
		t.Errorf("got %+v with %d nodes; a new report must not add a node", got, len(cache.nodes))
	}
	cache.set(cachedSlice(1), elsewhere)
	if got := cache.owner(cachedSlice(1)); got != elsewhere {
		t.Errorf("owner not replaced: %+v", got)
	}
	cache.forget(cachedSlice(1))
	if got := cache.owner(cachedSlice(1)); got.Name != "" {
		t.Errorf("owner not removed: %+v", got)
	}
}

func TestOwnerCacheIsBounded(t *testing.T) {
	var cache ownerCache
	for i := range maxCachedOwners + 10 {
		cache.set(cachedSlice(i), cachedPeer(1))
		if len(cache.owners) > maxCachedOwners {
			t.Fatalf("%d slices cached, at most maxCachedOwners allowed", len(cache.owners))
		}
	}
	for i := range maxCachedNodes + 10 {
		cache.set(cachedSlice(1), cachedPeer(i))
		if len(cache.nodes) > maxCachedNodes || len(cache.indexes) > maxCachedNodes {
			t.Fatalf("%d nodes cached, at most maxCachedNodes allowed", len(cache.nodes))
		}
	}
	if got := cache.owner(cachedSlice(1)); got != cachedPeer(maxCachedNodes+9) {
		t.Errorf("latest owner not cached: %+v", got)
	}
}

// BenchmarkLearned reports the memory per slice of a cache with the owners of designedSlices
// slices, including the entries of the nodes.
func BenchmarkLearned(b *testing.B) {
	peers := make([]plane.Peer, designedNodes)
	for i := range peers {
		peers[i] = cachedPeer(i)
	}
	for b.Loop() {
		before := heapBytes()
		cache := &ownerCache{}
		for i := range designedSlices {
			cache.set(cachedSlice(i), peers[i%designedNodes])
		}
		b.ReportMetric((heapBytes()-before)/designedSlices, "B/slice")
		runtime.KeepAlive(cache)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
