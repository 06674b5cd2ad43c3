package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateStartThreshold is the delay after its intended time from which a request counts as
	// sent late.
	lateStartThreshold = 10 * time.Millisecond
	// outcomeGrace is the time that a caller waits for the outcome after the deadline.
	outcomeGrace = time.Second
	maxIdleConns = 512
	idleTimeout  = 30 * time.Second
	maxBodyBytes = 1 << 20
)

// Run sends the requests of the plan and returns the measurements once the last request has
// ended. If the context is done, it stops sending and returns the measurements so far. An
// invalid plan is an ErrPlan.
func Run(ctx context.Context, plan Plan) (Result, error) {
	if err := plan.prepare(); err != nil {
		return Result{}, err
	}
	g := &generator{
		plan:     &plan,
		recorder: newRecorder(&plan),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
		}},
	}
	defer g.client.CloseIdleConnections()
	g.run(ctx)
	return g.recorder.result(), nil
}

// generator sends the requests of one run.
type generator struct {
	plan     *Plan
	recorder *recorder
	client   *http.Client
	// owners maps "SERVICE/KEY" to the base URL of the owner's node.
	owners   sync.Map
	inFlight atomic.Int64
	calls    sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	arrivals := newSchedule(g.plan)
	entries := rand.New(rand.NewPCG(g.plan.Seed, ^g.plan.Seed))
	start := time.Now()
	for {
		a, ok := arrivals.next()
		if !ok || !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		entry := g.plan.Entries[entries.IntN(len(g.plan.Entries))]
		if g.inFlight.Load() >= int64(g.plan.MaxInFlight) {
			g.recorder.record(a, callResult{outcome: Dropped, reason: "too many under way"})
			continue
		}
		g.inFlight.Add(1)
		g.calls.Go(func() { g.send(start, a, entry) })
	}
	g.calls.Wait()
}

// sleepUntil sleeps until the given time; it returns false if the context is done before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the request of an arrival, waits for its end and records the result.
func (g *generator) send(start time.Time, a arrival, entry string) {
	defer g.inFlight.Add(-1)
	intended := start.Add(a.at)
	if time.Since(intended) > lateStartThreshold {
		g.recorder.countLateStart()
	}
	kind := g.plan.Kinds[a.kind]
	ctx, cancel := context.WithDeadline(context.Background(), intended.Add(kind.Deadline.Std()+outcomeGrace))
	defer cancel()
	time.Sleep(g.plan.CallerDelay.Std())
	name := kind.Service + "/" + a.key
	if owner, ok := g.owners.Load(name); ok && g.plan.LearnOwners {
		entry = owner.(string)
	}
	result, owner := g.call(ctx, entry, kind, a.key, intended)
	time.Sleep(g.plan.CallerDelay.Std())
	result.latency = time.Since(intended)
	g.learnOwner(name, owner, result.outcome)
	g.recorder.record(a, result)
}

// learnOwner stores the owner that an answer named, and drops the stored one after any other
// outcome.
func (g *generator) learnOwner(name, owner string, outcome Outcome) {
	if !g.plan.LearnOwners {
		return
	}
	if owner == "" || outcome != Answered {
		g.owners.Delete(name)
		return
	}
	if !strings.HasPrefix(owner, "http") {
		owner = "http://" + owner
	}
	g.owners.Store(name, owner)
}
