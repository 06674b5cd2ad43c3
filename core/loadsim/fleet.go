package loadsim

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/balance"
)

// fleet simulates shared targets and the entry nodes that send requests to them. Each entry
// node balances by its own measurements.
type fleet struct {
	policy  balance.Policy
	targets int
	slots   int
	entries int
	// load is the offered load as a share of the targets' total capacity.
	load float64
	// mean is the mean work time of a request.
	mean time.Duration
	// slow returns the factor by which the work time at a target is multiplied.
	slow func(target int, now time.Duration) float64
	// length is the simulated time of the run.
	length time.Duration
	// countFrom is the time from which requests count in fleetResult.work.
	countFrom time.Duration
	seed      uint64
}

type job struct {
	entry, target int
	sent          time.Duration
	// length is the work time of the request.
	length time.Duration
}

type jobEnd struct {
	at time.Duration
	job
}

type jobEndHeap []jobEnd

func (h jobEndHeap) Len() int           { return len(h) }
func (h jobEndHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h jobEndHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobEndHeap) Push(x any)        { *h = append(*h, x.(jobEnd)) }
func (h *jobEndHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleetResult holds the measurements of a fleet's run.
type fleetResult struct {
	// times holds the answer times by target, work the slot time by target of the requests sent
	// from countFrom on.
	times [][]time.Duration
	work  []time.Duration
}

func (f fleet) run() fleetResult {
	random := rand.New(rand.NewPCG(f.seed, 7))
	pickers := make([]*balance.Picker, f.entries)
	for i := range pickers {
		pickers[i] = balance.New(f.policy)
	}
	candidates := make([]balance.Candidate, f.targets)
	for i := range candidates {
		candidates[i] = balance.Candidate{Name: string(rune('a' + i)), SameRegion: true, Slots: f.slots, Ready: true}
	}
	res := fleetResult{times: make([][]time.Duration, f.targets), work: make([]time.Duration, f.targets)}
	running := make([]int, f.targets)
	queues := make([][]job, f.targets)
	var jobEnds jobEndHeap
	start := func(now time.Duration, j job) {
		running[j.target]++
		heap.Push(&jobEnds, jobEnd{at: now + j.length, job: j})
	}
	finish := func(d jobEnd) {
		running[d.target]--
		res.times[d.target] = append(res.times[d.target], d.at-d.sent)
		if d.sent >= f.countFrom {
			res.work[d.target] += d.length
		}
		pickers[d.entry].Finished(d.at, candidates[d.target], d.at-d.sent, true, true)
		if q := queues[d.target]; len(q) > 0 {
			queues[d.target] = q[1:]
			start(d.at, q[0])
		}
	}
	rate := f.load * float64(f.targets*f.slots) / f.mean.Seconds()
	for now := time.Duration(0); now < f.length; {
		now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for len(jobEnds) > 0 && jobEnds[0].at <= now {
			finish(heap.Pop(&jobEnds).(jobEnd))
		}
		entry := random.IntN(f.entries)
		chosen, _ := pickers[entry].Pick(now, candidates, random.IntN)
		pickers[entry].Started(now, candidates[chosen])
		length := time.Duration(float64(f.mean) * (0.5 + random.Float64()) * f.slow(chosen, now))
		j := job{entry: entry, target: chosen, sent: now, length: length}
		if running[chosen] < f.slots {
			start(now, j)
		} else {
			queues[chosen] = append(queues[chosen], j)
		}
	}
	return res
}

func (r fleetResult) p99(targets ...int) time.Duration {
	var all []time.Duration
	for _, i := range targets {
		all = append(all, r.times[i]...)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// imbalance returns the ratio of the largest work of a target to the mean.
func (r fleetResult) imbalance() float64 {
	var sum, most time.Duration
	for _, w := range r.work {
		sum += w
		most = max(most, w)
	}
	return float64(most) * float64(len(r.work)) / float64(sum)
}

func normalSpeed(int, time.Duration) float64 { return 1 }

func sharedFleet(seed uint64) fleet {
	return fleet{
		policy: balance.DefaultPolicy(), targets: 4, slots: 6, entries: 9, load: 0.6,
		mean: 10 * time.Millisecond, slow: normalSpeed, length: 30 * time.Second, seed: seed,
	}
}
