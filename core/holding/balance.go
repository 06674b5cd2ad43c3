package holding

const (
	// overloadMargin is the fraction by which a target's load may exceed its share before slices
	// are moved away: a move makes the keys unavailable for a moment, and rates measured over one
	// second vary by about this fraction.
	overloadMargin = 0.2
	// balancedMargin is the fraction by which the load of a target may still exceed its share once
	// enough slices have been moved away from it.
	balancedMargin = 0.03
	// joinFraction is the fraction of its fair share of slices that a joining target receives
	// regardless of load. It is below 1 because each move leaves a slice unserved for about half a
	// heartbeat; the target receives more when others are overloaded.
	joinFraction = 0.5
	// joinBatch is the largest number of slices that move to joining targets at a time, so that few
	// keys are unserved at once.
	joinBatch = SliceCount / 16
	// overloadUtilization is the fraction of a target's capacity above which slices are moved away
	// from it, and reliefUtilization the fraction down to which they are. A move leaves a slice
	// unserved for about half a heartbeat, which is worth it only for a target that would otherwise
	// refuse requests.
	overloadUtilization = 1.0
	reliefUtilization   = 0.85
	// slackSlices is the load, in mean slices, by which a target may always exceed its share.
	slackSlices = 4
	// maxMergingTargets is the number of targets up to which adjacent slices are kept together: two
	// targets with alternate slices would have 512 grants each, too many for one heartbeat response.
	maxMergingTargets = 2
	// baseSliceRate is the rate in requests per second that every slice counts with in addition to
	// its requests, so that slices without requests are distributed as well.
	baseSliceRate = 0.01
	// maxCapacityRatio is the largest factor by which a target's capacity counts as above or below
	// the mean.
	maxCapacityRatio = 3
)

// loadModel holds the loads of the targets that are not leaving while moves are planned.
type loadModel struct {
	targets  []Candidate
	capacity []float64
	load     []float64
	// rates are the requests per second of each slice.
	rates [SliceCount]float64
	// mean is the load per unit of relative capacity over all targets.
	mean float64
	// meanSliceRate is the mean rate of a slice.
	meanSliceRate float64
}

// newLoadModel computes the loads of the targets. A slice that is being moved counts for its next
// owner.
func (t *Table) newLoadModel(candidates []Candidate) *loadModel {
	m := &loadModel{}
	for _, c := range candidates {
		if !c.Leaving && !t.isGone(c.Owner) {
			m.targets = append(m.targets, c)
		}
	}
	m.capacity, m.load = capacities(m.targets), make([]float64, len(m.targets))
	t.estimateRates(m, candidates)
	total, totalCapacity := 0.0, 0.0
	for i, s := range t.Slices {
		total += m.rates[i]
		owner := s.Owner
		if s.Next >= 0 {
			owner = s.Next
		}
		if owner < 0 {
			continue
		}
		for j, c := range m.targets {
			if c.Owner == t.Owners[owner] {
				m.load[j] += m.rates[i]
			}
		}
	}
	for _, c := range m.capacity {
		totalCapacity += c
	}
	m.meanSliceRate = total / SliceCount
	if totalCapacity > 0 {
		m.mean = total / totalCapacity
	}
	return m
}

// capacities returns the targets' capacities relative to their mean; a target whose capacity is
// unknown counts as the mean.
func capacities(targets []Candidate) []float64 {
	sum, measured := 0.0, 0
	for _, c := range targets {
		if c.Capacity > 0 {
			sum += c.Capacity
			measured++
		}
	}
	relative := make([]float64, len(targets))
	for i, c := range targets {
		relative[i] = 1
		if c.Capacity > 0 {
			relative[i] = min(maxCapacityRatio, max(1.0/maxCapacityRatio, c.Capacity*float64(measured)/sum))
		}
	}
	return relative
}

// estimateRates sets the rates of the slices. Hot slices have the rate that their owner measured;
// the rest of an owner's rate is spread evenly over its other slices.
func (t *Table) estimateRates(m *loadModel, candidates []Candidate) {
	for i := range m.rates {
		m.rates[i] = baseSliceRate
	}
	for _, c := range candidates {
		var others []int
		remaining := c.Rate
		for i, s := range t.Slices {
			if s.Owner < 0 || t.Owners[s.Owner] != c.Owner {
				continue
			}
			if hot := c.Hot[i]; hot > 0 {
				m.rates[i] += hot
				remaining -= hot
			} else {
				others = append(others, i)
			}
		}
		for _, i := range others {
			m.rates[i] += max(0, remaining) / float64(len(others))
		}
	}
}

func (m *loadModel) rate(slice int) float64 { return m.rates[slice] }

func (m *loadModel) add(target int, rate float64) { m.load[target] += rate }

// loadWith returns a target's load relative to its capacity if a slice with the given rate were
// added.
func (m *loadModel) loadWith(target int, rate float64) float64 {
	return (m.load[target] + rate) / m.capacity[target]
}

// leastLoaded returns the target other than from that would have the lowest relative load with a
// slice of the given rate added; negative if there is none.
func (m *loadModel) leastLoaded(from int, rate float64) int {
	best := -1
	for i := range m.targets {
		if i != from && (best < 0 || m.loadWith(i, rate) < m.loadWith(best, rate)) {
			best = i
		}
	}
	return best
}

// isOverloaded reports whether a target's load exceeds both its capacity and, by the allowed
// margins, its share, so that slices are moved away from it.
func (m *loadModel) isOverloaded(target int) bool {
	share := m.mean * m.capacity[target]
	return m.load[target] > share*(1+overloadMargin) && m.load[target] > share+slackSlices*m.meanSliceRate &&
		m.targets[target].Capacity > 0 && m.load[target] > overloadUtilization*m.targets[target].Capacity
}

// isAboveShare reports whether a target's load still exceeds its share by more than balancedMargin.
func (m *loadModel) isAboveShare(target int) bool {
	return m.load[target] > m.mean*m.capacity[target]*(1+balancedMargin)
}

// needsRelief reports whether a target's load is still above reliefUtilization of its capacity.
func (m *loadModel) needsRelief(target int) bool {
	return m.load[target] > reliefUtilization*m.targets[target].Capacity
}

// fairShare returns the number of slices that a target would have if all slices were distributed in
// proportion to capacity.
func (m *loadModel) fairShare(target int) float64 {
	sum := 0.0
	for _, c := range m.capacity {
		sum += c
	}
	return SliceCount * m.capacity[target] / sum
}

// hasSpareCapacity reports whether a target's load is low enough to move slices to it only because
// it has few: below joinFraction of the load down to which an overloaded target is relieved.
func (m *loadModel) hasSpareCapacity(target int) bool {
	c := m.targets[target].Capacity
	return c == 0 || m.load[target] < joinFraction*reliefUtilization*c
}

// mostLoaded returns the target other than to with the highest relative load; negative if there is
// none.
func (m *loadModel) mostLoaded(to int) int {
	best := -1
	for i := range m.targets {
		if i != to && (best < 0 || m.loadWith(i, 0) > m.loadWith(best, 0)) {
			best = i
		}
	}
	return best
}

// sliceCount returns the number of slices that an owner has once all moves are done.
func (t *Table) sliceCount(o Owner) int {
	n := 0
	for _, s := range t.Slices {
		owner := s.Owner
		if s.Next >= 0 {
			owner = s.Next
		}
		if owner >= 0 && t.Owners[owner] == o {
			n++
		}
	}
	return n
}
