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

// Grants returns what the owner shall hold, neighbouring slices of one grant joined. A handover
// token is sent until the target reports that it holds the slice.
func (t *Table) Grants(owner Owner, held []Held) []Grant {
	var grants []Grant
	for i, s := range t.Slices {
		if s.Owner < 0 || s.Next >= 0 || t.Owners[s.Owner] != owner {
			continue
		}
		from, to := i*SliceKeys, (i+1)*SliceKeys-1
		g := Grant{From: from, To: to, Fence: s.Fence, Handover: s.Handover}
		if g.Handover != "" && holds(held, from, to, s.Fence) {
			g.Handover = ""
		}
		if n := len(grants); n > 0 && grants[n-1].To+1 == from && grants[n-1].Fence == g.Fence &&
			grants[n-1].Handover == g.Handover {
			grants[n-1].To = to
			continue
		}
		grants = append(grants, g)
	}
	return grants
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
