package ingress

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/hedge"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// Hedging configures the second sends of requests whose first send takes longer than usual.
type Hedging struct {
	// Policy is the budget; with a MaxShare of zero no request is sent a second time for this reason.
	Policy hedge.Policy
	// Confirmed reports whether the configuration is confirmed to be current; nil if that is not known.
	Confirmed func() bool
	// HasFreeSlot reports whether the fastest of the targets has a free slot for the request. If it is nil, load reports
	// decide, or the node's own requests where there are none.
	HasFreeSlot func(r *relay.Request, targets []ownership.Destination) bool
}

// errOvertaken is the cause with which a first send is cancelled: the second one was answered before it. errNotNeeded is
// that of a second send.
var (
	errOvertaken = errors.New("the second send was answered first")
	errNotNeeded = errors.New("the first send was answered first")
)

// isOvertaken reports whether the send of the context was cancelled because it took too long. Its target would otherwise
// look no slower than the others, since the answer that it did not give in time is never measured.
func isOvertaken(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errOvertaken) }

// isNotNeeded reports whether the send of the context was a second one that was cancelled. A connection that it did not
// open in this short time does not show that its target cannot be reached.
func isNotNeeded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errNotNeeded) }

func newHedger(h Hedging) *hedge.Hedger {
	if h.Policy.MaxShare <= 0 {
		return nil
	}
	return hedge.New(h.Policy)
}

// sendHedged sends the request to one of the targets of a shared service, and to a second one if the answer takes longer
// than usual and the rules of package hedge allow it.
func (s *dispatchState) sendHedged(ctx context.Context, targets []ownership.Destination) relay.Result {
	if s.hedger == nil {
		return s.sendShared(ctx, targets)
	}
	r := &race{
		state: s, class: hedge.Class{Service: s.request.Service, Route: s.route.Name}, started: time.Since(s.start),
		results: make(chan contenderResult), decided: make(chan struct{}),
	}
	due, isKnown := r.begin()
	if !isKnown || s.hedged || !s.request.Kind.Repeatable() || !s.request.Body.Complete() {
		result := s.sendShared(ctx, targets)
		r.recordTime(result)
		return result
	}
	return r.run(ctx, targets, due)
}

// race is the first send of a request and, once it is due, the second one.
type race struct {
	state   *dispatchState
	class   hedge.Class
	started time.Duration
	// first and second are the destinations of the sends; nil before they are chosen.
	first, second atomic.Pointer[ownership.Destination]
	// cancel ends the sends, the first one at index 0.
	cancel [2]context.CancelCauseFunc
	// results receives the results until decided is closed; later ones are dropped.
	results chan contenderResult
	decided chan struct{}
	hedgeAt time.Duration
}

// contenderResult is the result of one of the two sends.
type contenderResult struct {
	relay.Result
	isSecond bool
	// tried is what the send added to dispatchState.tried.
	tried []string
}

// isAcceptable reports whether the result ends the race while the other send is under way. An error of a target does
// not, because the other one may still serve the request.
func (c *contenderResult) isAcceptable() bool {
	return c.Outcome == outcome.Answered && c.Answer.Status < http.StatusInternalServerError
}

// begin counts the request's first send and returns when a second one is due after it.
func (r *race) begin() (time.Duration, bool) {
	s := r.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.countedForHedging {
		s.countedForHedging = true
		s.hedger.Sent(r.started, s.request.Service)
	}
	return s.hedger.Due(r.started, r.class)
}

func (r *race) run(ctx context.Context, targets []ownership.Destination, due time.Duration) relay.Result {
	r.launch(ctx, targets, false)
	timer := time.NewTimer(due)
	defer timer.Stop()
	underWay := 1
	var former *contenderResult
	for {
		select {
		case <-timer.C:
			if others := r.decide(); len(others) > 0 {
				r.launch(ctx, others, true)
				underWay++
			}
		case ended := <-r.results:
			underWay--
			if !ended.isSecond {
				r.recordTime(ended.Result)
			}
			if underWay > 0 && !ended.isAcceptable() {
				former = &ended
				continue
			}
			return r.finish(ended, former, underWay > 0)
		}
	}
}

// launch starts a send in a goroutine. It works on a copy of the request, because two sends change it.
func (r *race) launch(ctx context.Context, targets []ownership.Destination, isSecond bool) {
	s, index, chosen := r.state, 0, &r.first
	if isSecond {
		index, chosen = 1, &r.second
	}
	ctx, r.cancel[index] = context.WithCancelCause(ctx)
	request := *s.request
	request.Repeated = request.Repeated || isSecond
	contender := &dispatchState{
		Dispatcher: s.Dispatcher, request: &request, route: s.route, sends: s.sends, tried: slices.Clone(s.tried),
		onSend: func(d ownership.Destination) { chosen.Store(&d) },
	}
	known := len(s.tried)
	go func() {
		result := contenderResult{Result: contender.sendShared(ctx, targets), isSecond: isSecond, tried: contender.tried[known:]}
		select {
		case r.results <- result:
		case <-r.decided:
			if result.Answer != nil {
				result.Answer.Close()
			}
		}
	}()
}

// decide returns the targets to one of which the request is sent a second time, none if it is not. It takes the tokens
// of both budgets.
func (r *race) decide() []ownership.Destination {
	s, first := r.state, r.first.Load()
	if first == nil {
		return nil
	}
	ready, warm := s.otherTargets(*first)
	situation := hedge.Situation{
		AttemptsLeft: s.sends+1 < max(1, s.route.Attempts), Confirmed: s.deps.Hedging.Confirmed == nil || s.deps.Hedging.Confirmed(),
		Others: ready, Warm: len(warm), Free: s.hasFreeSlot(warm), Remaining: s.request.Remaining(),
	}
	nodes, now := s.deps.View().Nodes(), time.Since(s.start)
	s.mu.Lock()
	reason := s.hedger.Decide(now, r.class, situation)
	if reason == hedge.ReasonNone && !s.budget.Spend(s.request.Service, nodes, true) {
		reason = hedge.ReasonRetryBudget
	}
	if reason == hedge.ReasonNone {
		s.hedger.Spend(now, s.request.Service)
	}
	s.mu.Unlock()
	if reason != hedge.ReasonNone {
		s.deps.Metrics.HedgeRefused(string(reason))
		return nil
	}
	s.hedged, r.hedgeAt = true, now
	s.deps.Metrics.HedgeSent()
	return warm
}

// otherTargets returns the number of ready targets to which the request may be sent besides the first one, and those
// of them that are not cold. Another region is considered only if the first target is in another region as well, and not
// for downloads: what the loser has sent by then would load the link between the regions for nothing.
func (s *dispatchState) otherTargets(first ownership.Destination) (ready int, warm []ownership.Destination) {
	farAllowed := first.Region != s.deps.Region && s.request.Kind != routing.Download
	for _, d := range s.allowedTargets(s.deps.View()) {
		if d.Node == first.Node || d.Target == first.Target || slices.Contains(s.tried, d.Target) || !s.isReady(d) ||
			d.Region != s.deps.Region && !farAllowed {
			continue
		}
		ready++
		if !d.Cold {
			warm = append(warm, d)
		}
	}
	return ready, warm
}

func (s *dispatchState) hasFreeSlot(targets []ownership.Destination) bool {
	if s.deps.Hedging.HasFreeSlot != nil {
		return s.deps.Hedging.HasFreeSlot(s.request, targets)
	}
	candidates := s.candidates(targets)
	options := make([]balance.Option, len(targets))
	for i, d := range targets {
		options[i] = balance.Option{Name: d.Node, Process: processOf(d)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if free, known := s.asking.reports.HasFreeSlot(time.Since(s.start), options); known {
		return free
	}
	return s.picker.FastestHasFreeSlot(time.Since(s.start), candidates)
}

// recordTime records how long the first send took, unless the request did not run.
func (r *race) recordTime(result relay.Result) {
	if result.Outcome != outcome.NotRun {
		r.recordLasted(result.Outcome == outcome.Answered)
	}
}

func (r *race) recordLasted(answered bool) {
	s, now := r.state, time.Since(r.state.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedger.Ended(now, r.class, now-r.started, answered)
}

// finish ends the race with the last result, or with the former one if only that is an answer. If a send is still under
// way, it is cancelled and its result dropped.
func (r *race) finish(last contenderResult, former *contenderResult, otherUnderWay bool) relay.Result {
	close(r.decided)
	winner := last
	if former != nil && former.Outcome == outcome.Answered && !last.isAcceptable() {
		winner, former = *former, &last
	}
	if otherUnderWay {
		r.cancelOther(winner.isSecond)
	}
	if former != nil {
		r.state.account(*former)
	}
	r.state.tried = append(r.state.tried, winner.tried...)
	r.report(winner)
	cancelWinner := r.cancel[indexOf(winner.isSecond)]
	if winner.Answer != nil && winner.Answer.Rest != nil {
		winner.Answer.Rest = relay.OnClose(winner.Answer.Rest, func() { cancelWinner(nil) })
	} else {
		cancelWinner(nil)
	}
	if former != nil {
		r.cancel[indexOf(former.isSecond)](nil)
	}
	return winner.Result
}

func indexOf(isSecond bool) int {
	if isSecond {
		return 1
	}
	return 0
}

// cancelOther cancels the send that has not ended.
func (r *race) cancelOther(secondWon bool) {
	r.state.deps.Metrics.HedgeCancelled()
	if !secondWon {
		r.cancel[1](errNotNeeded)
		return
	}
	r.recordLasted(false)
	r.cancel[0](errOvertaken)
}

// account records a result that is not the result of the race as one of the request's sends.
func (s *dispatchState) account(c contenderResult) {
	if c.Answer != nil {
		c.Answer.Close()
	}
	s.tried = append(s.tried, c.tried...)
	if c.Reached {
		s.sends++
		s.tried = append(s.tried, c.Target)
		s.request.Repeated = true
	}
	if c.Outcome == outcome.Unknown && s.firstUnknown == nil {
		s.firstUnknown = &c.Result
	}
}

// report counts and logs the end of a request that was sent twice.
func (r *race) report(winner contenderResult) {
	if r.hedgeAt == 0 {
		return
	}
	s, won := r.state, "neither"
	if winner.Outcome == outcome.Answered {
		won = [...]string{"first", "second"}[indexOf(winner.isSecond)]
	}
	if won == "second" {
		s.deps.Metrics.HedgeWon()
	}
	targetOf := func(d *ownership.Destination) string {
		if d == nil {
			return ""
		}
		return d.Target
	}
	s.deps.Log.Unusual("request hedged", "id", s.request.ID, "service", r.class.Service, "route", r.class.Route,
		"first", targetOf(r.first.Load()), "second", targetOf(r.second.Load()), "answered_by", won, "outcome", winner.Outcome.String(),
		"reason", string(winner.Reason), "after_ms", (r.hedgeAt - r.started).Milliseconds(),
		"took_ms", (time.Since(s.start) - r.started).Milliseconds(), "left_ms", s.request.Remaining().Milliseconds())
}
