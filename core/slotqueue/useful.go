package slotqueue

import "time"

const (
	// objectiveShare is the share of a request's objective that it may wait. At overload all admitted requests wait
	// about as long as they may. A longer wait makes most answers of a full target late, and no more requests are
	// answered.
	objectiveShare = 0.6
	// remainingShare is the share of the remaining time that a request without an objective may wait.
	remainingShare = 0.5
	// minWork is the shortest time that must be left for work.
	minWork = 10 * time.Millisecond
)

// LongestUsefulWait returns how long a request may wait for a slot so that its answer is still useful. The objective is
// that of the request (zero if it has none), remaining the time until its deadline and work the time for which it is
// expected to hold a slot. The result is never negative and leaves time for the work before the deadline. Within that,
// the wait is at most a share of the objective, or of the remaining time if there is no objective.
func LongestUsefulWait(objective, remaining, work time.Duration) time.Duration {
	share := time.Duration(objectiveShare * float64(objective))
	if objective <= 0 {
		share = time.Duration(remainingShare * float64(remaining))
	}
	return max(0, min(share, remaining-max(work, minWork)))
}

// StartsInTime reports whether a request that is expected to wait for the given time is admitted.
func StartsInTime(wait, objective, remaining, work time.Duration) bool {
	return time.Duration(predictionMargin*float64(wait)) <= LongestUsefulWait(objective, remaining, work)
}
