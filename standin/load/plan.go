// Package load implements an open-loop load generator that uses the interface for callers.
// Requests are sent at their intended times, whether or not earlier ones have been answered,
// and latencies are measured from the intended times.
//
// Lock order: recorder.mu is the only lock and is held while one result is recorded.
package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPlan reports a plan that cannot be run.
var ErrPlan = errors.New("invalid load plan")

const (
	defaultPathPrefix  = "/v1/"
	defaultMaxInFlight = 20_000
	defaultKeyCount    = 10_000
)

// Duration is a time.Duration that is written as text, for example "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Plan describes the load of a run; its JSON form is the input of the command standin-load.
type Plan struct {
	// Entries are base URLs of nodes; each request goes to a randomly chosen one.
	Entries []string `json:"entries"`
	// PathPrefix comes before SERVICE/KEY; "/v1/" by default, "/work/" calls targets directly.
	PathPrefix string `json:"path_prefix,omitempty"`
	// LearnOwners sends each request directly to the owner named in an earlier answer for
	// the same key.
	LearnOwners bool `json:"learn_owners,omitempty"`
	// Seed seeds the random arrival times, kinds, keys and entries.
	Seed   uint64  `json:"seed"`
	Keys   KeyPlan `json:"keys"`
	Kinds  []Kind  `json:"kinds"`
	Phases []Phase `json:"phases"`
	// CallerDelay is the one-way latency between callers and nodes.
	CallerDelay Duration `json:"caller_delay,omitempty"`
	// MaxInFlight limits the requests in flight; further ones are counted as dropped. 20,000
	// by default.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// KeyPlan describes which keys are requested.
type KeyPlan struct {
	// Count is the number of keys; 10,000 by default.
	Count int `json:"count,omitempty"`
	// Zipf is the exponent of the Zipf distribution of keys and must be above one; zero
	// selects a uniform distribution.
	Zipf float64 `json:"zipf,omitempty"`
	// Prefixes are used in rotation before the key numbers, which spreads the keys over key
	// ranges.
	Prefixes []string `json:"prefixes,omitempty"`
	// HotEvery is the interval at which the set of most popular keys changes; zero means
	// never.
	HotEvery Duration `json:"hot_every,omitempty"`
}

// Kind describes one kind of request.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Method  string `json:"method"`
	// Subpath is the path after the key, and Query the query, without "?".
	Subpath string `json:"rest,omitempty"`
	Query   string `json:"query,omitempty"`
	// Share is the kind's share of the requests; shares need not add up to one.
	Share float64 `json:"share"`
	// Deadline is how long the caller waits, counted from the intended time of sending.
	Deadline Duration `json:"deadline"`
	// Bytes is the expected size of a long response, whose content is then checked; zero
	// expects a target.AnswerMessage.
	Bytes int64 `json:"bytes,omitempty"`
}

// Phase is a part of the run in which the rate changes linearly from Rate to EndRate.
type Phase struct {
	Name     string   `json:"name"`
	Duration Duration `json:"duration"`
	// Rate and EndRate are in requests per second; a zero EndRate keeps the rate constant.
	Rate    float64 `json:"rate"`
	EndRate float64 `json:"end_rate,omitempty"`
}

// rateAt returns the rate at a time since the start of the phase.
func (p Phase) rateAt(elapsed time.Duration) float64 {
	if p.EndRate == 0 {
		return p.Rate
	}
	fraction := float64(elapsed) / float64(p.Duration)
	return p.Rate + (p.EndRate-p.Rate)*fraction
}

// prepare sets the defaults and validates the plan.
func (p *Plan) prepare() error {
	if p.PathPrefix == "" {
		p.PathPrefix = defaultPathPrefix
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if p.Keys.Count <= 0 {
		p.Keys.Count = defaultKeyCount
	}
	if len(p.Keys.Prefixes) == 0 {
		p.Keys.Prefixes = []string{"key-"}
	}
	return p.validate()
}

func (p *Plan) validate() error {
	if len(p.Entries) == 0 || len(p.Kinds) == 0 || len(p.Phases) == 0 {
		return errors.Wrap(ErrPlan, "entries, kinds and phases must not be empty")
	}
	if p.Keys.Zipf != 0 && p.Keys.Zipf <= 1 {
		return errors.Wrapf(ErrPlan, "zipf exponent %v must be above one", p.Keys.Zipf)
	}
	for _, k := range p.Kinds {
		if k.Name == "" || k.Service == "" || k.Method == "" || k.Share <= 0 || k.Deadline <= 0 {
			return errors.Wrapf(ErrPlan, "kind %q lacks a name, service, method, share or deadline", k.Name)
		}
	}
	for _, phase := range p.Phases {
		if phase.Duration <= 0 || phase.Rate <= 0 || phase.EndRate < 0 {
			return errors.Wrapf(ErrPlan, "phase %q must have a duration and rates above zero", phase.Name)
		}
	}
	return nil
}
