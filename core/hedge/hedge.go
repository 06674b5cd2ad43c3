// Package hedge decides when a request of a shared service is sent a second time, to another target, because the answer
// to the first send takes longer than usual.
//
// The usual time is the 95th percentile of the answer times of the request's class, learned by the node that sends. A
// sliding window limits second sends to a share of the requests.
//
// A Hedger reads no clock, draws no random numbers and starts no goroutines: times are passed in, measured from any fixed
// moment. The caller must serialize the calls.
package hedge

import "time"

// Policy holds the settings of a Hedger.
type Policy struct {
	// MaxShare is the largest share of a service's requests that may be sent a second time; zero sends none.
	MaxShare float64
	// Window is the time over which MaxShare is kept.
	Window time.Duration
}

// MaxShareLimit is the largest MaxShare: the retry budget of all nodes must remain large enough for the repetition of
// requests that failed.
const MaxShareLimit = 0.1

// DefaultWindow is the time over which the share is kept, that of the bound on repeated sends.
const DefaultWindow = 10 * time.Second

// dueQuantile is the share of the answers that arrive before a second send is due: a twentieth of the requests qualifies.
const dueQuantile = 0.95

// usualQuantile is the share of the answers that arrive within the time that a second send is expected to take.
const usualQuantile = 0.5

// Class is a group of requests with similar answer times.
type Class struct {
	Service, Route string
}

// Reason tells why a request is not sent a second time.
type Reason string

const (
	// ReasonNone is the reason of a request that is sent a second time.
	ReasonNone Reason = ""
	// ReasonAttempts means that the route allows no further send.
	ReasonAttempts Reason = "attempts"
	// ReasonUnconfirmed means that the node's configuration is not confirmed to be current, so that homes and
	// evacuations may have changed.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonNoTarget means that no other ready target is left for the request.
	ReasonNoTarget Reason = "no-target"
	// ReasonCold means that the other ready targets are cold.
	ReasonCold Reason = "cold"
	// ReasonBusy means that the fastest other target has no free slot.
	ReasonBusy Reason = "busy"
	// ReasonTime means that less time is left than an answer usually takes.
	ReasonTime Reason = "time"
	// ReasonShare means that the second sends have reached their share of the requests.
	ReasonShare Reason = "share"
	// ReasonRetryBudget means that the budget of repeated sends is used up.
	ReasonRetryBudget Reason = "retry-budget"
)

// Situation is what is known when a second send is due.
type Situation struct {
	// AttemptsLeft is set if the route allows another send besides the one under way.
	AttemptsLeft bool
	// Confirmed is set if the configuration is known to be current.
	Confirmed bool
	// Others is the number of ready targets that the request may use and has not tried, and Warm the number of those
	// that are not cold.
	Others, Warm int
	// Free is set if the fastest of the warm ones has a free slot, as far as is known.
	Free bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// maxClasses is the number of classes and of services that are kept. Configurations have at most some hundred.
const maxClasses = 1024

// Hedger holds what one node knows: the answer times of each class, and the sends of each service within the window.
type Hedger struct {
	policy  Policy
	classes map[Class]*estimate
	windows map[string]*window
}

// New returns a Hedger that has seen no requests. A MaxShare that is not a number between zero and MaxShareLimit is
// replaced by the nearest of these, and by zero if it is not a number.
func New(policy Policy) *Hedger {
	if !(policy.MaxShare > 0) {
		policy.MaxShare = 0
	}
	policy.MaxShare = min(policy.MaxShare, MaxShareLimit)
	if policy.Window <= 0 {
		policy.Window = DefaultWindow
	}
	return &Hedger{policy: policy, classes: make(map[Class]*estimate), windows: make(map[string]*window)}
}

// Sent records the first send of a request of the service.
func (h *Hedger) Sent(now time.Duration, service string) { h.window(now, service).sent(now) }

// Ended records a send that was not a second one and has ended after took. answered is set if it was answered. One that
// was given up counts if it has lasted longer than usual: it would have taken longer still. Without these the percentile
// would be learned from the fast answers alone and fall with each second send.
func (h *Hedger) Ended(now time.Duration, class Class, took time.Duration, answered bool) {
	e := h.estimate(now, class)
	if due, known := e.quantile(now, dueQuantile); !answered && (!known || took < due) {
		return
	}
	e.add(now, took)
}

// Due returns the time after a send at which a second one is due, and false if the class has too few recent answers.
func (h *Hedger) Due(now time.Duration, class Class) (time.Duration, bool) {
	if h.policy.MaxShare == 0 {
		return 0, false
	}
	e := h.classes[class]
	if e == nil {
		return 0, false
	}
	return e.quantile(now, dueQuantile)
}

// Decide returns ReasonNone if a request of the class may be sent a second time now, or the reason why not. It changes
// nothing: Spend records a second send.
func (h *Hedger) Decide(now time.Duration, class Class, s Situation) Reason {
	switch {
	case !s.AttemptsLeft:
		return ReasonAttempts
	case !s.Confirmed:
		return ReasonUnconfirmed
	case s.Others <= 0:
		return ReasonNoTarget
	case s.Warm <= 0:
		return ReasonCold
	case !s.Free:
		return ReasonBusy
	case s.Remaining <= h.usual(now, class):
		return ReasonTime
	case !h.window(now, class.Service).allows(now, h.policy.MaxShare):
		return ReasonShare
	default:
		return ReasonNone
	}
}

// Spend records a second send of a request of the service.
func (h *Hedger) Spend(now time.Duration, service string) { h.window(now, service).hedged(now) }

// usual returns the time that an answer of the class usually takes; zero if it is not known.
func (h *Hedger) usual(now time.Duration, class Class) time.Duration {
	e := h.classes[class]
	if e == nil {
		return 0
	}
	usual, _ := e.quantile(now, usualQuantile)
	return usual
}

func (h *Hedger) estimate(now time.Duration, class Class) *estimate {
	e := h.classes[class]
	if e == nil {
		if len(h.classes) >= maxClasses {
			removeOldest(h.classes, func(e *estimate) time.Duration { return e.usedAt })
		}
		e = &estimate{turnedAt: now}
		h.classes[class] = e
	}
	e.usedAt = now
	return e
}

func (h *Hedger) window(now time.Duration, service string) *window {
	w := h.windows[service]
	if w == nil {
		if len(h.windows) >= maxClasses {
			removeOldest(h.windows, func(w *window) time.Duration { return w.usedAt })
		}
		w = newWindow(h.policy.Window)
		h.windows[service] = w
	}
	w.usedAt = now
	return w
}

// removeOldest removes the entry that was not used for the longest time.
func removeOldest[K comparable, V any](m map[K]V, usedAt func(V) time.Duration) {
	var oldest K
	found := false
	for k, v := range m {
		if !found || usedAt(v) < usedAt(m[oldest]) {
			oldest, found = k, true
		}
	}
	delete(m, oldest)
}
