package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// countingStore counts the writes of tables, those that failed included.
type countingStore struct {
	memStore
	tableWrites *int
}

func (s countingStore) Put(ctx context.Context, key string, value []byte, expected objects.Version, id string) (objects.Version, error) {
	if strings.HasPrefix(key, TablesPrefix) {
		*s.tableWrites++
	}
	return s.memStore.Put(ctx, key, value, expected, id)
}

// restartedFleet returns nodes whose former processes have ended all at once. They have acquired their
// leases again, one after the other, know the table and have heard from their targets, which started again
// later by the given number of milliseconds.
func restartedFleet(t *testing.T, nodes int, targetsLater int64) (restarted []*Ownership, tableWrites *int) {
	t.Helper()
	tableWrites = new(int)
	store, ctx := countingStore{memStore{memstore.New(memstore.Options{})}, tableWrites}, context.Background()
	put := func(key string, value []byte) {
		if _, err := store.memStore.Put(ctx, key, value, 0, "w"); err != nil {
			t.Fatal(err)
		}
	}
	f := newFleet(nodes)
	for _, entry := range f.entries {
		value, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		put(NodesPrefix+entry.Name, value)
	}
	value, err := f.newObserver(0, func() time.Duration { return time.Second }).tables["k"].Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(TablesPrefix+"k", value)
	for i := range f.entries {
		o := f.newObserver(i, func() time.Duration { return time.Second })
		o.store, o.peers, o.tables = store, make(map[string]*peer), make(map[string]*table)
		o.rereadTable(ctx, "k")
		target := f.entries[i].Target
		o.Heartbeat(holding.Report{ID: target.ID, Born: target.Born + targetsLater, Service: target.Service, Address: "x", Slots: 4, Sequence: 1})
		restarted = append(restarted, o)
	}
	for _, o := range restarted {
		continued := false
		if err := o.readEntries(ctx); err != nil || !o.renewOnce(ctx, &continued) {
			t.Fatal("lease not acquired", err)
		}
	}
	return restarted, tableWrites
}

// TestRestartOfAllNodesWritesTheTableOnce lets the nodes of a fleet prove their leases at the same time, each
// before it knows of the writes of the others.
func TestRestartOfAllNodesWritesTheTableOnce(t *testing.T) {
	const nodes = 30
	restarted, writes := restartedFleet(t, nodes, 0)
	rounds := 0
	for isProved := false; !isProved && rounds < 2*nodes; rounds++ {
		isProved = true
		for _, o := range restarted {
			o.reconcile(context.Background(), "k")
			isProved = isProved && (o.lease.Proved() || o.target.report.Service != "k")
		}
	}
	t.Logf("%d writes in %d rounds", *writes, rounds)
	if *writes > nodes || rounds > 2 {
		t.Errorf("%d nodes attempted %d writes of the table in %d rounds", nodes, *writes, rounds)
	}
}

// TestRestartOfAllTargetsIsWrittenByOneNode lets the nodes of a fleet remove the former processes of their targets
// from the table at the same time.
func TestRestartOfAllTargetsIsWrittenByOneNode(t *testing.T) {
	const nodes = 30
	restarted, writes := restartedFleet(t, nodes, 5000)
	ctx := context.Background()
	first := restarted[0]
	isStale := func(owner holding.Owner) bool {
		return !slices.ContainsFunc(restarted, func(o *Ownership) bool { return o.target.owner(o.cfg.Self.Name) == owner })
	}
	rounds := 0
	for hasStale := true; hasStale && rounds < 2*nodes; rounds++ {
		if err := first.readEntries(ctx); err != nil {
			t.Fatal(err)
		}
		for _, o := range restarted {
			o.reconcile(ctx, "k")
		}
		first.rereadTable(ctx, "k")
		hasStale = slices.ContainsFunc(first.tables["k"].OwnersInUse(), isStale)
	}
	t.Logf("%d writes in %d rounds", *writes, rounds)
	if *writes > nodes || rounds > 3 {
		t.Errorf("%d nodes attempted %d writes of the table in %d rounds", nodes, *writes, rounds)
	}
}

// TestFormerTargetThatMayLiveIsLeftToItsNode has a target report at another address while the former one may still
// hold keys: only its node knows when its grants have lapsed.
func TestFormerTargetThatMayLiveIsLeftToItsNode(t *testing.T) {
	restarted, _ := restartedFleet(t, 9, 0)
	node, planner, ctx := restarted[1], restarted[0], context.Background()
	former := node.target.owner("vm-0001")
	report := holding.Report{ID: "i-later", Address: "y", Born: former.Born + 5000, Service: "k", Slots: 4, Sequence: 1}
	isRemoved := func() bool {
		continued := false
		if !node.renewOnce(ctx, &continued) || planner.readEntries(ctx) != nil {
			t.Fatal("the entry is not written or not read")
		}
		_, removed := planner.lostOwners(planner.tables["k"].Table, planner.cfg.Clock())[former]
		return removed
	}
	if isRemoved() {
		t.Error("the present target is removed")
	}
	node.Heartbeat(report)
	if isRemoved() {
		t.Error("a former target that may still hold keys is removed")
	}
	node.formerTargets[0].ended = true
	if !isRemoved() {
		t.Error("a former target that has ended is not removed")
	}
}

// TestTableFromBeforeTheLeaseProvesNothing acquires a lease after the table was last written: a takeover that
// was decided before may still change it.
func TestTableFromBeforeTheLeaseProvesNothing(t *testing.T) {
	restarted, _ := restartedFleet(t, 9, 0)
	node, ctx := restarted[0], context.Background()
	known := node.tables["k"]
	if node.provesLease(known) {
		t.Error("the table that was written before the lease was acquired proves it")
	}
	if _, err := node.put(ctx, TablesPrefix+"k", mustEncode(t, known), known.version); err != nil {
		t.Fatal(err)
	}
	node.rereadTable(ctx, "k")
	if !node.provesLease(node.tables["k"]) {
		t.Error("the table that was written after the lease was acquired does not prove it")
	}
	// The store returns from a copy: tables of the new era prove nothing until the lease is renewed in it.
	restored := &table{Table: known.Clone(), version: objects.NewVersion(1, 1<<30)}
	restored.Era = 1
	node.enterEra(1, node.cfg.Clock())
	if node.provesLease(restored) || node.lease.Proved() {
		t.Error("a table proves the lease in an era in which it was not renewed")
	}
}

func mustEncode(t *testing.T, table *table) []byte {
	t.Helper()
	value, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}
