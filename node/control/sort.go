package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/auburnrelay/auburnrelay/core/cell"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
)

func sortedRoutes(t *cell.Table) []keyspace.SliceID {
	return slices.SortedFunc(maps.Keys(t.Routes), func(a, b keyspace.SliceID) int {
		return cmp.Or(cmp.Compare(a.Range, b.Range), cmp.Compare(a.Index, b.Index))
	})
}

func sortedMembers(t *cell.Table) []string { return slices.Sorted(maps.Keys(t.Members)) }
