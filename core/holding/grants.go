package holding

// Report is what a target says of itself in one heartbeat.
type Report struct {
	ID string
	// Address is where the target takes requests.
	Address       string
	Service       string
	FailureDomain string
	// Slots is the number of requests that the target works on at a time.
	Slots int
	// Draining tells that the target will leave.
	Draining bool
	// Sequence grows with each report of one life.
	Sequence int64
	// ColdMillis is how much longer the target is slow after its start, in milliseconds.
	ColdMillis int64
	// Born is the Unix millisecond of the target's start.
	Born int64
	// Held are the ranges that the target holds or still works on.
	Held []Held
	// Freed are the ranges that it has released since its last acknowledged heartbeat.
	Freed []Freed
}

// Held is a range of keys that a target holds, both ends included.
type Held struct {
	From, To int
	Fence    int64
}

// Freed is a range of keys that a target has released, both ends included.
type Freed struct {
	From, To int
	Handover string
}

// Grant is a range of keys that a target shall hold, both ends included.
type Grant struct {
	From, To int
	Fence    int64
	// Handover is the token of the former holder's release, which spares the new one the time
	// of warming up; empty if there is none.
	Handover string
}

// AnswerSize is the room for grants in one answer to a heartbeat.
type AnswerSize struct {
	Bytes int
	// Row returns the number of bytes of a grant.
	Row func(Grant) int
}

// Grants returns what the owner shall hold, neighbouring slices of one grant joined. What the
// target holds already comes first; of the rest as much as fits, and what does not is granted
// with the next heartbeats. A handover token is sent until the target reports that it holds the
// slice.
func (t *Table) Grants(owner Owner, held []Held, size AnswerSize) []Grant {
	var kept, fresh []Grant
	for i, s := range t.Slices {
		if s.Owner < 0 || s.Next >= 0 || t.Owners[s.Owner] != owner {
			continue
		}
		g := Grant{From: i * SliceKeys, To: (i+1)*SliceKeys - 1, Fence: s.Fence, Handover: s.Handover}
		if holds(held, g.From, g.To, s.Fence) {
			g.Handover = ""
			kept = join(kept, g)
		} else {
			fresh = join(fresh, g)
		}
	}
	room := size.Bytes
	for _, g := range kept {
		room -= size.Row(g)
	}
	for _, g := range fresh {
		if room -= size.Row(g); room < 0 {
			break
		}
		kept = append(kept, g)
	}
	return kept
}

// join appends a grant, to the last one if it continues it.
func join(grants []Grant, g Grant) []Grant {
	if n := len(grants); n > 0 && grants[n-1].To+1 == g.From && grants[n-1].Fence == g.Fence &&
		grants[n-1].Handover == g.Handover {
		grants[n-1].To = g.To
		return grants
	}
	return append(grants, g)
}

// fits reports whether the grants of an owner fit into one answer once their tokens are taken.
func (t *Table) fits(owner Owner, size AnswerSize) bool {
	var grants []Grant
	for i, s := range t.Slices {
		if s.Owner >= 0 && t.Owners[s.Owner] == owner {
			grants = join(grants, Grant{From: i * SliceKeys, To: (i+1)*SliceKeys - 1, Fence: s.Fence})
		}
	}
	room := size.Bytes
	for _, g := range grants {
		room -= size.Row(g)
	}
	return room >= 0
}

// Level gives the slices of an owner whose grants do not fit into one answer a common token, so
// that neighbours join. It reports whether anything changed.
func (t *Table) Level(candidates []Candidate, size AnswerSize) bool {
	changed := false
	for _, c := range candidates {
		if t.fits(c.Owner, size) {
			continue
		}
		for i := range t.Slices {
			if s := &t.Slices[i]; s.Owner >= 0 && t.Owners[s.Owner] == c.Owner {
				s.Fence, s.Handover = t.Fence+1, ""
			}
		}
		changed = true
	}
	t.settle(changed)
	return changed
}

func holds(held []Held, from, to int, fence int64) bool {
	for _, h := range held {
		if h.From <= from && to <= h.To && h.Fence == fence {
			return true
		}
	}
	return false
}

// touches reports whether the target holds or works on any key of the range.
func touches(held []Held, from, to int) bool {
	for _, h := range held {
		if h.From <= to && from <= h.To {
			return true
		}
	}
	return false
}

// Releasable returns the moving slices of the owner that its target no longer holds, with their
// handover tokens. freed holds the releases of the target's life so far.
func (t *Table) Releasable(owner Owner, held []Held, freed map[int]string) map[int]string {
	ready := make(map[int]string)
	for i, s := range t.Slices {
		if s.Owner < 0 || s.Next < 0 || t.Owners[s.Owner] != owner {
			continue
		}
		if !touches(held, i*SliceKeys, (i+1)*SliceKeys-1) {
			ready[i] = freed[i]
		}
	}
	return ready
}

// Holds reports whether the target holds or works on any key of the slice.
func (r *Report) Holds(slice int) bool {
	return touches(r.Held, slice*SliceKeys, (slice+1)*SliceKeys-1)
}
