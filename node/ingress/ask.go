package ingress

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/core/slotqueue"
	"github.com/auburnrelay/auburnrelay/node/loadquery"
	"github.com/auburnrelay/auburnrelay/node/ownership"
)

const (
	// askRounds is the number of rounds in which targets of the own region are asked: a second one only if those of the
	// first would refuse.
	askRounds = 2
	// secondAnswerWait is how long the other answers are awaited once one target would start the request at once. Nodes of
	// a region answer within about 3 ms.
	secondAnswerWait = 3 * time.Millisecond
	// askShare is the share of the remaining time of a request for which answers are awaited.
	askShare = 0.1
	// regionLatency is the time of the way to another region and back with its processing.
	regionLatency = 20 * time.Millisecond
	// regionQueriesPerSecond bounds the queries of a node to other regions, whose links are shared by all traffic.
	regionQueriesPerSecond = 2
)

// LoadSource tells the load of targets.
type LoadSource interface {
	// Ask returns the report of the named node on its target. It fails if there is none within a short time.
	Ask(ctx context.Context, node, address string, class slotqueue.Class) (*balance.Report, error)
}

// Load configures how targets of shared services are chosen by their load.
type Load struct {
	// AskTargets is the number of nodes that are asked before a request is sent; zero asks none and ignores reports.
	AskTargets int
	Source     LoadSource
	// Local returns the report on the local target, and false if it takes no requests of the service.
	Local func(slotqueue.Class) (*balance.Report, bool)
}

// asking is the state of choosing by load. Dispatcher.mu protects it.
type asking struct {
	reports       *balance.Reports
	regionQueries *rate.Limiter
	// queries holds the queries that are under way. Requests that arrive meanwhile share their answers, so that a burst of
	// requests does not become a burst of queries.
	queries map[queryKey]*sharedQuery
}

type queryKey struct {
	node  string
	class slotqueue.Class
}

// sharedQuery is a query under way. answer is valid once done is closed.
type sharedQuery struct {
	done   chan struct{}
	answer answerOf
}

func newAsking() asking {
	return asking{
		reports: balance.NewReports(), regionQueries: rate.NewLimiter(regionQueriesPerSecond, regionQueriesPerSecond),
		queries: map[queryKey]*sharedQuery{},
	}
}

// selection is the choice of a target for one send.
type selection struct {
	*dispatchState
	targets []ownership.Destination
	kind    balance.Kind
	// options are the targets drawn so far, indexes their indexes in targets, considered the indexes of those options that
	// are known or were asked.
	options    []balance.Option
	indexes    []int
	considered []int
}

// statesLoad reports whether the targets of the request's service state their load, as far as the node knows.
func (s *dispatchState) statesLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asking.reports.StatesLoad(s.request.Service)
}

// choosesByLoad reports whether the targets of the node's region are enough to choose by asking, and returns the indexes of
// those that are ready and of the others that are.
func (s *dispatchState) choosesByLoad(targets []ownership.Destination) (near, far []int, ok bool) {
	if s.deps.Load.AskTargets == 0 || !s.statesLoad() {
		return nil, nil, false
	}
	near = make([]int, 0, len(targets))
	for i := range targets {
		switch {
		case !targets[i].Ready:
		case targets[i].Region == s.deps.Region:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	return near, far, len(near) >= balance.MinAskedTargets
}

// chooseByLoad chooses among the targets by their load. It returns the index of the target, or negative and the refusal of
// the request if no target is known that would start it in time; the refusal is zero if all targets have been tried or are
// avoided. near and far are indexes of targets.
func (s *dispatchState) chooseByLoad(ctx context.Context, targets []ownership.Destination, near, far []int) (int, outcome.End) {
	sel := &selection{dispatchState: s, targets: targets, kind: s.kind()}
	var choice balance.Choice
	for range askRounds {
		asked := len(sel.considered)
		sel.askSome(ctx, near, s.deps.Load.AskTargets, 0)
		if choice = sel.choose(); choice.Useful || len(sel.considered) == asked {
			break
		}
	}
	if s.considersRegions(choice, far) {
		sel.askSome(ctx, far, 1, regionLatency)
		choice = sel.choose()
	}
	if choice.Index < 0 {
		return -1, outcome.End{}
	}
	if choice.Reject(rand.Float64()) {
		s.deps.Metrics.EarlyRefusal(s.request.Service, s.request.Priority)
		return -1, outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, RetryAfter: choice.ShortestWait}
	}
	target := targets[sel.indexes[choice.Index]]
	now := time.Since(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Started(now, s.candidate(target))
	s.asking.reports.Sent(target.Node)
	return sel.indexes[choice.Index], outcome.End{}
}

func (s *dispatchState) kind() balance.Kind {
	r := s.request
	return balance.Kind{Class: slotqueue.Class{Service: r.Service, Objective: r.Objective, Priority: r.Priority}, Remaining: r.Remaining()}
}

// considersRegions reports whether a target of another region is asked: if those of the own one would refuse the request
// or start it much later, and neither its body nor its answer is long.
func (s *dispatchState) considersRegions(choice balance.Choice, far []int) bool {
	if len(far) == 0 || s.request.Kind == routing.Download || s.request.Kind == routing.Upload {
		return false
	}
	if choice.Index >= 0 && choice.Useful && choice.Wait < balance.MinRegionGain+regionLatency {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asking.regionQueries.Allow()
}

// askSome draws targets from the given indexes and asks the nodes of the most promising ones.
func (sel *selection) askSome(ctx context.Context, from []int, n int, latency time.Duration) {
	// One target more than is asked is drawn: the one with the worst last report is left out.
	first := len(sel.options)
	sel.draw(from, n+1, latency)
	drawn := sel.options[first:]
	now := time.Since(sel.start)
	sel.mu.Lock()
	list := sel.asking.reports.Shortlist(now, drawn, sel.kind, n, rand.Float64())
	var stale []int
	for _, k := range list {
		if !sel.asking.reports.Estimate(now, drawn[k], sel.kind).Fresh {
			stale = append(stale, sel.indexes[first+k])
		}
	}
	sel.mu.Unlock()
	sel.ask(ctx, stale)
	for _, k := range list {
		sel.considered = append(sel.considered, first+k)
	}
}

// draw adds up to n random targets that can take the request, have not been tried and were not drawn before. It reorders
// from.
func (sel *selection) draw(from []int, n int, latency time.Duration) {
	now := time.Since(sel.start)
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for drawn := 0; drawn < len(from) && n > 0; drawn++ {
		j := drawn + rand.IntN(len(from)-drawn)
		from[drawn], from[j] = from[j], from[drawn]
		d := sel.targets[from[drawn]]
		if _, leaving := sel.states.leavingFor(now, d); leaving || slices.Contains(sel.tried, d.Target) ||
			sel.picker.Avoids(now, d.Node) || slices.Contains(sel.indexes, from[drawn]) {
			continue
		}
		sel.options = append(sel.options, balance.Option{Name: d.Node, Process: processOf(d), Latency: latency})
		sel.indexes = append(sel.indexes, from[drawn])
		n--
	}
}

// answerOf is the answer of a target's node to a query.
type answerOf struct {
	target ownership.Destination
	report *balance.Report
	err    error
}

// ask asks the nodes of the targets at the same time and records their reports. It returns when all have answered or failed,
// when a share of the request's time has passed, or a short time after one has answered that it would start the request at
// once.
func (sel *selection) ask(ctx context.Context, indexes []int) {
	answers := make(chan answerOf, len(indexes))
	for _, i := range indexes {
		q := sel.startQuery(sel.targets[i], sel.kind.Class)
		go func() {
			<-q.done
			answers <- q.answer
		}()
	}
	enough := time.After(time.Duration(askShare * float64(max(sel.request.Remaining(), 0))))
	atOnce := false
	for range indexes {
		select {
		case a := <-answers:
			if sel.startsAtOnce(a) && !atOnce {
				enough, atOnce = time.After(secondAnswerWait), true
			}
		case <-enough:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startQuery asks the target's node, or returns the query that is under way already. The answer is recorded whether or not
// the request still waits for it.
func (d *Dispatcher) startQuery(target ownership.Destination, class slotqueue.Class) *sharedQuery {
	key := queryKey{target.Node, class}
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.asking.queries[key]; q != nil {
		return q
	}
	q := &sharedQuery{done: make(chan struct{})}
	d.asking.queries[key] = q
	go func() {
		q.answer = d.query(target, class)
		d.recordAnswer(q.answer, class.Service)
		d.mu.Lock()
		delete(d.asking.queries, key)
		d.mu.Unlock()
		close(q.done)
	}()
	return q
}

func (d *Dispatcher) query(target ownership.Destination, class slotqueue.Class) answerOf {
	if target.Local {
		if report, ok := d.deps.Load.Local(class); ok {
			return answerOf{target: target, report: report}
		}
		return answerOf{target: target, err: loadquery.ErrUnavailable}
	}
	// The query is bounded by loadquery.Timeout; it does not end with the request that started it.
	report, err := d.deps.Load.Source.Ask(context.Background(), target.Node, target.Address, class)
	return answerOf{target, report, err}
}

func (sel *selection) startsAtOnce(a answerOf) bool {
	if a.err != nil || a.report.Unhealthy {
		return false
	}
	c, known := a.report.Of(sel.kind.Class)
	return known && c.Wait == 0
}

// recordAnswer records the answer to a query.
func (d *Dispatcher) recordAnswer(a answerOf, service string) {
	result := queryResult(a.err)
	if !a.target.Local {
		d.deps.Metrics.LoadQuery(result)
	}
	if result == "malformed" {
		d.deps.Log.Unusual("malformed load report", "from", a.target.Node, "cause", a.err.Error())
	}
	now := time.Since(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch result {
	case "answered":
		d.asking.reports.Record(now, a.target.Node, a.report, service)
	case "unavailable":
		d.asking.reports.Record(now, a.target.Node, &balance.Report{Process: processOf(a.target), Slots: 1, Leaving: true}, service)
	default:
		d.asking.reports.Silent(now, a.target.Node)
	}
}

// queryResult returns how a query ended.
func queryResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, loadquery.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, balance.ErrReport):
		return "malformed"
	case errors.Is(err, loadquery.ErrTimeout):
		return "timeout"
	default:
		return "failed"
	}
}

// choose returns the best of the targets considered so far.
func (sel *selection) choose() balance.Choice {
	sel.kind.Remaining = sel.request.Remaining()
	now := time.Since(sel.start)
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.asking.reports.Choose(now, sel.options, sel.considered, sel.kind)
}
