package control

import (
	"encoding/binary"
	"sync"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

const (
	// maxCachedOwners is the maximum number of slices of other cells whose owners are remembered.
	// The system is designed for 167,000 slices.
	maxCachedOwners = 1 << 18
	// maxCachedNodes is the maximum number of processes remembered as owners, including those
	// that have exited.
	maxCachedNodes = 1 << 13
	// packedSliceBytes is the size of a packed slice id: 8 bytes of range and 4 of index.
	packedSliceBytes = 12
)

// packedSlice is a slice id in 12 bytes, without the padding of keyspace.SliceID.
type packedSlice [packedSliceBytes]byte

func packSlice(id keyspace.SliceID) packedSlice {
	var p packedSlice
	binary.BigEndian.PutUint64(p[:], uint64(id.Range))
	binary.BigEndian.PutUint32(p[8:], id.Index)
	return p
}

// nodeIndex is the index of a node in ownerCache.nodes.
type nodeIndex uint32

// ownerCache caches the owners of slices in other cells. To save memory it keeps an index per slice
// and each node once. At either limit the whole cache is cleared and filled again from redirects.
type ownerCache struct {
	mu     sync.Mutex
	owners map[packedSlice]nodeIndex
	nodes  []plane.Peer
	// indexes maps a node's identity, which is the peer without its target's report, to its index.
	indexes map[plane.Peer]nodeIndex
}

// owner returns the cached owner of the slice; its name is empty if none is cached.
func (c *ownerCache) owner(id keyspace.SliceID) plane.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.owners[packSlice(id)]
	if !ok {
		return plane.Peer{}
	}
	return c.nodes[index]
}

// set caches the owner of a slice.
func (c *ownerCache) set(id keyspace.SliceID, owner plane.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full() {
		c.owners = make(map[packedSlice]nodeIndex)
		c.indexes = make(map[plane.Peer]nodeIndex)
		c.nodes = nil
	}
	c.owners[packSlice(id)] = c.indexOf(owner)
}

// full reports whether a limit is reached or the maps have not been allocated yet; the caller
// holds mu.
func (c *ownerCache) full() bool {
	return c.owners == nil || len(c.owners) >= maxCachedOwners || len(c.nodes) >= maxCachedNodes
}

// indexOf returns the index of the node and stores its latest report; the caller holds mu.
func (c *ownerCache) indexOf(owner plane.Peer) nodeIndex {
	identity := owner
	identity.Target = plane.TargetReport{}
	index, known := c.indexes[identity]
	if !known {
		index = nodeIndex(len(c.nodes))
		c.indexes[identity] = index
		c.nodes = append(c.nodes, plane.Peer{})
	}
	c.nodes[index] = owner
	return index
}

// forget removes a slice from the cache.
func (c *ownerCache) forget(id keyspace.SliceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, packSlice(id))
}
