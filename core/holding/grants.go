package holding

import "slices"

// MaxSlots is the largest number of slots that a target may report. Targets have a few dozen at most; the length of
// queues grows with it.
const MaxSlots = 1 << 16

// Report is the state that a target reports in one heartbeat.
type Report struct {
	ID string
	// Address is where the target accepts requests.
	Address       string
	Service       string
	FailureDomain string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is set when the target is about to leave.
	Draining bool
	// Sequence increases with every report of the same target process.
	Sequence int64
	// WarmUpMillis is the remaining time, in milliseconds, during which the target is slow after
	// its start.
	WarmUpMillis int64
	// Born is the start time of the target process in Unix milliseconds.
	Born int64
	// Held lists the ranges that the target holds or still works on.
	Held []Held
	// Freed lists the ranges that it has released since its last acknowledged heartbeat.
	Freed []Freed
}

// Held is a range of keys that a target holds, both bounds inclusive.
type Held struct {
	From, To int
	Fence    int64
}

// Freed is a range of keys that a target has released, both bounds inclusive. Handover is the token
// that it gave with the release.
type Freed struct {
	From, To int
	Handover string
}

// Slices returns the slices that the range covers whole, from the first one up to, but without, end. Keys outside the
// key space are left out.
func (f Freed) Slices() (first, end int) {
	from, to := max(f.From, 0), min(f.To, KeyMax)
	if from > to {
		return 0, 0
	}
	return (from + SliceKeys - 1) / SliceKeys, (to + 1) / SliceKeys
}

// Grant is a range of keys that a target is to hold, both bounds inclusive.
type Grant struct {
	From, To int
	Fence    int64
	// Handover is the token of the previous holder's release, which spares the new holder the
	// warm-up; empty if there is none.
	Handover string
}

// ResponseLimit limits the grants in one heartbeat response.
type ResponseLimit struct {
	// Bytes is the space for all grants together.
	Bytes int
	// GrantBytes returns the encoded size of a grant in bytes.
	GrantBytes func(Grant) int
}

// Grants returns the grants for one heartbeat response to the owner; adjacent slices with the same
// fence and handover token are merged. Grants that the target already holds come first and are
// always included. New ones follow as long as they fit; the others are left to later heartbeats. A
// handover token is repeated until the target reports that it holds the slice.
func (t *Table) Grants(owner Owner, held []Held, limit ResponseLimit) []Grant {
	return t.GrantsFrom(owner, held, limit, func(int) bool { return true })
}

// GrantsFrom is Grants for the slices that the function selects.
func (t *Table) GrantsFrom(owner Owner, held []Held, limit ResponseLimit, selects func(slice int) bool) []Grant {
	var kept, added []Grant
	for i, s := range t.Slices {
		if s.Owner < 0 || s.Next >= 0 || t.Owners[s.Owner] != owner || !selects(i) {
			continue
		}
		g := Grant{From: i * SliceKeys, To: (i+1)*SliceKeys - 1, Fence: s.Fence, Handover: s.Handover}
		if holdsAll(held, g.From, g.To, s.Fence) {
			g.Handover = ""
			kept = appendMerged(kept, g)
		} else {
			added = appendMerged(added, g)
		}
	}
	remaining := limit.Bytes
	for _, g := range kept {
		remaining -= limit.GrantBytes(g)
	}
	for _, g := range added {
		if remaining -= limit.GrantBytes(g); remaining < 0 {
			break
		}
		kept = append(kept, g)
	}
	return kept
}

// appendMerged appends a grant, or extends the last one if the new grant continues it.
func appendMerged(grants []Grant, g Grant) []Grant {
	if n := len(grants); n > 0 && grants[n-1].To+1 == g.From && grants[n-1].Fence == g.Fence &&
		grants[n-1].Handover == g.Handover {
		grants[n-1].To = g.To
		return grants
	}
	return append(grants, g)
}

// exceedResponse returns, by index into Owners, whether the grants of an owner do not fit into one response
// even once its target has received their handover tokens, which are then no longer sent. Owners that are
// not a candidate are left out; candidateOf holds the candidates by owner.
func (t *Table) exceedResponse(candidateOf []int, limit ResponseLimit) []bool {
	last, bytes := make([]Grant, len(t.Owners)), make([]int, len(t.Owners))
	for i := range t.Slices {
		s := &t.Slices[i]
		if s.Owner < 0 || candidateOf[s.Owner] < 0 {
			continue
		}
		g := &last[s.Owner]
		if g.To > 0 && g.To+1 == i*SliceKeys && g.Fence == s.Fence {
			g.To = (i+1)*SliceKeys - 1
			continue
		}
		if g.To > 0 {
			bytes[s.Owner] += limit.GrantBytes(*g)
		}
		*g = Grant{From: i * SliceKeys, To: (i+1)*SliceKeys - 1, Fence: s.Fence}
	}
	exceed := make([]bool, len(t.Owners))
	for owner, g := range last {
		if g.To > 0 {
			exceed[owner] = bytes[owner]+limit.GrantBytes(g) > limit.Bytes
		}
	}
	return exceed
}

// MergeGrants gives all slices of an owner whose grants do not fit into one response the same new
// fencing token and drops their handover tokens, so that adjacent slices merge into one grant. It
// reports whether anything changed.
func (t *Table) MergeGrants(candidates []Candidate, limit ResponseLimit) bool {
	exceed := t.exceedResponse(t.candidatesByOwner(candidates), limit)
	for i := range t.Slices {
		if s := &t.Slices[i]; s.Owner >= 0 && exceed[s.Owner] {
			s.Fence, s.Handover = t.Fence+1, ""
		}
	}
	changed := slices.Contains(exceed, true)
	t.advanceFence(changed)
	return changed
}

// holdsAll reports whether the target holds the whole range under the fencing token.
func holdsAll(held []Held, from, to int, fence int64) bool {
	for _, h := range held {
		if h.From <= from && to <= h.To && h.Fence == fence {
			return true
		}
	}
	return false
}

// overlapsAny reports whether the target still holds or works on any key of the range.
func overlapsAny(held []Held, from, to int) bool {
	for _, h := range held {
		if h.From <= to && from <= h.To {
			return true
		}
	}
	return false
}

// Releasable returns the moving slices of the owner that its target no longer holds, with their
// handover tokens. freed maps the slices that the target process has released so far to their
// tokens.
func (t *Table) Releasable(owner Owner, held []Held, freed map[int]string) map[int]string {
	ready := make(map[int]string)
	for i, s := range t.Slices {
		if s.Owner < 0 || s.Next < 0 || t.Owners[s.Owner] != owner {
			continue
		}
		if !overlapsAny(held, i*SliceKeys, (i+1)*SliceKeys-1) {
			ready[i] = freed[i]
		}
	}
	return ready
}

// Holds reports whether the target still holds or works on any key of the slice.
func (r *Report) Holds(slice int) bool {
	return overlapsAny(r.Held, slice*SliceKeys, (slice+1)*SliceKeys-1)
}
