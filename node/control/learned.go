package control

import (
	"encoding/binary"
	"sync"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

const (
	// learnedMax is the maximum number of slices of other cells whose owners are remembered.
	// The system is designed for 167,000 slices.
	learnedMax = 1 << 18
	// learnedNodesMax is the maximum number of processes remembered as owners, including those
	// that have exited.
	learnedNodesMax = 1 << 13
	// packedBytes is the size of a packed slice id: 8 bytes of range and 4 of index.
	packedBytes = 12
)

// packedSlice is a slice id in 12 bytes, without the padding of keyspace.SliceID.
type packedSlice [packedBytes]byte

func pack(id keyspace.SliceID) packedSlice {
	var p packedSlice
	binary.BigEndian.PutUint64(p[:], uint64(id.Range))
	binary.BigEndian.PutUint32(p[8:], id.Index)
	return p
}

// nodeNumber is the index of a node in learned.nodes.
type nodeNumber uint32

// learned caches the owners of slices in other cells. To save memory it keeps an index per slice
// and each node once. At either limit the whole cache is cleared and filled again from redirects.
type learned struct {
	mu     sync.Mutex
	owners map[packedSlice]nodeNumber
	nodes  []plane.Peer
	// numbers maps a node's identity, which is the peer without its target's report, to its index.
	numbers map[plane.Peer]nodeNumber
}

// owner returns the cached owner of the slice; its name is empty if none is cached.
func (l *learned) owner(id keyspace.SliceID) plane.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.owners[pack(id)]
	if !ok {
		return plane.Peer{}
	}
	return l.nodes[n]
}

// set caches the owner of a slice.
func (l *learned) set(id keyspace.SliceID, owner plane.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full() {
		l.owners = make(map[packedSlice]nodeNumber)
		l.numbers = make(map[plane.Peer]nodeNumber)
		l.nodes = nil
	}
	l.owners[pack(id)] = l.number(owner)
}

// full reports whether a limit is reached or the maps have not been allocated yet; the caller
// holds mu.
func (l *learned) full() bool {
	return l.owners == nil || len(l.owners) >= learnedMax || len(l.nodes) >= learnedNodesMax
}

// number returns the index of the node and stores its latest report; the caller holds mu.
func (l *learned) number(owner plane.Peer) nodeNumber {
	identity := owner
	identity.Target = plane.TargetReport{}
	n, known := l.numbers[identity]
	if !known {
		n = nodeNumber(len(l.nodes))
		l.numbers[identity] = n
		l.nodes = append(l.nodes, plane.Peer{})
	}
	l.nodes[n] = owner
	return n
}

// forget removes a slice from the cache.
func (l *learned) forget(id keyspace.SliceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.owners, pack(id))
}
