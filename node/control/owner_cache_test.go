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

func learnedPeer(i int) plane.Peer {
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

func learnedSlice(i int) keyspace.SliceID {
	return keyspace.SliceID{Range: keyspace.RangeID(1 + i%designedCells), Index: uint32(i / designedCells)}
}

func TestLearnedHoldsTheDesignedSize(t *testing.T) {
	var cache ownerCache
	for i := range designedSlices {
		cache.set(learnedSlice(i), learnedPeer(i%designedNodes))
	}
	for i := range designedSlices {
		if got, want := cache.owner(learnedSlice(i)), learnedPeer(i%designedNodes); got != want {
			t.Fatalf("slice %d: %+v, want %+v", i, got, want)
		}
	}
}

func TestLearnedReplacesAndForgets(t *testing.T) {
	var cache ownerCache
	cache.forget(learnedSlice(1))
	old, restarted, elsewhere := learnedPeer(1), learnedPeer(1), learnedPeer(2)
	restarted.Incarnation++
	cache.set(learnedSlice(1), old)
	cache.set(learnedSlice(2), restarted)
	cache.set(learnedSlice(3), elsewhere)
	if got := cache.owner(learnedSlice(1)); got != old {
		t.Errorf("the owner of another slice changed: %+v", got)
	}
	newer := old
	newer.Target.InFlight = 5
	cache.set(learnedSlice(4), newer)
	if got := cache.owner(learnedSlice(1)); got != newer || len(cache.nodes) != 3 {
		t.Errorf("got %+v with %d nodes; a new report must not add a node", got, len(cache.nodes))
	}
	cache.set(learnedSlice(1), elsewhere)
	if got := cache.owner(learnedSlice(1)); got != elsewhere {
		t.Errorf("owner not replaced: %+v", got)
	}
	cache.forget(learnedSlice(1))
	if got := cache.owner(learnedSlice(1)); got.Name != "" {
		t.Errorf("owner not removed: %+v", got)
	}
}

func TestLearnedIsBounded(t *testing.T) {
	var cache ownerCache
	for i := range maxCachedOwners + 10 {
		cache.set(learnedSlice(i), learnedPeer(1))
		if len(cache.owners) > maxCachedOwners {
			t.Fatalf("%d slices cached, at most maxCachedOwners allowed", len(cache.owners))
		}
	}
	for i := range maxCachedNodes + 10 {
		cache.set(learnedSlice(1), learnedPeer(i))
		if len(cache.nodes) > maxCachedNodes || len(cache.indexes) > maxCachedNodes {
			t.Fatalf("%d nodes cached, at most maxCachedNodes allowed", len(cache.nodes))
		}
	}
	if got := cache.owner(learnedSlice(1)); got != learnedPeer(maxCachedNodes+9) {
		t.Errorf("latest owner not cached: %+v", got)
	}
}

// BenchmarkLearned reports the memory per slice of a cache with the owners of designedSlices
// slices, including the entries of the nodes.
func BenchmarkLearned(b *testing.B) {
	peers := make([]plane.Peer, designedNodes)
	for i := range peers {
		peers[i] = learnedPeer(i)
	}
	for b.Loop() {
		before := heapBytes()
		cache := &ownerCache{}
		for i := range designedSlices {
			cache.set(learnedSlice(i), peers[i%designedNodes])
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
