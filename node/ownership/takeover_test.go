package ownership

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

// memStore is a Store in memory.
type memStore struct{ *memstore.Store }

func (s memStore) ListStale(ctx context.Context, prefix string) (objects.Listing, error) {
	return s.List(ctx, prefix)
}

// TestConsentToAFormerRevocationAllowsNoTakeover renews a lease after a revocation to which the voters have
// consented; another node then revokes it again.
func TestConsentToAFormerRevocationAllowsNoTakeover(t *testing.T) {
	node, ctx := newTestNode(t), context.Background()
	store := memStore{memstore.New(memstore.Options{})}
	node.store = store
	entry := Entry{Name: "vm-2", Address: "b", LeaseMillis: 4000, Voters: []string{"vm-3"}}
	write := func(renewal int64, revokedBy string, expected objects.Version) objects.Version {
		t.Helper()
		entry.Renewal, entry.RevokedBy = renewal, revokedBy
		value, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		version, err := store.Put(ctx, NodesPrefix+entry.Name, value, expected, "w")
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	first := write(1, "vm-3", 0)
	known := entry
	node.observeEntry(&known, first, node.now)
	node.consentedRevocations[entry.Name] = first
	seen := *node.peers[entry.Name]
	write(2, "vm-3", write(2, "", first))
	if node.revokeLease(ctx, seen) {
		t.Error("the later revocation counts as the one to which the voters consented")
	}
}
