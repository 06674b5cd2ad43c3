package holding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxHotSlices is the largest number of hot slices that a Load lists.
	maxHotSlices = 12
	// hotFactor is the multiple of the mean rate of all slices with requests from which a slice
	// counts as hot.
	hotFactor = 3
	// rateSmoothing is the weight of the latest reading in the moving average of a slice's rate.
	rateSmoothing = 0.6
	// serviceTimeSmoothing is the weight of one request in the moving average of service times.
	// Service times vary widely: a mean over fewer than about 50 requests may be wrong by a fifth.
	serviceTimeSmoothing = 0.02
	// minServedRequests is the number of requests from which that mean is used.
	minServedRequests = 50
)

// Load is the load of a target as measured by its node.
type Load struct {
	// Rate is the number of requests per second for the target's keys, served or not.
	Rate float64 `json:"rate"`
	// Capacity is the number of requests per second that its slots can serve and its limit, if it has
	// one, allows; zero if there is no limit and too few requests were measured.
	Capacity float64 `json:"capacity"`
	// Cold is the number of requests per second that the target can take for now because it is or may be cold; zero if
	// it is warm. It does not lower Capacity.
	Cold float64 `json:"cold,omitempty"`
	// Hot maps each hot slice to its requests per second.
	Hot map[int]float64 `json:"hot,omitempty"`
}

// steadyShare is the share by which a value of a load may differ from the one announced before without being announced
// anew. Measured rates vary by about that much from one reading to the next, and each new digit makes the whole entry of
// the node differ for all others.
const steadyShare = 0.1

// Steady returns the load with those values of a former one that have hardly changed. Zero differs from all others.
func (l Load) Steady(former Load) Load {
	l.Rate, l.Capacity = steadyValue(l.Rate, former.Rate), steadyValue(l.Capacity, former.Capacity)
	if l.Hot == nil {
		return l
	}
	hot := make(map[int]float64, len(l.Hot))
	for slice, rate := range l.Hot {
		hot[slice] = steadyValue(rate, former.Hot[slice])
	}
	l.Hot = hot
	return l
}

func steadyValue(latest, former float64) float64 {
	// Values have one decimal, so that those next to each other count as equal.
	const unit, rounding = 0.1, 1e-9
	if latest > 0 && former > 0 && math.Abs(latest-former) <= max(steadyShare*former, unit)+rounding {
		return former
	}
	return latest
}

// minCapacity is the lowest capacity of a target with a limit; zero would mean an unknown one.
const minCapacity = 0.1

// LimitCapacity bounds the capacity by a limit on the requests per second.
func (l *Load) LimitCapacity(perSecond float64) {
	limit := max(minCapacity, roundToTenth(perSecond))
	if l.Capacity == 0 || limit < l.Capacity {
		l.Capacity = limit
	}
}

// Meter measures a target's load. It reads no clock and is not safe for concurrent use.
type Meter struct {
	counts   [SliceCount]float64
	rates    [SliceCount]float64
	lastRead time.Duration
	// meanSeconds is the moving average of the time that a request occupies a slot, in seconds.
	meanSeconds float64
	served      int
}

// Arrived counts a request for a key.
func (m *Meter) Arrived(key int) { m.counts[SliceOf(key)]++ }

// Served counts a request that occupied a slot for the duration took.
func (m *Meter) Served(took time.Duration) {
	m.served++
	weight := max(serviceTimeSmoothing, 1/float64(m.served))
	m.meanSeconds += weight * (took.Seconds() - m.meanSeconds)
}

// Read returns the load since the last call, smoothed with the previous readings.
func (m *Meter) Read(now time.Duration, slots int) Load {
	elapsed := (now - m.lastRead).Seconds()
	m.lastRead = now
	load := Load{}
	if m.served >= minServedRequests && m.meanSeconds > 0 {
		load.Capacity = roundToTenth(float64(slots) / m.meanSeconds)
	}
	if elapsed <= 0 {
		return load
	}
	var busy []int
	for i := range m.rates {
		m.rates[i] += rateSmoothing * (m.counts[i]/elapsed - m.rates[i])
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
	for _, i := range busy[:min(maxHotSlices, len(busy))] {
		load.Hot[i] = roundToTenth(m.rates[i])
	}
	load.Rate = roundToTenth(load.Rate)
	return load
}

// roundToTenth rounds to one decimal, which keeps stored loads small.
func roundToTenth(x float64) float64 { return float64(int64(x*10+0.5)) / 10 }
