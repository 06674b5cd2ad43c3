package admission

import (
	"math"
	"time"
)

const (
	// learnRate is the weight of a new observation in the moving average of a class.
	learnRate = 0.25
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

// classTime is the estimated work time of one class. log is the natural logarithm of the time
// in nanoseconds.
type classTime struct {
	log      float64
	count    int
	lastSeen time.Duration
}

// learner estimates the work time of each class and the median work time over all classes.
type learner struct {
	classes map[Class]*classTime
	// median is the natural logarithm of the estimated median work time in nanoseconds.
	median float64
	// typicalTime is the estimated median work time, or zero before the first observation.
	typicalTime time.Duration
	count       int
}

func newLearner() learner { return learner{classes: map[Class]*classTime{}} }

// observe updates the estimate of a class with the time of a request that has finished or
// runs longer than expected. The first observation sets the estimate; the next few have a
// high weight so that the estimate converges quickly.
func (l *learner) observe(now time.Duration, class Class, took time.Duration) {
	c, known := l.classes[class]
	if !known {
		l.makeRoom()
		c = &classTime{}
		l.classes[class] = c
	}
	c.count++
	c.lastSeen = now
	weight := max(learnRate, 1/float64(c.count))
	c.log += weight * (logOf(took) - c.log)
}

// observeTypical updates the estimated median with the time of a finished request.
func (l *learner) observeTypical(took time.Duration) {
	l.count++
	x := logOf(took)
	if l.count == 1 {
		l.median = x
	}
	step := max(medianStep, firstMedianStep/float64(l.count))
	switch {
	case x > l.median:
		l.median += step
	case x < l.median:
		l.median -= step
	}
	l.typicalTime = time.Duration(math.Exp(l.median))
}

// estimate returns the estimated work time of the class, and false if there is none yet.
func (l *learner) estimate(class Class) (time.Duration, bool) {
	c, known := l.classes[class]
	if !known {
		return 0, false
	}
	return time.Duration(math.Exp(c.log)), true
}

// typical returns the estimated median work time, or zero if none is known.
func (l *learner) typical() time.Duration { return l.typicalTime }

// makeRoom evicts the classes last seen before the mean of all last-seen times, about half
// of them, once maxClasses is reached.
func (l *learner) makeRoom() {
	if len(l.classes) < maxClasses {
		return
	}
	var sum time.Duration
	for _, c := range l.classes {
		sum += c.lastSeen
	}
	mean := sum / time.Duration(len(l.classes))
	for id, c := range l.classes {
		if c.lastSeen <= mean {
			delete(l.classes, id)
		}
	}
}

func logOf(d time.Duration) float64 { return math.Log(float64(max(d, time.Microsecond))) }
