package holding

import "slices"

// eraFenceGap is added to the fencing tokens for each new era. It exceeds the number of tokens that can
// have been issued in the writes that the store has lost: a table is written at most 20 times a second,
// and copies are seconds old.
const eraFenceGap = 1024

// NewTableInEra returns a table without owners for a store that has none of the service. After era zero
// the store may have lost an earlier table, so the new one is not settled.
func NewTableInEra(service string, era int64) *Table {
	t := NewTable(service)
	t.Era = era
	t.Fence = era * eraFenceGap
	t.EraFence = t.Fence
	return t
}

// BeginEra records that the table is taken up again after the store returned from an older copy, which may
// have lost later writes of it. Until Settle is called, the table may name owners that have lost their
// slices in a lost write: only AssignedInEra slices are certain.
func (t *Table) BeginEra(era int64) {
	t.Fence += eraFenceGap * (era - t.Era)
	t.Era = era
	t.EraFence = t.Fence
	t.Reported = nil
}

// Report records what a node knew when the era began: slices with a later token than here get their state in
// known. The node's lease must have been valid and proved at that time, so that it knew of every change of
// the slices that it owned. Report returns whether anything changed.
func (t *Table) Report(node string, known *Table) bool {
	changed := false
	for i, s := range known.Slices {
		if s.Owner < 0 || s.Fence <= t.Slices[i].Fence {
			continue
		}
		t.Slices[i] = Slice{Owner: t.ensureOwner(known.Owners[s.Owner]), Fence: s.Fence, Handover: s.Handover, Next: -1}
		t.Fence = max(t.Fence, s.Fence)
		changed = true
	}
	if t.HasReported(node) {
		return changed
	}
	t.Reported = append(t.Reported, node)
	return true
}

// HasReported reports whether a node has reported what it knew when the era began.
func (t *Table) HasReported(node string) bool { return slices.Contains(t.Reported, node) }

// Settle records that no grant from before the era can still run, so that all owners of the table may act.
// Grants from before the era get a new token: a lost write may have issued a higher one for their slices.
func (t *Table) Settle() {
	changed := false
	for i := range t.Slices {
		if s := &t.Slices[i]; s.Owner >= 0 && !t.AssignedInEra(i) {
			s.Fence, changed = t.Fence+1, true
		}
	}
	t.advanceFence(changed)
	t.EraFence, t.Reported = 0, nil
}

// IsSettled reports whether all owners that the table names may act.
func (t *Table) IsSettled() bool { return t.EraFence == 0 }

// AssignedInEra reports whether the slice was assigned to its owner in this era, or the table is settled.
func (t *Table) AssignedInEra(slice int) bool { return t.Slices[slice].Fence > t.EraFence }

// Reclaim gives a slice back to the owner that has held it since before the era, in the state before.
func (t *Table) Reclaim(slice int, owner Owner, state Slice) {
	t.Slices[slice] = Slice{Owner: t.ensureOwner(owner), Fence: state.Fence, Handover: state.Handover, Next: -1}
	t.Fence = max(t.Fence, state.Fence)
}
