// Package outcome defines how requests can end, and a deduplication window that keeps a
// non-idempotent request from running twice.
//
// Nothing here reads a clock, blocks or locks: times are passed in. A Window is not safe for
// concurrent use.
package outcome

import "time"

// Outcome is how a request ended; each request has exactly one.
type Outcome uint8

const (
	// Answered means that the complete answer was delivered.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the name of the outcome that is sent to callers.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason explains an outcome, in most cases why a request was not answered.
type Reason string

const (
	// ReasonNone is the reason of an ordinary Answered outcome.
	ReasonNone Reason = ""
	// ReasonNoOwner means that no node currently owns the key's slice.
	ReasonNoOwner Reason = "no-owner"
	// ReasonNotOwner means that the node that received the request does not own the slice.
	ReasonNotOwner Reason = "not-owner"
	// ReasonMoving means that the slice is being moved to another owner.
	ReasonMoving Reason = "moving"
	// ReasonLeaseLapsed means that the lease ended before the request was sent to the target.
	ReasonLeaseLapsed Reason = "lease-lapsed"
	// ReasonFence means that the target refused the request because of its fence.
	ReasonFence Reason = "fence"
	// ReasonTargetAbsent means that no target is ready on the owner's VM.
	ReasonTargetAbsent Reason = "target-absent"
	// ReasonTargetRefused means that the target refused the request without running it.
	ReasonTargetRefused Reason = "target-refused"
	// ReasonTargetLost means that the target ended or stopped responding while it processed the
	// request.
	ReasonTargetLost Reason = "target-lost"
	// ReasonShed means that the queue was too long for the time left.
	ReasonShed Reason = "shed"
	// ReasonMemory means that a node had no memory for the request.
	ReasonMemory Reason = "memory"
	// ReasonTargetLimit means that the target's limit on requests per second left no turn for the
	// request in the time left.
	ReasonTargetLimit Reason = "target-limit"
	// ReasonTargetUnhealthy means that the target refuses or fails most requests although it has free slots, and that
	// enough requests have been sent to it on trial.
	ReasonTargetUnhealthy Reason = "target-unhealthy"
	// ReasonOverloaded means that no target is known that would start the request in time.
	ReasonOverloaded Reason = "overloaded"
	// ReasonKeyShare means that requests for one key would occupy too many slots.
	ReasonKeyShare Reason = "key-share"
	// ReasonDeadline means that the caller's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller cancelled the request or disconnected.
	ReasonCancelled Reason = "cancelled"
	// ReasonQuarantined means that the request is banned for a time because it crashed targets.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStaleID means that the request id is older than the owner's deduplication window.
	ReasonStaleID Reason = "stale-id"
	// ReasonDuplicate means that a request with this id is still running.
	ReasonDuplicate Reason = "duplicate-in-flight"
	// ReasonTruncated means that the answer broke off before its end.
	ReasonTruncated Reason = "truncated"
	// ReasonPeerUnreachable means that the owner node could not be reached.
	ReasonPeerUnreachable Reason = "peer-unreachable"
	// ReasonPeerLost means that the owner node was lost while it processed the request.
	ReasonPeerLost Reason = "peer-lost"
	// ReasonPeerIdentity means that a process other than the owner answered at its address.
	ReasonPeerIdentity Reason = "peer-identity"
	// ReasonHops means that the request had already been forwarded and may not be forwarded again.
	ReasonHops Reason = "hops"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonStopping means that the node is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonReplayed means that an earlier attempt ran and its stored answer was returned.
	ReasonReplayed Reason = "replayed"
	// ReasonAnswerForgotten means that an earlier attempt ran but its answer is no longer stored.
	ReasonAnswerForgotten Reason = "answer-forgotten"
	// ReasonIDAhead means that the timestamp of the request id is too far ahead of the node's
	// clock.
	ReasonIDAhead Reason = "id-ahead"
	// ReasonSharedService means that the request must run at most once, but its service is shared
	// and has no owners.
	ReasonSharedService Reason = "shared-service"
	// ReasonMissingID means that a request that must run at most once has no id.
	ReasonMissingID Reason = "missing-id"
	// ReasonTargetUnreachable means that no byte of the request could be sent to the target.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonTargetStarting means that the target is not ready yet.
	ReasonTargetStarting Reason = "target-starting"
	// ReasonTargetDraining means that the target accepts no new requests.
	ReasonTargetDraining Reason = "target-draining"
	// ReasonTargetShed means that the target shed the request.
	ReasonTargetShed Reason = "target-shed"
	// ReasonAnswerLost means that the target finished the request but its answer did not arrive.
	ReasonAnswerLost Reason = "answer-lost"
	// ReasonCrossed means that the answer received belongs to another request or attempt and was
	// discarded.
	ReasonCrossed Reason = "crossed-answer"
	// ReasonHome means that nothing in the regions that the request may not leave can serve it.
	ReasonHome Reason = "home"
	// ReasonEvacuated means that the target's failure domain is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUnframed means that the target's answer has no framing that marks its end.
	ReasonUnframed Reason = "unframed-answer"
	// ReasonMalformed means that the target's answer has a status or a head that HTTP does not allow.
	ReasonMalformed Reason = "malformed-answer"
)

// End is the outcome of a request with its reason.
type End struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time until another attempt may succeed; zero if unknown.
	RetryAfter time.Duration
}

// Final reports whether the outcome rules out another attempt with the same id. Only a request
// that did not run may be attempted again.
func (e End) Final() bool { return e.Outcome != NotRun }

// Retryable reports whether the node itself may retry the request, at the same owner or at the
// next one. It does not retry after overload, a ban, a passed deadline or a cancellation.
func (e End) Retryable() bool {
	if e.Outcome != NotRun {
		return false
	}
	switch e.Reason {
	case ReasonNoOwner, ReasonNotOwner, ReasonMoving, ReasonLeaseLapsed, ReasonFence,
		ReasonTargetAbsent, ReasonTargetUnreachable, ReasonTargetStarting,
		ReasonTargetDraining, ReasonEvacuated, ReasonPeerUnreachable, ReasonPeerIdentity, ReasonStopping:
		return true
	default:
		return false
	}
}
