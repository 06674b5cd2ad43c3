package load

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// hotSetShift is the number of keys by which the set of popular keys shifts when it changes.
const hotSetShift = 7919

// arrival is one request to send.
type arrival struct {
	// at is the intended time of sending since the start of the run.
	at    time.Duration
	phase int
	kind  int
	key   string
}

// schedule generates the arrivals of a plan as a Poisson process whose rate follows the
// phases. It is not safe for concurrent use.
type schedule struct {
	plan       *Plan
	random     *rand.Rand
	zipf       *rand.Zipf
	totalShare float64
	now        time.Duration
	phase      int
	// phaseStart is the start of the current phase since the start of the run.
	phaseStart time.Duration
}

func newSchedule(plan *Plan) *schedule {
	s := &schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, plan.Seed))}
	if plan.Keys.Zipf > 1 {
		s.zipf = rand.NewZipf(s.random, plan.Keys.Zipf, 1, uint64(plan.Keys.Count-1))
	}
	for _, k := range plan.Kinds {
		s.totalShare += k.Share
	}
	return s
}

// next returns the next arrival, or false after the last phase.
func (s *schedule) next() (arrival, bool) {
	rate := s.plan.Phases[s.phase].rateAt(s.now - s.phaseStart)
	s.now += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	for s.now >= s.phaseStart+s.plan.Phases[s.phase].Duration.Std() {
		s.phaseStart += s.plan.Phases[s.phase].Duration.Std()
		s.phase++
		if s.phase == len(s.plan.Phases) {
			return arrival{}, false
		}
	}
	return arrival{at: s.now, phase: s.phase, kind: s.drawKind(), key: s.drawKey()}, true
}

func (s *schedule) drawKind() int {
	x := s.random.Float64() * s.totalShare
	for i, k := range s.plan.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(s.plan.Kinds) - 1
}

func (s *schedule) drawKey() string {
	keys := s.plan.Keys
	var rank int
	if s.zipf != nil {
		rank = int(s.zipf.Uint64())
	} else {
		rank = s.random.IntN(keys.Count)
	}
	if keys.HotEvery > 0 {
		rank += int(s.now/keys.HotEvery.Std()) * hotSetShift
	}
	index := rank % keys.Count
	return keys.Prefixes[index%len(keys.Prefixes)] + strconv.Itoa(index)
}

// ForEachArrival calls visit for each request that Run would send. It does nothing for an
// invalid plan.
func ForEachArrival(plan Plan, visit func(phase int, key string)) {
	if plan.prepare() != nil {
		return
	}
	s := newSchedule(&plan)
	for a, ok := s.next(); ok; a, ok = s.next() {
		visit(a.phase, a.key)
	}
}
