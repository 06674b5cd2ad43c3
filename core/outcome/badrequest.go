package outcome

// ReasonBadRequest means that the request breaks the interface and never will run as it is.
const ReasonBadRequest Reason = "bad-request"
