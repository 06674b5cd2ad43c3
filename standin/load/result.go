package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to ten minutes, with three significant
	// digits.
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	// Unreachable means that no response was received.
	Unreachable Outcome = "unreachable"
	// Cut means that the response was incomplete and that the caller could detect it.
	Cut Outcome = "cut"
	// Wrong means that the response was complete but belongs to another request.
	Wrong Outcome = "wrong"
	// Dropped means that the request was not sent because Plan.MaxInFlight was reached.
	Dropped Outcome = "dropped"
)

// Latency is the distribution of the times from the intended time of sending to the complete
// response, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Tally counts requests and their outcomes.
type Tally struct {
	Sent     int64             `json:"sent"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// InTime counts the requests answered within their deadline.
	InTime int64 `json:"in_time"`
	// Latency is the latency of the answered requests.
	Latency Latency `json:"latency"`
}

// SecondCounts counts the requests whose intended time is in one second of the run.
type SecondCounts struct {
	Sent   int64 `json:"sent"`
	InTime int64 `json:"in_time"`
}

// PhaseResult holds the measurements of the requests whose intended time is in the phase.
type PhaseResult struct {
	Name    string           `json:"name"`
	Seconds float64          `json:"seconds"`
	Kinds   map[string]Tally `json:"kinds"`
	// Reasons counts the requests that were not answered, by "OUTCOME REASON".
	Reasons map[string]int64 `json:"reasons"`
	// Targets counts the answered requests by target.
	Targets map[string]int64 `json:"targets"`
	// TargetLatency is the latency of the answered requests of all kinds by target.
	TargetLatency map[string]Latency `json:"target_latency"`
}

// Result holds the measurements of a run.
type Result struct {
	Phases []PhaseResult `json:"phases"`
	// Series has one entry for each second of the run.
	Series []SecondCounts `json:"series"`
	// LateStarts counts requests sent more than 10 ms after their intended time, a sign that
	// the generator lacked processor time.
	LateStarts int64 `json:"late_starts"`
}

// callResult is the result of one request.
type callResult struct {
	outcome Outcome
	reason  string
	target  string
	latency time.Duration
}

// kindRecord accumulates the results of one kind in one phase.
type kindRecord struct {
	sent      int64
	inTime    int64
	outcomes  map[Outcome]int64
	histogram *hdrhistogram.Histogram
}

func newKindRecord() *kindRecord {
	return &kindRecord{
		outcomes:  make(map[Outcome]int64),
		histogram: newHistogram(),
	}
}

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// phaseRecord accumulates the results of one phase.
type phaseRecord struct {
	kinds   []*kindRecord
	reasons map[string]int64
	targets map[string]*hdrhistogram.Histogram
}

// recorder accumulates the results of requests. It is safe for concurrent use.
type recorder struct {
	plan *Plan

	mu         sync.Mutex
	phases     []*phaseRecord
	series     []SecondCounts
	lateStarts int64
}

func newRecorder(plan *Plan) *recorder {
	r := &recorder{plan: plan}
	var total time.Duration
	for _, phase := range plan.Phases {
		total += phase.Duration.Std()
		record := &phaseRecord{reasons: make(map[string]int64), targets: make(map[string]*hdrhistogram.Histogram)}
		for range plan.Kinds {
			record.kinds = append(record.kinds, newKindRecord())
		}
		r.phases = append(r.phases, record)
	}
	r.series = make([]SecondCounts, int(total/time.Second)+1)
	return r
}

// record adds the result of one request.
func (r *recorder) record(a arrival, result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := r.phases[a.phase]
	stats := phase.kinds[a.kind]
	second := &r.series[int(a.at/time.Second)]
	stats.sent++
	second.Sent++
	stats.outcomes[result.outcome]++
	if result.outcome != Answered {
		phase.reasons[string(result.outcome)+" "+result.reason]++
		return
	}
	if result.latency <= r.plan.Kinds[a.kind].Deadline.Std() {
		stats.inTime++
		second.InTime++
	}
	recordLatency(stats.histogram, result.latency)
	if phase.targets[result.target] == nil {
		phase.targets[result.target] = newHistogram()
	}
	recordLatency(phase.targets[result.target], result.latency)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values above ten minutes, and min excludes these; no caller
	// waits that long.
	_ = h.RecordValue(min(latency.Microseconds(), highestMicros))
}

func (r *recorder) countLateStart() {
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
