package ingress

import (
	"slices"

	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/ownership"
	"github.com/auburnrelay/auburnrelay/node/relay"
)

// allowedTargets returns the targets of the request's service that the request may be sent to: those in its homes and
// outside of evacuated failure domains. The view's list is not changed.
func (s *dispatchState) allowedTargets(view *ownership.View) []ownership.Destination {
	targets := view.Targets(s.request.Service)
	isExcluded := func(d ownership.Destination) bool { return !s.request.Homes.Allows(d.Region) || s.isEvacuated(d) }
	if !slices.ContainsFunc(targets, isExcluded) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), isExcluded)
}

// isEvacuated reports whether the request may not be sent to the destination because of an evacuation.
func (s *dispatchState) isEvacuated(d ownership.Destination) bool {
	return s.deps.Evacuated != nil && s.deps.Evacuated(d.FailureDomain, s.request.Keyed)
}

// isHomeless reports whether the request may not leave its homes and no target there is ready.
func (s *dispatchState) isHomeless(view *ownership.View) bool {
	return s.request.Homes.Restricted() && !slices.ContainsFunc(s.allowedTargets(view), s.isReady)
}

// refuseForHomes returns the result of a request that nothing in its homes can serve. It does not wait for a target, which
// may take longer than the request: callers learn of it at once and can try again once an owner may have moved.
func refuseForHomes() relay.Result {
	result := relay.NotRun(outcome.ReasonHome)
	result.RetryAfter = ownerRetryAfter
	return result
}
