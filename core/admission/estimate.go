package admission

import (
	"math"
	"time"
)

const (
	// estimateWeight is the weight of a new observation in the moving average of a class.
	estimateWeight = 0.25
	// medianStep is how far one observation moves the estimated median, on a logarithmic scale.
	medianStep = 0.05
	// firstMedianStep is the step of the first observation; it shrinks with each further one
	// down to medianStep.
	firstMedianStep = 0.7
	// maxClasses is the maximum number of tracked classes. When it is reached, the classes
	// seen least recently are evicted.
	maxClasses = 1024
)

// Class identifies requests that are expected to take about the same time: those of one
// service, method and kind of path.
type Class uint64

// classTime is the estimated work time of one class. logTime is the natural logarithm of the
// time in nanoseconds.
type classTime struct {
	logTime  float64
	count    int
	lastSeen time.Duration
}

// estimator estimates the work time of each class and the median work time over all classes.
type estimator struct {
	classes map[Class]*classTime
	// median is the natural logarithm of the estimated median work time in nanoseconds.
	median float64
	// typicalTime is the estimated median work time, or zero before the first observation.
	typicalTime time.Duration
	count       int
}

func newEstimator() estimator { return estimator{classes: map[Class]*classTime{}} }

// observe updates the estimate of a class with the time of a request that has finished or
// runs longer than expected. The first observation sets the estimate; the next few have a
// high weight so that the estimate converges quickly.
func (e *estimator) observe(now time.Duration, class Class, took time.Duration) {
	c, known := e.classes[class]
	if !known {
		e.evictClasses()
		c = &classTime{}
		e.classes[class] = c
	}
	c.count++
	c.lastSeen = now
	weight := max(estimateWeight, 1/float64(c.count))
	c.logTime += weight * (logNanoseconds(took) - c.logTime)
}

// observeTypical updates the estimated median with the time of a finished request.
func (e *estimator) observeTypical(took time.Duration) {
	e.count++
	x := logNanoseconds(took)
	if e.count == 1 {
		e.median = x
	}
	step := max(medianStep, firstMedianStep/float64(e.count))
	switch {
	case x > e.median:
		e.median += step
	case x < e.median:
		e.median -= step
	}
	e.typicalTime = time.Duration(math.Exp(e.median))
}

// estimate returns the estimated work time of the class, and false if there is none yet.
func (e *estimator) estimate(class Class) (time.Duration, bool) {
	c, known := e.classes[class]
	if !known {
		return 0, false
	}
	return time.Duration(math.Exp(c.logTime)), true
}

// typical returns the estimated median work time, or zero if none is known.
func (e *estimator) typical() time.Duration { return e.typicalTime }

// evictClasses evicts the classes last seen before the mean of all last-seen times, about half
// of them, once maxClasses is reached.
func (e *estimator) evictClasses() {
	if len(e.classes) < maxClasses {
		return
	}
	var sum time.Duration
	for _, c := range e.classes {
		sum += c.lastSeen
	}
	mean := sum / time.Duration(len(e.classes))
	for id, c := range e.classes {
		if c.lastSeen <= mean {
			delete(e.classes, id)
		}
	}
}

func logNanoseconds(d time.Duration) float64 { return math.Log(float64(max(d, time.Microsecond))) }
