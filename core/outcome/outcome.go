// Package outcome holds the ways in which a request can end, and the rules that keep a
// non-idempotent request from running twice.
package outcome

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
	// ReasonNoOwner: no node holds the key's slice now.
	ReasonNoOwner Reason = "no-owner"
	// ReasonNotOwner: the node asked does not hold the slice.
	ReasonNotOwner Reason = "not-owner"
	// ReasonMoving: the slice is being handed over.
	ReasonMoving Reason = "moving"
	// ReasonLeaseLapsed: the lease ended before the request was sent to the target.
	ReasonLeaseLapsed Reason = "lease-lapsed"
	// ReasonFence: the target refused the fence.
	ReasonFence Reason = "fence"
	// ReasonTargetAbsent: no target is ready on the owner's VM.
	ReasonTargetAbsent Reason = "target-absent"
	// ReasonTargetRefused: the target refused before it ran the request.
	ReasonTargetRefused Reason = "target-refused"
	// ReasonTargetLost: the target ended or fell silent while the request was with it.
	ReasonTargetLost Reason = "target-lost"
	// ReasonShed: the queue was too long for the time left.
	ReasonShed Reason = "shed"
	// ReasonKeyShare: one key's requests would take too many slots.
	ReasonKeyShare Reason = "key-share"
	// ReasonDeadline: the caller's time ended.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonQuarantined: the request has crashed targets and is refused for a time.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStaleID: the request id is older than the owner's memory.
	ReasonStaleID Reason = "stale-id"
	// ReasonDuplicate: a request with this id is still running.
	ReasonDuplicate Reason = "duplicate-in-flight"
	// ReasonTruncated: the answer was cut.
	ReasonTruncated Reason = "truncated"
	// ReasonPeerUnreachable: the owner node could not be reached.
	ReasonPeerUnreachable Reason = "peer-unreachable"
	// ReasonPeerLost: the owner node was lost while the request was with it.
	ReasonPeerLost Reason = "peer-lost"
	// ReasonPeerIdentity: another process answers at the owner's address.
	ReasonPeerIdentity Reason = "peer-identity"
	// ReasonHops: the request was already forwarded once.
	ReasonHops Reason = "hops"
	// ReasonRetryBudget: the budget for retries is used up.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonStopping: the node is stopping.
	ReasonStopping Reason = "stopping"
)
