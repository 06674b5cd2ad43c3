// Package evacuation decides which requests may still be sent to targets in failure domains that an operator evacuates.
//
// Times are durations on one clock of the caller; nothing here reads a clock. A Set is not safe for concurrent use.
package evacuation

import "time"

const (
	// learnMargin covers the time until a node that is connected to the store learns of an evacuation.
	learnMargin = 2 * time.Second
	// sendMargin covers the time from the decision to send a request until it reaches the target: a connection to
	// another node and one to the target, each opened within 200 ms, and the way between regions.
	sendMargin = 500 * time.Millisecond
)

// Set holds the failure domains that are evacuated, as far as one node knows.
type Set struct {
	inForceAfter time.Duration
	domains      map[string]evacuation
}

type evacuation struct {
	version int64
	// keyedUntil is until when requests for keys that are still held may be sent.
	keyedUntil time.Duration
}

// New returns a set without evacuations. An evacuation must be in force within inForceAfter of its acknowledgement by
// the store.
func New(inForceAfter time.Duration) *Set {
	return &Set{inForceAfter: inForceAfter, domains: make(map[string]evacuation)}
}

// Notice is what a node learns of an evacuation's entry in the store.
type Notice struct {
	Domain string
	// Version is the store's version of the entry.
	Version int64
	// At is when the node learned of it.
	At time.Duration
	// AbsentAt is the latest time at which the node knows that the entry was not in the store, if WasAbsent is set. A
	// node that has just started does not know one.
	AbsentAt  time.Duration
	WasAbsent bool
}

// Begin records an entry and reports whether the evacuation is new. An entry that was written again keeps the time of
// the first one: whether it was withdrawn in between is not known.
func (s *Set) Begin(n Notice) bool {
	if known, ok := s.domains[n.Domain]; ok {
		known.version = max(known.version, n.Version)
		s.domains[n.Domain] = known
		return false
	}
	s.domains[n.Domain] = evacuation{version: n.Version, keyedUntil: s.keyedUntil(n)}
	return true
}

// keyedUntil returns until when requests for keys are still sent. An entry that may have been in the store for long, since
// the node has just started or was cut off, is in force sooner or at once.
func (s *Set) keyedUntil(n Notice) time.Duration {
	if !n.WasAbsent {
		return n.At
	}
	return max(n.At, min(n.At+s.inForceAfter-learnMargin, n.AbsentAt+s.inForceAfter-sendMargin))
}

// End records that the entry with the version was deleted and reports whether that ended an evacuation.
func (s *Set) End(domain string, version int64) bool {
	known, ok := s.domains[domain]
	if !ok || known.version > version {
		return false
	}
	delete(s.domains, domain)
	return true
}

// Refuses reports whether requests may not be sent to targets in the domain: those of shared services as soon as its
// evacuation is known, and those for keys once the keys have had time to move.
func (s *Set) Refuses(now time.Duration, domain string, keyed bool) bool {
	e, ok := s.domains[domain]
	return ok && (!keyed || now >= e.keyedUntil)
}

// Domains returns the evacuated failure domains in no particular order.
func (s *Set) Domains() []string {
	domains := make([]string, 0, len(s.domains))
	for domain := range s.domains {
		domains = append(domains, domain)
	}
	return domains
}
