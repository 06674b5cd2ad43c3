package control

import (
	"encoding/binary"
	"sync"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

const (
	// learnedMax bounds the slices of other cells with a known owner. The designed size has
	// 167,000.
	learnedMax = 1 << 18
	// learnedNodesMax bounds the processes that are named as owners, ended ones included.
	learnedNodesMax = 1 << 13
	// packedBytes is the size of a packed slice id: range and index.
	packedBytes = 12
)

// packedSlice is a slice id without padding.
type packedSlice [packedBytes]byte

func pack(id keyspace.SliceID) packedSlice {
	var p packedSlice
	binary.BigEndian.PutUint64(p[:], uint64(id.Range))
	binary.BigEndian.PutUint32(p[8:], id.Index)
	return p
}

// nodeNumber is the index of a node in learned.nodes.
type nodeNumber uint32

// learned remembers owners in other cells: one small number for each slice, and each node
// once. When a bound is reached all is forgotten and learned anew from redirects.
type learned struct {
	mu     sync.Mutex
	owners map[packedSlice]nodeNumber
	nodes  []plane.Peer
	// numbers finds a node by its identity, which is the peer without its target's report.
	numbers map[plane.Peer]nodeNumber
}

// owner returns the owner last learned; its name is empty if none is known.
func (l *learned) owner(id keyspace.SliceID) plane.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.owners[pack(id)]
	if !ok {
		return plane.Peer{}
	}
	return l.nodes[n]
}

// set notes the owner of a slice.
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

// full reports whether nothing more may be added; the caller holds mu.
func (l *learned) full() bool {
	return l.owners == nil || len(l.owners) >= learnedMax || len(l.nodes) >= learnedNodesMax
}

// number returns the number of the node and keeps its newest report; the caller holds mu.
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

// forget drops what is known of a slice.
func (l *learned) forget(id keyspace.SliceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.owners, pack(id))
}
