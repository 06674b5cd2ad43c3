package balance

import (
	"math"
	"slices"
	"time"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
)

const (
	// MinAskedTargets is the number of ready targets of a region from which their nodes are asked.
	MinAskedTargets = 3
	// FreshReport is the age up to which a report is used like an answer: nothing is asked.
	FreshReport = 50 * time.Millisecond
	// reportExpiry is the age from which a report is not used any more. A region that is cut off is unknown after it.
	reportExpiry = 2 * time.Second
	// waitDecay is the time constant with which a reported wait fades to the mean: queues change within the time of a
	// few requests. The work time of a target, which depends on its VM, is used until the report expires. With 0.3 s fewer
	// requests were answered within their objective at 0.9 of the capacity (core/loadsim, disturbedFleet: 0.834 for 0.867).
	waitDecay = time.Second
	// waitWeight is the weight of a wait relative to work of the same time. A wait is less certain and delays others too:
	// with 1, fast targets are loaded until any disturbance makes their queues long (core/loadsim, disturbedFleet at 0.9
	// of the capacity: 0.864 within the objective, with 2 0.871, with 4 0.870).
	waitWeight = 2
	// silentTime is how long a node that has not answered in time counts as slow, silentFactor by how much.
	silentTime, silentFactor = time.Second, 3
	// maxFailureCost bounds the share of failures by which the expected time rises.
	maxFailureCost = 0.95
	// exploreShare is the share of the requests that ask an unhealthy target, so that its recovery is noticed, and of
	// those that are sent although all asked targets would refuse them.
	exploreShare = 0.05
	// reportSmoothing is the weight of one report in the mean over all targets.
	reportSmoothing = 0.1
	// maxMeans bounds the kinds of work with a mean.
	maxMeans = 64
	// MinRegionGain is the time by which the answer of another region must be earlier.
	MinRegionGain = 50 * time.Millisecond
)

// Kind is a kind of request for which a target is chosen.
type Kind struct {
	Class     slotqueue.Class
	Remaining time.Duration
}

// Option is a target that may be chosen.
type Option struct {
	// Name is the name of the target's node.
	Name    string
	Process exchange.TargetProcess
	// Latency is the time of the way to the node and back, as far as it is longer than within the region.
	Latency time.Duration
}

// Estimate is what is expected of a request at a target.
type Estimate struct {
	// Wait is the expected time until the request starts, Time the expected time until its answer, in which a wait weighs
	// double and the share of failures counts.
	Wait, Time time.Duration
	// Useful is set if the request is expected to be admitted and to start early enough.
	Useful bool
	// Selectable is set unless the target may be sent trial requests only and none now.
	Selectable bool
	// Fresh is set if the estimate is from a report younger than FreshReport.
	Fresh bool
	// Unhealthy is set if the target is known to answer no requests or to leave.
	Unhealthy bool
}

// Reports holds the last reports of targets, as one node knows them. It reads no clock; the caller must serialize the calls.
type Reports struct {
	byNode map[string]*nodeReport
	means  map[slotqueue.Class]*meanReport
	// stating holds the services whose targets state their load.
	stating map[string]bool
}

type nodeReport struct {
	Report
	at time.Duration
	// sent is the number of requests that this node has sent to the target since the report.
	sent        int
	silentUntil time.Duration
}

// meanReport holds mean times over all reports, in nanoseconds.
type meanReport struct{ wait, work float64 }

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{byNode: map[string]*nodeReport{}, means: map[slotqueue.Class]*meanReport{}, stating: map[string]bool{}}
}

// Record keeps the report of a node about its target, which belongs to the service.
func (k *Reports) Record(now time.Duration, node string, r *Report, service string) {
	n := k.node(now, node)
	*n = nodeReport{Report: *r, at: now}
	if r.Stated {
		if len(k.stating) >= maxMeans {
			clear(k.stating)
		}
		k.stating[service] = true
	}
	if len(r.Classes) == 0 {
		return
	}
	first := r.Classes[0]
	class := slotqueue.Class{Service: service, Objective: first.Objective, Priority: first.Priority}
	m := k.means[class]
	if m == nil {
		if len(k.means) >= maxMeans {
			clear(k.means)
		}
		m = &meanReport{wait: float64(first.Wait), work: float64(first.Work)}
		k.means[class] = m
	}
	m.wait += reportSmoothing * (float64(first.Wait) - m.wait)
	m.work += reportSmoothing * (float64(first.Work) - m.work)
}

// Silent records that a node has not answered a query in time.
func (k *Reports) Silent(now time.Duration, node string) {
	k.node(now, node).silentUntil = now + silentTime
}

// Sent records that a request is sent to a node's target.
func (k *Reports) Sent(node string) {
	if n := k.byNode[node]; n != nil {
		n.sent++
	}
}

// node returns the node's entry, and creates one without a report.
func (k *Reports) node(now time.Duration, name string) *nodeReport {
	n := k.byNode[name]
	if n == nil {
		if len(k.byNode) >= maxRecords {
			k.removeExpired(now)
		}
		n = &nodeReport{at: now - reportExpiry - 1}
		k.byNode[name] = n
	}
	return n
}

// removeExpired removes the entries that are not used any more, and all of them if none is.
func (k *Reports) removeExpired(now time.Duration) {
	for name, n := range k.byNode {
		if now-n.at > reportExpiry && n.silentUntil <= now {
			delete(k.byNode, name)
		}
	}
	if len(k.byNode) >= maxRecords {
		clear(k.byNode)
	}
}

// Estimate returns what is expected of a request of the kind at the target.
func (k *Reports) Estimate(now time.Duration, o Option, kind Kind) Estimate {
	var wait, work float64
	if m := k.means[kind.Class]; m != nil {
		wait, work = m.wait, m.work
	}
	e := Estimate{Selectable: true}
	failures := 0.0
	n := k.byNode[o.Name]
	if n != nil && n.Process == o.Process && now-n.at <= reportExpiry {
		e.Fresh = now-n.at <= FreshReport
		if c, known := n.Of(kind.Class); known {
			work = float64(c.Work)
			reported := float64(c.Wait)
			if n.Running+n.sent >= n.Slots {
				reported += float64(n.sent) * work / float64(max(n.Slots, 1))
			}
			wait += (reported - wait) * math.Exp(-float64(now-n.at)/float64(waitDecay))
		}
		failures = min(n.FailureShare, maxFailureCost)
		e.Unhealthy = n.Unhealthy || n.Leaving
		e.Selectable = !n.Leaving && (!e.Unhealthy || n.Trial && e.Fresh)
	}
	e.Wait = time.Duration(wait)
	if !e.Selectable {
		e.Wait = max(e.Wait, trialInterval)
	}
	total := (waitWeight*wait + work) / (1 - failures)
	if n != nil && n.silentUntil > now {
		total *= silentFactor
		e.Fresh = false
	}
	e.Time = time.Duration(total) + o.Latency
	e.Useful = e.Selectable && slotqueue.StartsInTime(e.Wait+o.Latency, kind.Class.Objective, kind.Remaining, time.Duration(work))
	return e
}

// StatesLoad reports whether a target of the service has stated its load. Where none does, asking does not pay: a node
// then knows no more of its target than its queue, which refuses on arrival what it cannot start in time, and the question
// costs a round trip.
func (k *Reports) StatesLoad(service string) bool { return k.stating[service] }

// HasFreeSlot reports whether the target of one of the options has a free slot by its last report, and whether the report
// of any of them is recent enough to tell.
func (k *Reports) HasFreeSlot(now time.Duration, options []Option) (free, known bool) {
	for _, o := range options {
		n := k.byNode[o.Name]
		if n == nil || n.Process != o.Process || now-n.at > reportExpiry {
			continue
		}
		known = true
		if n.Waiting == 0 && n.Running+n.sent < n.Slots && !n.Unhealthy && !n.Leaving {
			return true, true
		}
	}
	return false, known
}

// Shortlist returns the indexes of up to n options whose nodes are worth asking, the best first. The options are drawn at
// random by the caller, so that nodes with the same reports do not choose the same targets. draw is a random number in
// [0, 1); a small share of the requests asks about an unhealthy target in place of the last one.
func (k *Reports) Shortlist(now time.Duration, options []Option, kind Kind, n int, draw float64) []int {
	type rated struct {
		index int
		Estimate
	}
	all := make([]rated, len(options))
	for i, o := range options {
		all[i] = rated{i, k.Estimate(now, o, kind)}
	}
	slices.SortStableFunc(all, func(a, b rated) int {
		if a.Unhealthy != b.Unhealthy {
			if a.Unhealthy {
				return 1
			}
			return -1
		}
		return int(a.Time - b.Time)
	})
	n = min(n, len(all))
	if n > 1 && draw < exploreShare && all[len(all)-1].Unhealthy {
		all[n-1] = all[len(all)-1]
	}
	chosen := make([]int, n)
	for i := range chosen {
		chosen[i] = all[i].index
	}
	return chosen
}

// Choice is the result of Choose.
type Choice struct {
	Index int
	Estimate
	// Informed is set if a fresh report says how long a request waits at one of the options.
	Informed bool
	// ShortestWait is the shortest expected wait.
	ShortestWait time.Duration
}

// Choose returns the best of the options with the given indexes: the one with the shortest expected time until the answer,
// of those that are useful if there are any. An unhealthy target that may be sent a trial request now comes first, since
// it was asked about for that purpose.
func (k *Reports) Choose(now time.Duration, options []Option, indexes []int, kind Kind) Choice {
	best := Choice{Index: -1}
	for _, i := range indexes {
		e := k.Estimate(now, options[i], kind)
		informed := best.Informed || e.Fresh
		shortest := e.Wait
		if best.Index >= 0 {
			shortest = min(shortest, best.ShortestWait)
		}
		if best.Index < 0 || better(e, best.Estimate) {
			best.Index, best.Estimate = i, e
		}
		best.Informed, best.ShortestWait = informed, shortest
	}
	return best
}

// better reports whether a is preferred to b.
func better(a, b Estimate) bool {
	aTrial, bTrial := a.Unhealthy && a.Useful, b.Unhealthy && b.Useful
	switch {
	case a.Useful != b.Useful:
		return a.Useful
	case aTrial != bTrial:
		return aTrial
	case a.Selectable != b.Selectable:
		return a.Selectable
	default:
		return a.Time < b.Time
	}
}

// Reject reports whether a request is refused because the best choice is not useful. It never is without a fresh report,
// and a small share is sent all the same; draw is a random number in [0, 1).
func (c Choice) Reject(draw float64) bool { return c.Informed && !c.Useful && draw >= exploreShare }
