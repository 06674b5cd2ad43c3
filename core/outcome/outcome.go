// Package outcome holds the ways in which a request can end, and the rules that keep a
// non-idempotent request from running twice.
//
// Everything here is pure: times are passed in, nothing blocks and nothing locks. The user
// of a Window serialises its calls.
package outcome

import "time"

// Outcome is how a request ended; each request has exactly one.
type Outcome uint8

const (
	// Answered means that the whole answer was delivered.
	Answered Outcome = iota + 1
	// NotRun means that the request is proved not to have run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the word that callers see.
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

// Reason says why a request was not answered.
type Reason string

const (
	// ReasonNone goes with Answered.
	ReasonNone Reason = ""
	// ReasonNoOwner means that no node holds the key's slice now.
	ReasonNoOwner Reason = "no-owner"
	// ReasonNotOwner means that the node asked does not hold the slice.
	ReasonNotOwner Reason = "not-owner"
	// ReasonMoving means that the slice is being handed over.
	ReasonMoving Reason = "moving"
	// ReasonLeaseLapsed means that the lease ended before the request was sent to the target.
	ReasonLeaseLapsed Reason = "lease-lapsed"
	// ReasonFence means that the target refused the fence.
	ReasonFence Reason = "fence"
	// ReasonTargetAbsent means that no target is ready on the owner's VM.
	ReasonTargetAbsent Reason = "target-absent"
	// ReasonTargetRefused means that the target refused before it ran the request.
	ReasonTargetRefused Reason = "target-refused"
	// ReasonTargetLost means that the target ended or fell silent while the request was with it.
	ReasonTargetLost Reason = "target-lost"
	// ReasonShed means that the queue was too long for the time left.
	ReasonShed Reason = "shed"
	// ReasonKeyShare means that one key's requests would take too many slots.
	ReasonKeyShare Reason = "key-share"
	// ReasonDeadline means that the caller's time ended.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonQuarantined means that the request has crashed targets and is refused for a time.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStaleID means that the request id is older than the owner's memory.
	ReasonStaleID Reason = "stale-id"
	// ReasonDuplicate means that a request with this id is still running.
	ReasonDuplicate Reason = "duplicate-in-flight"
	// ReasonTruncated means that the answer was cut.
	ReasonTruncated Reason = "truncated"
	// ReasonPeerUnreachable means that the owner node could not be reached.
	ReasonPeerUnreachable Reason = "peer-unreachable"
	// ReasonPeerLost means that the owner node was lost while the request was with it.
	ReasonPeerLost Reason = "peer-lost"
	// ReasonPeerIdentity means that another process answers at the owner's address.
	ReasonPeerIdentity Reason = "peer-identity"
	// ReasonHops means that the request was already forwarded once.
	ReasonHops Reason = "hops"
	// ReasonRetryBudget means that the budget for retries is used up.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonStopping means that the node is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonReplayed means that an earlier attempt ran; its kept answer is given again.
	ReasonReplayed Reason = "replayed"
	// ReasonAnswerForgotten means that an earlier attempt ran; its answer is not kept.
	ReasonAnswerForgotten Reason = "answer-forgotten"
	// ReasonIDAhead means that the request id was minted too far ahead of the node's clock.
	ReasonIDAhead Reason = "id-ahead"
	// ReasonSharedService means that the request must run at most once, but its service has no owners.
	ReasonSharedService Reason = "shared-service"
	// ReasonMissingID means that a request that must run at most once came without an id.
	ReasonMissingID Reason = "missing-id"
	// ReasonTargetUnreachable means that no byte of the request could be sent to the target.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonTargetStarting means that the target is not ready yet.
	ReasonTargetStarting Reason = "target-starting"
	// ReasonTargetDraining means that the target takes no new work.
	ReasonTargetDraining Reason = "target-draining"
	// ReasonTargetShed means that the target shed the request.
	ReasonTargetShed Reason = "target-shed"
	// ReasonAnswerLost means that the target finished the request but its answer did not arrive.
	ReasonAnswerLost Reason = "answer-lost"
	// ReasonCrossed means that an answer of another request or attempt arrived and was dropped.
	ReasonCrossed Reason = "crossed-answer"
	// ReasonUnframed means that the target's answer does not show where it ends.
	ReasonUnframed Reason = "unframed-answer"
)

// End is how a request ended, with the reason.
type End struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a new try may succeed; zero when it is not known.
	RetryAfter time.Duration
}

// Final reports whether a new try with the same id must not run. Only a request that did
// not run may be tried again.
func (e End) Final() bool { return e.Outcome != NotRun }

// Retryable reports whether the router itself may try the request again, at once or at the
// next owner. Overload, bans, passed deadlines and callers that left stay as they are.
func (e End) Retryable() bool {
	if e.Outcome != NotRun {
		return false
	}
	switch e.Reason {
	case ReasonNoOwner, ReasonNotOwner, ReasonMoving, ReasonLeaseLapsed, ReasonFence,
		ReasonTargetAbsent, ReasonTargetUnreachable, ReasonTargetStarting,
		ReasonTargetDraining, ReasonPeerUnreachable, ReasonPeerIdentity, ReasonStopping:
		return true
	default:
		return false
	}
}
