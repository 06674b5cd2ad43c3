package ownership

import (
	"testing"

	"github.com/auburnrelay/auburnrelay/core/holding"
	"github.com/auburnrelay/auburnrelay/objects"
)

// TestMovingSliceIsCertainOnceItsNextOwnerHasReported begins an era while a slice is on its way.
func TestMovingSliceIsCertainOnceItsNextOwnerHasReported(t *testing.T) {
	node := newTestNode(t)
	node.heartbeat()
	node.startMove(5)
	node.now += second / 10
	node.heartbeat(allKeys)
	node.enterEra(1, node.now)
	table := &table{Table: node.tables["s"].Clone(), version: objects.NewVersion(1, 1)}
	table.BeginEra(1)
	node.Ownership.setTable("s", table)
	if !node.isCertain("s", node.owner, 4) {
		t.Error("a slice that the target holds is not certain")
	}
	if node.isCertain("s", node.owner, 5) {
		t.Error("a slice that was on its way is certain before its next owner has reported")
	}
	table.Report("vm-2", holding.NewTable("s"))
	if !node.isCertain("s", node.owner, 5) {
		t.Error("a slice that was on its way is not certain after its next owner has reported")
	}
}
