package holding

import "slices"

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

// loadModel holds the loads of the targets that are not leaving while moves are planned. Owners and
// candidates are compared once when it is built; after that, they are referred to by index.
type loadModel struct {
	// targets are the candidates that may receive slices.
	targets  []Candidate
	capacity []float64
	load     []float64
	// targetOf holds the index into targets of each of the table's owners; negative for an owner that may
	// not receive slices.
	targetOf []int
	// ownerOf holds the index into Table.Owners of each target; negative for one without slices.
	ownerOf []int
	// leaving marks the table's owners whose slices are to be moved away.
	leaving []bool
	// rates are the requests per second of each slice.
	rates [SliceCount]float64
	// mean is the load per unit of relative capacity over all targets.
	mean float64
	// meanSliceRate is the mean rate of a slice.
	meanSliceRate float64
	// totalCapacity is the sum of capacity.
	totalCapacity float64
}

// newLoadModel computes the loads of the targets. A slice that is being moved counts for its next
// owner.
func (t *Table) newLoadModel(candidates []Candidate) *loadModel {
	m := &loadModel{targetOf: make([]int, len(t.Owners)), leaving: make([]bool, len(t.Owners))}
	candidateOf := t.candidatesByOwner(candidates)
	targetOfCandidate := make([]int, len(candidates))
	for i, c := range candidates {
		targetOfCandidate[i] = -1
		if !c.Leaving && !t.isGone(c.Owner) {
			targetOfCandidate[i] = len(m.targets)
			m.targets = append(m.targets, c)
		}
	}
	m.ownerOf = make([]int, len(m.targets))
	for i := range m.ownerOf {
		m.ownerOf[i] = -1
	}
	for owner, c := range candidateOf {
		m.targetOf[owner] = -1
		if c < 0 {
			continue
		}
		m.leaving[owner] = candidates[c].Leaving
		if target := targetOfCandidate[c]; target >= 0 {
			m.targetOf[owner], m.ownerOf[target] = target, owner
		}
	}
	m.capacity, m.load = capacities(m.targets), make([]float64, len(m.targets))
	t.estimateRates(m, candidates, candidateOf)
	if slices.ContainsFunc(m.targets, func(c Candidate) bool { return c.Cold > 0 }) {
		t.estimateUnowned(m, candidateOf)
	}
	total := 0.0
	for i := range t.Slices {
		total += m.rates[i]
		if target := m.targetOfOwner(t.Slices[i].finalOwner()); target >= 0 {
			m.load[target] += m.rates[i]
		}
	}
	for _, c := range m.capacity {
		m.totalCapacity += c
	}
	m.meanSliceRate = total / SliceCount
	if m.totalCapacity > 0 {
		m.mean = total / m.totalCapacity
	}
	return m
}

// candidatesByOwner returns the index of the candidate that is each of the table's owners; negative for an
// owner that is not a candidate.
func (t *Table) candidatesByOwner(candidates []Candidate) []int {
	index := make(map[Owner]int, len(candidates))
	for i, c := range candidates {
		index[c.Owner] = i
	}
	found := make([]int, len(t.Owners))
	for i, owner := range t.Owners {
		found[i] = -1
		if c, ok := index[owner]; ok {
			found[i] = c
		}
	}
	return found
}

// finalOwner returns the index of the owner that the slice has once it has been moved; negative if it has
// none.
func (s *Slice) finalOwner() int {
	if s.Next >= 0 {
		return s.Next
	}
	return s.Owner
}

// targetOfOwner returns the index of a target by its index into Table.Owners; negative if the owner may not
// receive slices or there is none.
func (m *loadModel) targetOfOwner(owner int) int {
	if owner < 0 || owner >= len(m.targetOf) {
		return -1
	}
	return m.targetOf[owner]
}

// isLeaving reports whether the slices of an owner, given by its index into Table.Owners, are to be moved
// away.
func (m *loadModel) isLeaving(owner int) bool { return owner < len(m.leaving) && m.leaving[owner] }

// mustMove reports whether a slice is owned by a leaving target that it does not leave yet, or is being moved to one.
func (m *loadModel) mustMove(s *Slice) bool {
	if s.Next >= 0 {
		return m.isLeaving(s.Next)
	}
	return s.Owner >= 0 && m.isLeaving(s.Owner)
}

// ensureOwner returns the index into Table.Owners of a target, which is added to them if it is missing.
func (m *loadModel) ensureOwner(t *Table, target int) int {
	if m.ownerOf[target] < 0 {
		m.ownerOf[target] = len(t.Owners)
		t.Owners = append(t.Owners, m.targets[target].Owner)
		m.targetOf, m.leaving = append(m.targetOf, target), append(m.leaving, false)
	}
	return m.ownerOf[target]
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
// the rest of an owner's rate is spread evenly over its other slices. candidateOf holds the candidates by
// owner.
func (t *Table) estimateRates(m *loadModel, candidates []Candidate, candidateOf []int) {
	remaining, others := make([]float64, len(candidates)), make([]int, len(candidates))
	for i, c := range candidates {
		remaining[i] = c.Rate
	}
	var hot [SliceCount]bool
	for i := range t.Slices {
		m.rates[i] = baseSliceRate
		c := t.candidateOfSlice(i, candidateOf)
		if c < 0 {
			continue
		}
		if rate := candidates[c].Hot[i]; rate > 0 {
			m.rates[i] += rate
			remaining[c] -= rate
			hot[i] = true
		} else {
			others[c]++
		}
	}
	for i := range t.Slices {
		if c := t.candidateOfSlice(i, candidateOf); c >= 0 && !hot[i] {
			m.rates[i] += max(0, remaining[c]) / float64(others[c])
		}
	}
}

// estimateUnowned gives the slices whose owner measures no rate, as it is lost, the mean rate of the others, so that a
// cold target is not given the requests of a warm one.
func (t *Table) estimateUnowned(m *loadModel, candidateOf []int) {
	sum, measured := 0.0, 0
	for i := range t.Slices {
		if t.candidateOfSlice(i, candidateOf) >= 0 {
			sum += m.rates[i]
			measured++
		}
	}
	if measured == 0 {
		return
	}
	for i := range t.Slices {
		if t.candidateOfSlice(i, candidateOf) < 0 {
			m.rates[i] = sum / float64(measured)
		}
	}
}

// candidateOfSlice returns the index of the candidate that owns a slice; negative if there is none.
func (t *Table) candidateOfSlice(slice int, candidateOf []int) int {
	if owner := t.Slices[slice].Owner; owner >= 0 {
		return candidateOf[owner]
	}
	return -1
}

func (m *loadModel) rate(slice int) float64 { return m.rates[slice] }

func (m *loadModel) add(target int, rate float64) { m.load[target] += rate }

// loadWith returns a target's load relative to its capacity if a slice with the given rate were
// added.
func (m *loadModel) loadWith(target int, rate float64) float64 {
	return (m.load[target] + rate) / m.capacity[target]
}

// leastLoaded returns the target other than from that would have the lowest relative load with a
// slice of the given rate added; negative if there is none. Cold targets without room are left out.
func (m *loadModel) leastLoaded(from int, rate float64) int {
	best := -1
	for i := range m.targets {
		if i != from && m.hasColdRoom(i, rate) && (best < 0 || m.loadWith(i, rate) < m.loadWith(best, rate)) {
			best = i
		}
	}
	return best
}

// hasColdRoom reports whether a target can take a slice with the given rate: it is warm, or its load then stays within
// its cold rate.
func (m *loadModel) hasColdRoom(target int, rate float64) bool {
	cold := m.targets[target].Cold
	return cold <= 0 || m.load[target]+rate <= cold
}

// mayFill reports whether slices may move to a target only because it has few. A cold one gets the next ones only when
// its measured load shows those that it got before.
func (m *loadModel) mayFill(target int, settled bool) bool {
	return m.targets[target].Cold <= 0 || settled && m.hasColdRoom(target, baseSliceRate)
}

// nextOwner returns the target other than from for a slice that needs another owner; negative if there is none. If all
// targets are cold and none has room, it is the one whose load exceeds its cold rate by the smallest factor.
func (m *loadModel) nextOwner(from int, rate float64) int {
	best := m.leastLoaded(from, rate)
	if best >= 0 {
		return best
	}
	for i, c := range m.targets {
		if i == from {
			continue
		}
		if best < 0 || (m.load[i]+rate)/c.Cold < (m.load[best]+rate)/m.targets[best].Cold {
			best = i
		}
	}
	return best
}

// isOverloaded reports whether a target's load exceeds both its capacity and, by the allowed
// margins, its share, so that slices are moved away from it. A cold target keeps its slices: the move would leave them
// unserved, and the capacity that is measured while it is cold is not its own.
func (m *loadModel) isOverloaded(target int) bool {
	if m.targets[target].Cold > 0 {
		return false
	}
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
	return SliceCount * m.capacity[target] / m.totalCapacity
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

// sliceCounts returns the number of slices that each target has once all moves are done.
func (t *Table) sliceCounts(m *loadModel) []int {
	counts := make([]int, len(m.targets))
	for i := range t.Slices {
		if target := m.targetOfOwner(t.Slices[i].finalOwner()); target >= 0 {
			counts[target]++
		}
	}
	return counts
}
