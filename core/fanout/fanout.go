// Package fanout arranges the nodes of a region in a tree along which changes of the store are passed
// on. The first node by name reads the store; every other one follows a node whose name sorts before
// its own, so nodes with different views of the members never follow each other in a circle.
//
// A change crosses the link to the store about once for each region, and a node sends it to at most
// Degree others.
package fanout

import "time"

const (
	// Degree is the largest number of nodes that follow one node. Three levels reach 259 nodes.
	Degree = 6
	// maxAvoided is the number of avoided nodes from which a node reads the store itself rather than
	// trying yet another one.
	maxAvoided = 2

	// basePatience is how old the last confirmation may be before a node of level 1 leaves its source.
	// It exceeds the interval of confirmations (0.4 s) and a slow answer of the store (0.25 s).
	basePatience = time.Second
	// levelPatience is added for each further level: the source one level up finds its own source lost
	// first and reads the store.
	levelPatience = 400 * time.Millisecond
	// slotPatience staggers the nodes that follow the same source, so that the first one to leave it
	// reads the store and the others follow that one.
	slotPatience = 50 * time.Millisecond
)

// Place is a node's place in the tree.
type Place struct {
	// Source is the name of the node that this one follows; empty if it reads the store itself.
	Source string
	// Level is the number of steps to the node that reads the store, and Slot the rank among the
	// nodes that follow the same source.
	Level, Slot int
}

// Find returns the place of the node self. members are the names of the region's live nodes, sorted,
// with or without self; avoided reports the nodes that failed recently.
func Find(members []string, self string, avoided func(name string) bool) Place {
	var before []string
	skipped := 0
	for _, name := range members {
		if name >= self {
			break
		}
		if avoided(name) {
			skipped++
		} else {
			before = append(before, name)
		}
	}
	if len(before) == 0 || skipped >= maxAvoided {
		return Place{}
	}
	last := len(before) - 1
	p := Place{Source: before[last/Degree], Slot: last % Degree}
	for position := len(before); position > 0; position = (position - 1) / Degree {
		p.Level++
	}
	return p
}

// Patience returns how old the last confirmation that the state is current may be before the node
// leaves its source.
func (p Place) Patience() time.Duration {
	return basePatience + time.Duration(p.Level-1)*levelPatience + time.Duration(p.Slot)*slotPatience
}
