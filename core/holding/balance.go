package holding

const (
	// excess is the share by which a target's load may exceed the mean before slices move: a move
	// costs the keys a pause, and rates measured over a second vary by about as much.
	excess = 0.2
	// settled is the share above the mean at which a target has given enough away.
	settled = 0.03
	// joinShare is the part of its fair share of slices that a target which joins is given in any
	// case: each move leaves a slice unserved for about half a heartbeat. The rest comes to it when
	// others are strained.
	joinShare = 0.5
	// joinBatch is the number of slices that move to targets which join at a time, so that few
	// keys are unserved at once.
	joinBatch = Slices / 16
	// strained and relieved are the shares of a target's capacity above which its slices move, and
	// down to which: a move leaves a slice unserved for about half a heartbeat, which only a target
	// that would refuse requests is worth.
	strained = 1.0
	relieved = 0.85
	// imbalance is the number of slices by which a target may exceed its share in any case.
	imbalance = 4
	// fewTargets is the number of targets up to which neighbouring slices are kept together: two
	// that took turns would each have 256 grants.
	fewTargets = 2
	// restRate is the rate of a slice beside its requests, so that slices without requests are
	// spread as well.
	restRate = 0.01
	// maxSkew bounds how much faster one target is taken to be than the mean.
	maxSkew = 3
)

// balance holds the loads of the staying targets while a plan is made.
type balance struct {
	targets  []Candidate
	capacity []float64
	load     []float64
	// rates are those of the slices.
	rates [Slices]float64
	mean  float64
	// slice is the mean rate of a slice.
	slice float64
}

// balance measures the loads; slices that move count where they go.
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

// capacities returns the targets' capacities relative to their mean; a target without a
// measurement counts as the mean.
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

// measure sets the rates of the slices: those that their owners measured, the rest of an owner's
// rate spread over its other slices.
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

// loadWith is a target's load, relative to its capacity, with a slice of the rate added.
func (b *balance) loadWith(target int, rate float64) float64 {
	return (b.load[target] + rate) / b.capacity[target]
}

// least returns the target other than from with the least load once the slice is added; negative
// if there is none.
func (b *balance) least(from int, rate float64) int {
	best := -1
	for i := range b.targets {
		if i != from && (best < 0 || b.loadWith(i, rate) < b.loadWith(best, rate)) {
			best = i
		}
	}
	return best
}

// isOver reports whether a target's load exceeds its share by so much that slices shall move.
func (b *balance) isOver(target int) bool {
	share := b.mean * b.capacity[target]
	return b.load[target] > share*(1+excess) && b.load[target] > share+imbalance*b.slice &&
		b.targets[target].Capacity > 0 && b.load[target] > strained*b.targets[target].Capacity
}

// isAbove reports whether a target's load exceeds its share.
func (b *balance) isAbove(target int) bool {
	return b.load[target] > b.mean*b.capacity[target]*(1+settled)
}

// isStrained reports whether a target has not given enough away to serve the rest with ease.
func (b *balance) isStrained(target int) bool {
	return b.load[target] > relieved*b.targets[target].Capacity
}

// share is the number of slices that a target would have if they followed the capacities.
func (b *balance) share(target int) float64 {
	sum := 0.0
	for _, c := range b.capacity {
		sum += c
	}
	return Slices * b.capacity[target] / sum
}

// hasRoom reports whether a target's load is so small that it may be given slices for no other
// reason than that it has few.
func (b *balance) hasRoom(target int) bool {
	c := b.targets[target].Capacity
	return c == 0 || b.load[target] < joinShare*relieved*c
}

// most returns the target other than to with the highest load; negative if there is none.
func (b *balance) most(to int) int {
	best := -1
	for i := range b.targets {
		if i != to && (best < 0 || b.loadWith(i, 0) > b.loadWith(best, 0)) {
			best = i
		}
	}
	return best
}

// count returns the number of slices that an owner has or is to have.
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
