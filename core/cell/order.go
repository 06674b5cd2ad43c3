package cell

import (
	"cmp"
	"slices"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

func compareSlices(a, b keyspace.SliceID) int {
	return cmp.Or(cmp.Compare(a.Range, b.Range), cmp.Compare(a.Index, b.Index))
}

func sortSlices(ids []keyspace.SliceID) { slices.SortFunc(ids, compareSlices) }

// sortedSlices returns the keys of a map in order, so that the effects are deterministic.
func sortedSlices[V any](set map[keyspace.SliceID]V) []keyspace.SliceID {
	ids := make([]keyspace.SliceID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sortSlices(ids)
	return ids
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
