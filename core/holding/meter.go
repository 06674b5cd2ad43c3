package holding

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHot is the number of hot slices that are told of.
	maxHot = 12
	// hotFactor is how many times the mean rate makes a slice hot.
	hotFactor = 3
	// smoothing is the weight of the latest reading of a rate.
	smoothing = 0.6
	// timeSmoothing is the weight of one request in the mean time that a request takes: times
	// spread so widely that the mean of fewer than about 50 is off by a fifth.
	timeSmoothing = 0.02
	// minServed is the number of requests from which that mean is told.
	minServed = 50
)

// Load is what a target's node measured of it.
type Load struct {
	// Rate is the number of requests a second that asked for the target's keys, served or not.
	Rate float64 `json:"rate"`
	// Capacity is the number of requests a second that its slots can serve; zero before anything
	// was measured.
	Capacity float64 `json:"capacity"`
	// Hot are the rates of the slices with far more requests than others.
	Hot map[int]float64 `json:"hot,omitempty"`
}

// Meter measures a target's load. It is pure; the user serialises the calls.
type Meter struct {
	counts [Slices]float64
	rates  [Slices]float64
	read   time.Duration
	// took is the smoothed time of a request in a slot, in seconds.
	took   float64
	served int
}

// Arrived counts a request for a key.
func (m *Meter) Arrived(key int) { m.counts[SliceOf(key)]++ }

// Served counts a request that a slot was busy with for the time.
func (m *Meter) Served(took time.Duration) {
	m.served++
	weight := max(timeSmoothing, 1/float64(m.served))
	m.took += weight * (took.Seconds() - m.took)
}

// Read returns the load since the last reading, smoothed with former ones.
func (m *Meter) Read(now time.Duration, slots int) Load {
	span := (now - m.read).Seconds()
	m.read = now
	load := Load{}
	if m.served >= minServed && m.took > 0 {
		load.Capacity = round(float64(slots) / m.took)
	}
	if span <= 0 {
		return load
	}
	var busy []int
	for i := range m.rates {
		m.rates[i] += smoothing * (m.counts[i]/span - m.rates[i])
		m.counts[i] = 0
		load.Rate += m.rates[i]
		if m.rates[i] > 0 {
			busy = append(busy, i)
		}
	}
	if len(busy) == 0 {
		return load
	}
	threshold := hotFactor * load.Rate / float64(len(busy))
	busy = slices.DeleteFunc(busy, func(i int) bool { return m.rates[i] < threshold })
	slices.SortFunc(busy, func(a, b int) int { return cmp.Compare(m.rates[b], m.rates[a]) })
	load.Hot = make(map[int]float64)
	for _, i := range busy[:min(maxHot, len(busy))] {
		load.Hot[i] = round(m.rates[i])
	}
	load.Rate = round(load.Rate)
	return load
}

// round keeps a figure short in the store.
func round(x float64) float64 { return float64(int64(x*10+0.5)) / 10 }
