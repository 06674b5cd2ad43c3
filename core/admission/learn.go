package admission

import (
	"math"
	"time"
)

const (
	// learnRate is the weight of one observation in a class's learned time.
	learnRate = 0.25
	// medianStep is the step of the typical time for each observation, as a factor's logarithm.
	medianStep = 0.05
	// firstMedianStep is that step for the first observations.
	firstMedianStep = 0.7
	// maxClasses bounds the remembered classes; the least recently seen half is then dropped.
	maxClasses = 1024
)

// Class identifies work that is expected to take alike: a service, method and kind of path.
type Class uint64

// classTime is the learned time of one class, in the logarithm of nanoseconds.
type classTime struct {
	log      float64
	count    int
	lastSeen time.Duration
}

// learner estimates how long classes take and what is typical over all of them.
type learner struct {
	classes map[Class]*classTime
	// median is the logarithm of the typical work time in nanoseconds.
	median float64
	// typicalTime is the typical work time; zero if none is known.
	typicalTime time.Duration
	count       int
}

func newLearner() learner { return learner{classes: map[Class]*classTime{}} }

// observe takes a finished or overrunning piece of work into account. The first observation
// of a class replaces any guess; later ones move the estimate quickly.
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

// observeTypical moves the typical time by a finished piece of work.
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

// estimate returns the learned time of the class, and false if there is none yet.
func (l *learner) estimate(class Class) (time.Duration, bool) {
	c, known := l.classes[class]
	if !known {
		return 0, false
	}
	return time.Duration(math.Exp(c.log)), true
}

// typical returns the typical work time, zero if none is known.
func (l *learner) typical() time.Duration { return l.typicalTime }

// makeRoom drops the half of the classes that was not seen for longest.
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
