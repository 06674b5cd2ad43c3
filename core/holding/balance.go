package holding

const (
	// excess is the fraction by which a target's load may exceed its share before slices are moved
	// away: a move makes the keys unavailable for a moment, and rates measured over one second vary
	// by about as much.
	excess = 0.2
	// settled is the fraction above its share down to which slices are moved away from a target.
	settled = 0.03
	// joinShare is the fraction of its fair share of slices that a joining target receives
	// regardless of load. It is not all of it because each move leaves a slice unserved for about
	// half a heartbeat; the target receives more when others are overloaded.
	joinShare = 0.5
	// joinBatch is the largest number of slices that move to joining targets at a time, so that few
	// keys are unserved at once.
	joinBatch = Slices / 16
	// strained is the fraction of a target's capacity above which slices are moved away from it,
	// and relieved the fraction down to which they are. A move leaves a slice unserved for about
	// half a heartbeat, which is worth it only for a target that would otherwise refuse requests.
	strained = 1.0
	relieved = 0.85
	// imbalance is the load, in mean slices, by which a target may always exceed its share.
	imbalance = 4
	// fewTargets is the number of targets up to which adjacent slices are kept together: two
	// targets that alternated would each have 256 grants.
	fewTargets = 2
	// restRate is the rate in requests per second that every slice counts with in addition to its
	// requests, so that slices without requests are distributed as well.
	restRate = 0.01
	// maxSkew is the largest factor by which a target's capacity counts as above or below the mean.
	maxSkew = 3
)

// balance holds the loads of the targets that are not leaving while moves are planned.
type balance struct {
	targets  []Candidate
	capacity []float64
	load     []float64
	// rates are the requests per second of each slice.
	rates [Slices]float64
	// mean is the load per unit of relative capacity over all targets.
	mean float64
	// slice is the mean rate of a slice.
	slice float64
}

// balance computes the loads of the targets. A slice that is being moved counts for its next
// owner.
func (t *Table) balance(candidates []Candidate) *balance {
	b := &balance{}
	for _, c := range candidates {
		if !c.Leaving && !t.isGone(c.Owner) {
			b.targets = append(b.targets, c)
		}
	}
	b.capacity, b.load = capacities(b.targets), make([]float64, len(b.targets))
	t.measure(b, candidates)
	total, room := 0.0, 0.0
	for i, s := range t.Slices {
		total += b.rates[i]
		at := s.Owner
		if s.Next >= 0 {
			at = s.Next
		}
		if at < 0 {
			continue
		}
		for j, c := range b.targets {
			if c.Owner == t.Owners[at] {
				b.load[j] += b.rates[i]
			}
		}
	}
	for _, c := range b.capacity {
		room += c
	}
	b.slice = total / Slices
	if room > 0 {
		b.mean = total / room
	}
	return b
}

// capacities returns the targets' capacities relative to their mean; a target whose capacity is
// unknown counts as the mean.
func capacities(targets []Candidate) []float64 {
	sum, known := 0.0, 0
	for _, c := range targets {
		if c.Capacity > 0 {
			sum += c.Capacity
			known++
		}
	}
	list := make([]float64, len(targets))
	for i, c := range targets {
		list[i] = 1
		if c.Capacity > 0 {
			list[i] = min(maxSkew, max(1.0/maxSkew, c.Capacity*float64(known)/sum))
		}
	}
	return list
}

// measure sets the rates of the slices. Hot slices have the rate that their owner measured; the
// rest of an owner's rate is spread evenly over its other slices.
func (t *Table) measure(b *balance, candidates []Candidate) {
	for i := range b.rates {
		b.rates[i] = restRate
	}
	for _, c := range candidates {
		var own []int
		rest := c.Rate
		for i, s := range t.Slices {
			if s.Owner < 0 || t.Owners[s.Owner] != c.Owner {
				continue
			}
			if hot := c.Hot[i]; hot > 0 {
				b.rates[i] += hot
				rest -= hot
			} else {
				own = append(own, i)
			}
		}
		for _, i := range own {
			b.rates[i] += max(0, rest) / float64(len(own))
		}
	}
}

func (b *balance) rate(slice int) float64 { return b.rates[slice] }

func (b *balance) add(target int, rate float64) { b.load[target] += rate }

// loadWith returns a target's load relative to its capacity if a slice with the given rate were
// added.
func (b *balance) loadWith(target int, rate float64) float64 {
	return (b.load[target] + rate) / b.capacity[target]
}

// least returns the target other than from that would have the lowest relative load with a slice
// of the given rate added; negative if there is none.
func (b *balance) least(from int, rate float64) int {
	best := -1
	for i := range b.targets {
		if i != from && (best < 0 || b.loadWith(i, rate) < b.loadWith(best, rate)) {
			best = i
		}
	}
	return best
}

// isOver reports whether a target's load exceeds both its capacity and, by the allowed margins, its
// share, so that slices are moved away from it.
func (b *balance) isOver(target int) bool {
	share := b.mean * b.capacity[target]
	return b.load[target] > share*(1+excess) && b.load[target] > share+imbalance*b.slice &&
		b.targets[target].Capacity > 0 && b.load[target] > strained*b.targets[target].Capacity
}

// isAbove reports whether a target's load still exceeds its share.
func (b *balance) isAbove(target int) bool {
	return b.load[target] > b.mean*b.capacity[target]*(1+settled)
}

// isStrained reports whether more slices must move away from a target to leave it spare capacity.
func (b *balance) isStrained(target int) bool {
	return b.load[target] > relieved*b.targets[target].Capacity
}

// share returns the number of slices that a target would have if all slices were distributed in
// proportion to capacity.
func (b *balance) share(target int) float64 {
	sum := 0.0
	for _, c := range b.capacity {
		sum += c
	}
	return Slices * b.capacity[target] / sum
}

// hasRoom reports whether a target's load is low enough to assign slices to it only because it has
// few.
func (b *balance) hasRoom(target int) bool {
	c := b.targets[target].Capacity
	return c == 0 || b.load[target] < joinShare*relieved*c
}

// most returns the target other than to with the highest relative load; negative if there is none.
func (b *balance) most(to int) int {
	best := -1
	for i := range b.targets {
		if i != to && (best < 0 || b.loadWith(i, 0) > b.loadWith(best, 0)) {
			best = i
		}
	}
	return best
}

// count returns the number of slices that an owner has once all moves are done.
func (t *Table) count(o Owner) int {
	n := 0
	for _, s := range t.Slices {
		at := s.Owner
		if s.Next >= 0 {
			at = s.Next
		}
		if at >= 0 && t.Owners[at] == o {
			n++
		}
	}
	return n
}
