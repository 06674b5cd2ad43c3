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

// run is one request on its way through the owner.
type run struct {
	owner    *Owner
	request  *plane.Request
	sink     *recorder
	deadline time.Time
	// slice is nil for shared services.
	slice *slice
	// fence is the slice's at the time the request was let in.
	fence       fence.Fence
	fingerprint quarantine.Fingerprint
	suspect     bool
	// claimed tells that the request's id is running in the slice's window.
	claimed bool
	// started receives the decision on queued work.
	started chan admission.Decision
}

// Serve implements plane.Server.
func (o *Owner) Serve(ctx context.Context, request *plane.Request, sink plane.Sink) plane.Result {
	r := &run{owner: o, request: request, deadline: request.Deadline}
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(o.cfg.DefaultTimeout)
	}
	r.sink = newRecorder(sink, o.pacing(request), o.keepBytes(request))
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	end := r.serve(ctx)
	o.record(r, end)
	return plane.Result{Outcome: end.Outcome, Reason: end.Reason, RetryAfter: end.RetryAfter, BodyBytes: r.sink.bytes}
}

// keepBytes returns how much of the answer is kept for a resend.
func (o *Owner) keepBytes(request *plane.Request) int {
	if !request.NonIdempotent {
		return 0
	}
	return o.cfg.Window.OneAnswerBytes
}

func refused(reason outcome.Reason) *outcome.End {
	return &outcome.End{Outcome: outcome.NotRun, Reason: reason}
}

// serve takes the request through its stages; each one may end it.
func (r *run) serve(ctx context.Context) outcome.End {
	if end := r.enter(); end != nil {
		return *end
	}
	defer r.leave()
	if end := r.claim(ctx); end != nil {
		return *end
	}
	end := r.execute(ctx)
	r.release(end)
	return end
}

// enter checks the ban, the target and the lease, and counts the request into its slice.
func (r *run) enter() *outcome.End {
	q := r.request
	o := r.owner
	r.fingerprint = quarantine.FingerprintOf(q.Service, q.Method, q.Key, q.Path)
	if end := o.targetEnd(); end != nil {
		return end
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	verdict, left := o.tracker.Check(time.Now(), r.fingerprint)
	if verdict == quarantine.Banned {
		return &outcome.End{Outcome: outcome.NotRun, Reason: outcome.ReasonQuarantined, RetryAfter: left}
	}
	r.suspect = verdict == quarantine.Suspect
	if q.Range.Kind == keyspace.Shared {
		return r.enterShared()
	}
	if q.NonIdempotent && q.ID == (ulid.ULID{}) {
		return refused(outcome.ReasonMissingID)
	}
	return r.enterSlice()
}

// enterShared refuses what must run at most once: a shared service has no owner that could
// remember it.
func (r *run) enterShared() *outcome.End {
	if r.request.NonIdempotent {
		return refused(outcome.ReasonSharedService)
	}
	return nil
}

func (r *run) enterSlice() *outcome.End {
	o := r.owner
	s, held := o.slices[r.request.Slice]
	if !held {
		return refused(outcome.ReasonNotOwner)
	}
	if s.isClosed() {
		return refused(s.closeReason)
	}
	if s.remaining(o.cfg.Clock()) <= 0 {
		return refused(outcome.ReasonLeaseLapsed)
	}
	s.busy++
	r.slice = s
	return nil
}

// targetEnd refuses requests while the target takes no work.
func (o *Owner) targetEnd() *outcome.End {
	switch o.target.Info().State {
	case plane.TargetReady:
		return nil
	case plane.TargetStarting:
		return refused(outcome.ReasonTargetStarting)
	case plane.TargetDraining:
		return refused(outcome.ReasonTargetDraining)
	default:
		return refused(outcome.ReasonTargetAbsent)
	}
}

// leave counts the request out of its slice.
func (r *run) leave() {
	if r.slice == nil {
		return
	}
	r.owner.mu.Lock()
	r.slice.busy--
	freed := r.owner.settled(r.slice)
	r.owner.mu.Unlock()
	runAll(freed)
}

// execute waits for the grant and for a slot, then calls the target.
func (r *run) execute(ctx context.Context) outcome.End {
	if end := r.awaitGrant(ctx); end != nil {
		return *end
	}
	id, end := r.awaitSlot(ctx)
	if end != nil {
		return *end
	}
	ending := r.call(ctx)
	r.freeSlot(id, ending)
	return ending.End
}

// awaitGrant waits until the target knows the slice's fence, but not for a target that cannot
// be told: the request may be served elsewhere.
func (r *run) awaitGrant(ctx context.Context) *outcome.End {
	if r.slice == nil {
		return nil
	}
	r.owner.mu.Lock()
	known := r.slice.grant.known
	r.owner.mu.Unlock()
	if end := r.waitKnown(ctx, known); end != nil {
		return end
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if r.slice.grant.refused {
		return refused(outcome.ReasonFence)
	}
	r.fence = r.slice.lease.Fence
	return nil
}

func (r *run) waitKnown(ctx context.Context, known <-chan struct{}) *outcome.End {
	select {
	case <-known:
		return nil
	default:
	}
	timer := time.NewTimer(grantWait)
	defer timer.Stop()
	select {
	case <-known:
		return nil
	case <-timer.C:
		return refused(outcome.ReasonTargetUnreachable)
	case <-ctx.Done():
		return refused(contextReason(ctx))
	case <-r.slice.closed:
		return refused(r.slice.closeReason)
	}
}

// call sends the request to the target.
func (r *run) call(ctx context.Context) target.Ending {
	o := r.owner
	o.mu.Lock()
	o.tracker.Begin(r.fingerprint)
	o.mu.Unlock()
	id := r.request.ID
	if id == (ulid.ULID{}) {
		id = ulid.Make()
	}
	call := target.Call{Request: r.request, ID: id.String(), Fence: r.fence, Remaining: r.remaining}
	ending := o.target.Call(ctx, call, r.sink)
	o.mu.Lock()
	well := ending.Outcome == outcome.Answered
	changes := o.tracker.Finish(time.Now(), r.fingerprint, well, ending.Broken)
	if !ending.Resolved && ending.Outcome == outcome.Unknown {
		o.addPending(r, call, ending)
	}
	o.mu.Unlock()
	o.share(changes)
	return ending
}

// addPending lists a call that may still run; the caller holds the lock.
func (o *Owner) addPending(r *run, call target.Call, ending target.Ending) {
	if o.target.Info().Incarnation != ending.Incarnation {
		return
	}
	p := &pendingCall{callID: call.ID, attempt: r.request.Attempt, incarnation: ending.Incarnation, slice: r.slice}
	if r.claimed {
		p.requestID = r.request.ID
	}
	o.pending[p] = struct{}{}
	if r.slice != nil {
		r.slice.pending++
	}
}

// remaining returns how long the target may take to start the request: what is left of the
// lease and of the deadline.
func (r *run) remaining() time.Duration {
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

// workClass returns the class of a request: its service, method and the first part of its path.
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
