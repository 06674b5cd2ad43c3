package outcome

// ReasonBadRequest means that the request violates the interface; sent again unchanged, it is
// refused again.
const ReasonBadRequest Reason = "bad-request"
