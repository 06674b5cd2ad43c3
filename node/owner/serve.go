package owner

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/quarantine"
	"github.com/auburnrelay/auburnrelay/node/plane"
	"github.com/auburnrelay/auburnrelay/node/target"
)

// requestRun is the state of one request while the owner serves it.
type requestRun struct {
	owner    *Owner
	request  *plane.Request
	sink     *recorder
	deadline time.Time
	// slice is nil for shared services.
	slice *slice
	// fence is the slice's fence once the target has answered its grant; zero for shared
	// services.
	fence       fence.Fence
	fingerprint quarantine.Fingerprint
	suspect     bool
	// claimed is set once the slice's window has recorded the request's ID as running.
	claimed bool
	// decided receives the queue's decision if the request was queued.
	decided chan admission.Decision
}

// Serve implements plane.Server.
func (o *Owner) Serve(ctx context.Context, request *plane.Request, sink plane.Sink) plane.Result {
	r := &requestRun{owner: o, request: request, deadline: request.Deadline}
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(o.cfg.DefaultTimeout)
	}
	r.sink = newRecorder(sink, o.pacerFor(request), o.keepBytes(request))
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	end := r.serve(ctx)
	o.recordEnd(r, end)
	return plane.Result{Outcome: end.Outcome, Reason: end.Reason, RetryAfter: end.RetryAfter, BodyBytes: r.sink.bytesForwarded}
}

// keepBytes returns the largest answer body, in bytes, that is kept to be replayed if the caller
// resends the request.
func (o *Owner) keepBytes(request *plane.Request) int {
	if !request.NonIdempotent {
		return 0
	}
	return o.cfg.Window.MaxAnswerBytes
}

func notRun(reason outcome.Reason) *outcome.End {
	return &outcome.End{Outcome: outcome.NotRun, Reason: reason}
}

// serve runs the stages of a request; each one may end it.
func (r *requestRun) serve(ctx context.Context) outcome.End {
	if end := r.enter(); end != nil {
		return *end
	}
	defer r.leave()
	if end := r.claim(ctx); end != nil {
		return *end
	}
	end := r.execute(ctx)
	r.recordOutcome(end)
	return end
}

// enter checks the target's state, the quarantine and the lease, and counts the request as
// active in its slice.
func (r *requestRun) enter() *outcome.End {
	q := r.request
	o := r.owner
	r.fingerprint = quarantine.FingerprintOf(q.Service, q.Method, q.Key, q.Path)
	if end := o.checkTarget(); end != nil {
		return end
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	verdict, banLeft := o.tracker.Check(time.Now(), r.fingerprint)
	if verdict == quarantine.Banned {
		return &outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonQuarantined, RetryAfter: banLeft}
	}
	r.suspect = verdict == quarantine.Suspect
	if q.Range.Kind == keyspace.Shared {
		return r.enterShared()
	}
	if q.NonIdempotent && q.ID == (ulid.ULID{}) {
		return notRun(outcome.ReasonMissingID)
	}
	return r.enterSlice()
}

// enterShared refuses non-idempotent requests: a shared service has no single owner that could
// detect duplicates.
func (r *requestRun) enterShared() *outcome.End {
	if r.request.NonIdempotent {
		return notRun(outcome.ReasonSharedService)
	}
	return nil
}

func (r *requestRun) enterSlice() *outcome.End {
	o := r.owner
	s, held := o.slices[r.request.Slice]
	if !held {
		return notRun(outcome.ReasonNotOwner)
	}
	if s.isClosed() {
		return notRun(s.closeReason)
	}
	if s.remaining(o.cfg.Clock()) <= 0 {
		return notRun(outcome.ReasonLeaseLapsed)
	}
	s.active++
	r.slice = s
	return nil
}

// checkTarget returns a refusal unless the target is ready.
func (o *Owner) checkTarget() *outcome.End {
	switch o.target.Info().State {
	case plane.TargetReady:
		return nil
	case plane.TargetStarting:
		return notRun(outcome.ReasonTargetStarting)
	case plane.TargetDraining:
		return notRun(outcome.ReasonTargetDraining)
	default:
		return notRun(outcome.ReasonTargetAbsent)
	}
}

// leave ends the request's activity in its slice, which may complete a drain.
func (r *requestRun) leave() {
	if r.slice == nil {
		return
	}
	r.owner.mu.Lock()
	r.slice.active--
	callbacks := r.owner.requestEnded(r.slice)
	r.owner.mu.Unlock()
	callAll(callbacks)
}

// execute waits for the target to acknowledge the grant and for a slot, then calls the target.
func (r *requestRun) execute(ctx context.Context) outcome.End {
	if end := r.awaitGrant(ctx); end != nil {
		return *end
	}
	id, end := r.awaitSlot(ctx)
	if end != nil {
		return *end
	}
	result := r.call(ctx)
	r.releaseSlot(id, result)
	return result.End
}

// awaitGrant waits until the target has answered the grant of the slice's fence, for
// grantAnswerTimeout at most: if the target cannot be reached, another node may be able to serve
// the request.
func (r *requestRun) awaitGrant(ctx context.Context) *outcome.End {
	if r.slice == nil {
		return nil
	}
	r.owner.mu.Lock()
	answered := r.slice.grant.answered
	r.owner.mu.Unlock()
	if end := r.awaitGrantAnswer(ctx, answered); end != nil {
		return end
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if r.slice.grant.refused {
		return notRun(outcome.ReasonFence)
	}
	r.fence = r.slice.lease.Fence
	return nil
}

func (r *requestRun) awaitGrantAnswer(ctx context.Context, answered <-chan struct{}) *outcome.End {
	select {
	case <-answered:
		return nil
	default:
	}
	timer := time.NewTimer(grantAnswerTimeout)
	defer timer.Stop()
	select {
	case <-answered:
		return nil
	case <-timer.C:
		return notRun(outcome.ReasonTargetUnreachable)
	case <-ctx.Done():
		return notRun(contextReason(ctx))
	case <-r.slice.closed:
		return notRun(r.slice.closeReason)
	}
}

// call sends the request to the target and records the result for the quarantine and, if the
// call is unresolved, for pollUnresolved.
func (r *requestRun) call(ctx context.Context) target.CallResult {
	o := r.owner
	o.mu.Lock()
	o.tracker.Begin(r.fingerprint)
	o.mu.Unlock()
	id := r.request.ID
	if id == (ulid.ULID{}) {
		id = ulid.Make()
	}
	call := target.Call{Request: r.request, ID: id.String(), Fence: r.fence, Remaining: r.remaining}
	result := o.target.Call(ctx, call, r.sink)
	o.mu.Lock()
	succeeded := result.Outcome == outcome.Answered
	changes := o.tracker.Finish(time.Now(), r.fingerprint, succeeded, result.Broken)
	if !result.Resolved && result.Outcome == outcome.Unknown {
		o.addUnresolved(r, call, result)
	}
	o.mu.Unlock()
	o.publishChanges(changes)
	return result
}

// addUnresolved records an unresolved call; the caller holds the lock. A call to a process that
// has been replaced can no longer run and is not recorded.
func (o *Owner) addUnresolved(r *requestRun, call target.Call, result target.CallResult) {
	if o.target.Info().Incarnation != result.Incarnation {
		return
	}
	p := &unresolvedCall{callID: call.ID, attempt: r.request.Attempt, incarnation: result.Incarnation, slice: r.slice}
	if r.claimed {
		p.requestID = r.request.ID
	}
	o.unresolved[p] = struct{}{}
	if r.slice != nil {
		r.slice.unresolved++
	}
}

// remaining returns the time within which the target must start the request: the shorter of
// what is left of the lease and of the deadline.
func (r *requestRun) remaining() time.Duration {
	left := time.Until(r.deadline)
	if r.slice != nil {
		left = min(left, r.slice.remaining(r.owner.cfg.Clock()))
	}
	return left
}

func contextReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// workClass returns the admission class of a request, a hash of its service, method and first
// path segment.
func workClass(q *plane.Request) admission.Class {
	kind, _, _ := strings.Cut(strings.TrimPrefix(q.Path, "/"), "/")
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{q.Service, q.Method, kind} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return admission.Class(d.Sum64())
}

func keyHash(q *plane.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(q.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(q.Key)
	return d.Sum64()
}
