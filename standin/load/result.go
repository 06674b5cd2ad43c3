package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds up to ten minutes with three digits.
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	// Unreachable means that no node took the request.
	Unreachable Outcome = "unreachable"
	// Cut means that the answer broke off visibly.
	Cut Outcome = "cut"
	// Wrong means that the answer was whole but not the one asked for.
	Wrong Outcome = "wrong"
	// Dropped means that the generator had too many requests under way.
	Dropped Outcome = "dropped"
)

// Latency is the distribution of the times from the intended sending to the whole answer,
// in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Tally counts requests.
type Tally struct {
	Sent     int64             `json:"sent"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// InTime counts those answered within their deadline.
	InTime int64 `json:"in_time"`
	// Latency is that of the answered requests.
	Latency Latency `json:"latency"`
}

// Second is one second of the run, by intended times.
type Second struct {
	Sent   int64 `json:"sent"`
	InTime int64 `json:"in_time"`
}

// PhaseResult is what was measured of the requests whose intended time is in the phase.
type PhaseResult struct {
	Name    string           `json:"name"`
	Seconds float64          `json:"seconds"`
	Kinds   map[string]Tally `json:"kinds"`
	// Reasons counts the reasons that nodes gave for what was not answered.
	Reasons map[string]int64 `json:"reasons"`
	// Targets counts the answers of each target.
	Targets map[string]int64 `json:"targets"`
	// TargetLatency is the latency of answers by target, of all kinds.
	TargetLatency map[string]Latency `json:"target_latency"`
}

// Result is what a run measured.
type Result struct {
	Phases []PhaseResult `json:"phases"`
	// Series has the seconds of the whole run.
	Series []Second `json:"series"`
	// LateStarts counts requests sent more than 10 ms after their intended time, which
	// tells that the generator was short of processor time.
	LateStarts int64 `json:"late_starts"`
}

// end is how one request ended.
type end struct {
	outcome Outcome
	reason  string
	target  string
	latency time.Duration
}

type tally struct {
	sent      int64
	inTime    int64
	outcomes  map[Outcome]int64
	histogram *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		outcomes:  make(map[Outcome]int64),
		histogram: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

type phaseRecord struct {
	kinds   []*tally
	reasons map[string]int64
	targets map[string]*hdrhistogram.Histogram
}

// recorder collects the ends of requests. It is safe for concurrent use.
type recorder struct {
	plan *Plan

	mu         sync.Mutex
	phases     []*phaseRecord
	series     []Second
	lateStarts int64
}

func newRecorder(plan *Plan) *recorder {
	r := &recorder{plan: plan}
	var total time.Duration
	for _, phase := range plan.Phases {
		total += phase.Duration.Std()
		record := &phaseRecord{reasons: make(map[string]int64), targets: make(map[string]*hdrhistogram.Histogram)}
		for range plan.Kinds {
			record.kinds = append(record.kinds, newTally())
		}
		r.phases = append(r.phases, record)
	}
	r.series = make([]Second, int(total/time.Second)+1)
	return r
}

func (r *recorder) record(a arrival, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := r.phases[a.phase]
	t := phase.kinds[a.kind]
	second := &r.series[int(a.at/time.Second)]
	t.sent++
	second.Sent++
	t.outcomes[e.outcome]++
	if e.outcome != Answered {
		phase.reasons[string(e.outcome)+" "+e.reason]++
		return
	}
	if e.latency <= r.plan.Kinds[a.kind].Deadline.Std() {
		t.inTime++
		second.InTime++
	}
	recordLatency(t.histogram, e.latency)
	if phase.targets[e.target] == nil {
		phase.targets[e.target] = newHistogram()
	}
	recordLatency(phase.targets[e.target], e.latency)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	// Only values above ten minutes fail, and no caller waits that long.
	_ = h.RecordValue(min(latency.Microseconds(), highestMicros))
}

func (r *recorder) lateStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateStarts++
}

func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{Series: r.series, LateStarts: r.lateStarts}
	for i, record := range r.phases {
		phase := PhaseResult{
			Name:          r.plan.Phases[i].Name,
			Seconds:       r.plan.Phases[i].Duration.Std().Seconds(),
			Kinds:         make(map[string]Tally),
			Reasons:       record.reasons,
			Targets:       make(map[string]int64),
			TargetLatency: make(map[string]Latency),
		}
		for k, t := range record.kinds {
			phase.Kinds[r.plan.Kinds[k].Name] = Tally{
				Sent: t.sent, Outcomes: t.outcomes, InTime: t.inTime, Latency: latencyOf(t.histogram),
			}
		}
		for target, h := range record.targets {
			phase.Targets[target] = h.TotalCount()
			phase.TargetLatency[target] = latencyOf(h)
		}
		result.Phases = append(result.Phases, phase)
	}
	return result
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		P50:  millis(h.ValueAtQuantile(50)),
		P90:  millis(h.ValueAtQuantile(90)),
		P99:  millis(h.ValueAtQuantile(99)),
		P999: millis(h.ValueAtQuantile(99.9)),
		Max:  millis(h.Max()),
	}
}
