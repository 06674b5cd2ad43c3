package slotqueue

import (
	"math"
	"time"
)

const (
	// maxClasses bounds the classes whose work time is kept. A service has a few routes, each with an objective and a
	// priority.
	maxClasses = 64
	// workSmoothing is the weight of one sample in the average work time, once there are more than 1/workSmoothing of
	// them. Work on a disturbed VM takes three times as long for about 0.4 s; the average spans several such periods.
	workSmoothing = 0.05
	// recentWeight is the weight of one sample in the present speed of the target relative to the average. With it, senders
	// that ask before sending had 0.03 to 0.08 more of their requests answered within the objective at 0.9 of the capacity
	// than with 0 (core/loadsim, disturbedFleet).
	recentWeight = 0.2
	// maxWork bounds one sample. A target that hangs holds slots until the deadlines of its requests.
	maxWork = 30 * time.Second
	// minSlowdown and maxSlowdown bound the slowdown that a target reports.
	minSlowdown, maxSlowdown = 0.2, 10
	// overdueShare is the share of the time spent so far that work beyond its average time is expected to take
	// further. It makes a target that hangs look full.
	overdueShare = 0.25
	// rateWindow is the time constant of the average rate of admitted requests. It spans several requests of a class
	// that arrives a few times a second, and follows a rising load within the time that requests wait.
	rateWindow = 2 * time.Second
)

// Class is a kind of work: the requests of a class are taken to hold a slot for a similar time.
type Class struct {
	Service   string
	Objective time.Duration
	Priority  int
}

// average is an exponential moving average of work times.
type average struct {
	value float64
	// samples counts the samples, up to 1/workSmoothing.
	samples int
}

func (a *average) add(sample float64) {
	if float64(a.samples) < 1/workSmoothing {
		a.samples++
	}
	a.value += (sample - a.value) / float64(a.samples)
}

// classState is what is learned of a class.
type classState struct {
	// work is the work time in nanoseconds for a slowdown of 1.
	work average
	// usefulWait is the mean longest useful wait in nanoseconds.
	usefulWait average
	// rate is the number of admitted requests per second at rateAt.
	rate   float64
	rateAt time.Duration
	usedAt time.Duration
}

// rateNow returns the rate of admitted requests per second.
func (c *classState) rateNow(now time.Duration) float64 {
	return c.rate * math.Exp(-float64(now-c.rateAt)/float64(rateWindow))
}

// admitted counts an admitted request.
func (c *classState) admitted(now, usefulWait time.Duration) {
	c.rate, c.rateAt, c.usedAt = c.rateNow(now)+1/rateWindow.Seconds(), now, now
	c.usefulWait.add(float64(usefulWait))
}

// workTimes holds what is learned of the classes.
type workTimes struct {
	byClass map[Class]*classState
	// all is the average work time over all classes. It stands for a class without samples.
	all average
	// slowdown is how long work takes now relative to the usual time.
	slowdown float64
	// recent is how long the last work took relative to the mean of its class. It follows a disturbance that the target
	// does not report.
	recent float64
}

func newWorkTimes() workTimes {
	return workTimes{byClass: map[Class]*classState{}, slowdown: 1, recent: 1}
}

// learned reports whether any work time is known.
func (w *workTimes) learned() bool { return w.all.samples > 0 }

// of returns how long work of the class is expected to hold a slot now, and whether that is known of the class
// itself. It is zero before anything is learned.
func (w *workTimes) of(c Class) (time.Duration, bool) {
	if s := w.byClass[c]; s != nil {
		return w.scaled(s.work), true
	}
	return w.scaled(w.all), false
}

func (w *workTimes) scaled(a average) time.Duration {
	return time.Duration(a.value * w.slowdown * w.recent)
}

// add learns a work time of the class.
func (w *workTimes) add(now time.Duration, c Class, took time.Duration) {
	sample := float64(min(max(took, 0), maxWork)) / w.slowdown
	s := w.byClass[c]
	if s == nil {
		if len(w.byClass) >= maxClasses {
			w.evictOldest()
		}
		s = &classState{}
		w.byClass[c] = s
	}
	s.usedAt = now
	s.work.add(sample)
	if s.work.value > 0 {
		w.recent += recentWeight * (min(max(sample/s.work.value, minSlowdown), maxSlowdown) - w.recent)
	}
	w.all.add(sample)
}

// admitted counts a request that has got a slot or waits.
func (w *workTimes) admitted(now time.Duration, c Class, usefulWait time.Duration) {
	if s := w.byClass[c]; s != nil {
		s.admitted(now, usefulWait)
	}
}

// overtaking returns the slot time of the requests that are expected to arrive while an item waits and to start before
// it, if it waits for the given time and its latest useful start comes after usefulWait.
func (w *workTimes) overtaking(now time.Duration, item Class, wait, usefulWait time.Duration) time.Duration {
	total := 0.0
	for c, s := range w.byClass {
		during := wait
		if c.Priority == item.Priority {
			// Only requests with an earlier latest start go first.
			during = min(wait, usefulWait-time.Duration(s.usefulWait.value))
		}
		if c.Priority <= item.Priority && c != item && during > 0 {
			total += s.rateNow(now) * during.Seconds() * float64(w.scaled(s.work))
		}
	}
	return time.Duration(total)
}

// evictOldest evicts the class that was used least recently.
func (w *workTimes) evictOldest() {
	var oldest Class
	found := false
	for c, s := range w.byClass {
		if !found || s.usedAt < w.byClass[oldest].usedAt {
			oldest, found = c, true
		}
	}
	delete(w.byClass, oldest)
}

// setSlowdown sets the slowdown within its bounds; NaN and values that are not positive count as 1.
func (w *workTimes) setSlowdown(s float64) {
	if math.IsNaN(s) || s <= 0 {
		s = 1
	}
	w.slowdown = min(max(s, minSlowdown), maxSlowdown)
}
