package hedge

import (
	"math"
	"time"
)

const (
	// shortestTime is the upper bound of the first bucket of an estimate. A second send after less gains nothing: the way
	// to another node and back takes as long.
	shortestTime = time.Millisecond
	// bucketRatio is the ratio between the upper bounds of neighbouring buckets and so the largest relative error of a
	// quantile.
	bucketRatio = 1.1
	// bucketCount makes the last bound 1 ms * 1.1^119, about 84 s, which is longer than the timeouts of routes. Longer
	// times are counted in the last bucket.
	bucketCount = 120
	// generationSize is the number of answer times after which a generation is complete. 200 have 10 above the 95th
	// percentile.
	generationSize = 200
	// generationTime bounds the age of a generation, so that times from before a change of the load are forgotten.
	generationTime = 30 * time.Second
	// minSamples is the number of answer times below which a quantile is not known; two of them are above the 95th
	// percentile.
	minSamples = 40
)

// estimate holds a class's recent answer times in two histograms with buckets of exponentially growing width: the
// running generation and the one before it.
type estimate struct {
	running, before generation
	// turnedAt is when the running generation began.
	turnedAt, usedAt time.Duration
}

type generation struct {
	counts [bucketCount]uint16
	total  int
}

func bucketOf(took time.Duration) int {
	if took <= shortestTime {
		return 0
	}
	i := math.Ceil(math.Log(float64(took)/float64(shortestTime)) / math.Log(bucketRatio))
	return min(int(i), bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortestTime) * math.Pow(bucketRatio, float64(bucket)))
}

func (e *estimate) add(now, took time.Duration) {
	e.turn(now)
	e.running.counts[bucketOf(took)]++
	e.running.total++
}

// turn begins a new generation if the running one is complete or too old.
func (e *estimate) turn(now time.Duration) {
	age := now - e.turnedAt
	if e.running.total < generationSize && age < generationTime {
		return
	}
	e.before = e.running
	if age >= 2*generationTime {
		e.before = generation{}
	}
	e.running, e.turnedAt = generation{}, now
}

// quantile returns the time within which the share q of the answers arrived, and false if too few are known.
func (e *estimate) quantile(now time.Duration, q float64) (time.Duration, bool) {
	e.turn(now)
	total := e.running.total + e.before.total
	if total < minSamples {
		return 0, false
	}
	rank := int(math.Ceil(q * float64(total)))
	for i := range bucketCount {
		rank -= int(e.running.counts[i]) + int(e.before.counts[i])
		if rank <= 0 {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}
