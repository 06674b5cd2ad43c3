package outcome

// ReasonBadRequest means that the request breaks the interface and never runs as it is.
const ReasonBadRequest Reason = "bad-request"
