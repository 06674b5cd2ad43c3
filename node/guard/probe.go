package guard

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/coldstart"
	"github.com/auburnrelay/auburnrelay/node/h1"
	"github.com/auburnrelay/auburnrelay/node/ownership"
)

// probeTimeout bounds a probe. The health path answers at once; the node and the target may both be paused for some
// time on a busy VM.
const probeTimeout = 300 * time.Millisecond

// errOtherTarget reports an answer to a probe that is not of the target's process.
var errOtherTarget = errors.New("answer of another target")

// probeIfDue probes the target if the tracker asks for it; the caller holds the lock.
func (g *Guard) probeIfDue(now time.Duration, arriving bool) {
	c := &g.cold
	if c.healthPath == "" || !c.tracker.ProbeDue(now, arriving || g.queue.Waiting() > 0) {
		return
	}
	c.tracker.ProbeSent(now, c.unsent)
	c.lastProbe++
	go g.probe(c.lastProbe, c.local, c.healthPath)
}

// probe asks the target whether it is cold and records the answer.
func (g *Guard) probe(number uint64, local ownership.LocalTarget, path string) {
	statement, err := g.askTarget(local, path)
	now := g.elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.cold
	if number != c.lastProbe || c.tracker.Process() != processOf(local) {
		return
	}
	result := "failed"
	if err != nil {
		c.tracker.ProbeFailed(now)
	} else {
		result = g.recordStatement(now, statement)
	}
	g.metrics.TargetProbe(result)
	if failed := err != nil; failed != c.probeFailed {
		c.probeFailed = failed
		if failed {
			g.log.Warn("probe of the target not answered", "target", local.ID, "born", local.Born, "cause", err.Error())
		} else {
			g.log.Info("probe of the target answered again", "target", local.ID, "born", local.Born)
		}
	}
	// What waits may start now, or can no longer start in time.
	g.dispatch(now)
}

// recordStatement records what the target has said and returns the result of the probe; the caller holds the lock.
func (g *Guard) recordStatement(now time.Duration, s coldstart.Statement) string {
	c := &g.cold
	before := c.tracker.ColdLeft(now)
	c.tracker.ProbeAnswered(now, s)
	switch {
	case !s.Stated && c.tracker.IsLimited(now):
		g.noteOnce(processOf(c.local), "health answer without a cold time ignored")
		return "silent"
	case s.ColdFor > 0:
		return "cold"
	default:
		if before > 0 && !c.tracker.IsLimited(now) {
			g.noteOnce(processOf(c.local), "target is warm although its cold time is not over", "cold_ms", before.Milliseconds())
		}
		return "warm"
	}
}

// askTarget gets the health path and returns what the answer says.
func (g *Guard) askTarget(local ownership.LocalTarget, path string) (coldstart.Statement, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	target, err := url.ParseRequestURI(path)
	if err != nil {
		cancel()
		return coldstart.Statement{}, errors.Wrap(err, "health path")
	}
	request := (&http.Request{
		Method: http.MethodGet, URL: target, Host: local.Address, Header: make(http.Header), ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	// An answer that names a request is a late one to that request.
	isOfProbe := func(answer *http.Response) bool {
		return g.codec.DecodeAnswer(answer.StatusCode, answer.Header).ID == ""
	}
	response, err := g.pool.Do(ctx, h1.Call{Address: local.Address, Request: request, Match: isOfProbe}) //nolint:bodyclose // drain closes it
	if err != nil {
		cancel()
		return coldstart.Statement{}, errors.Wrap(err, "probe")
	}
	go drain(response.Body, cancel)
	meta := g.codec.DecodeAnswer(response.StatusCode, response.Header)
	if meta.Target != local.ID {
		return coldstart.Statement{}, errors.Wrapf(errOtherTarget, "%q", meta.Target)
	}
	g.observeReport(local, meta)
	isHealthy := response.StatusCode/100 == 2
	if !isHealthy && (!meta.HasColdFor || meta.ColdFor <= 0) {
		return coldstart.Statement{}, errors.Newf("status %d", response.StatusCode)
	}
	return coldstart.Statement{ColdFor: meta.ColdFor, Stated: meta.HasColdFor}, nil
}
