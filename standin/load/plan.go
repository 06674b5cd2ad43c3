// Package load is an open-loop load generator that speaks the callers' interface. Requests
// are sent at the times that the plan says, however late the answers are, and latencies
// count from these times.
//
// Lock order: recorder.mu is the only lock and is held for one record.
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
	defaultKeys        = 10_000
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

// Plan is what to send; its JSON form is the input of the command.
type Plan struct {
	// Entries are base URLs of nodes; each request goes to one of them by chance.
	Entries []string `json:"entries"`
	// PathPrefix comes before SERVICE/KEY; "/v1/" by default, "/work/" calls targets directly.
	PathPrefix string `json:"path_prefix,omitempty"`
	// LearnOwners sends a request to the owner that an earlier answer for its key named.
	LearnOwners bool `json:"learn_owners,omitempty"`
	// Seed makes the arrivals, kinds and keys repeatable.
	Seed   uint64  `json:"seed"`
	Keys   KeyPlan `json:"keys"`
	Kinds  []Kind  `json:"kinds"`
	Phases []Phase `json:"phases"`
	// CallerDelay is the one-way latency between callers and nodes.
	CallerDelay Duration `json:"caller_delay,omitempty"`
	// MaxInFlight bounds the requests under way; more are counted as dropped. 20,000 by default.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// KeyPlan says which keys are asked for.
type KeyPlan struct {
	// Count is the number of keys; 10,000 by default.
	Count int `json:"count,omitempty"`
	// Zipf is the exponent of the keys' popularity, above one; zero asks for all alike.
	Zipf float64 `json:"zipf,omitempty"`
	// Prefixes are put before the numbers of keys in turn, so that keys fall into ranges.
	Prefixes []string `json:"prefixes,omitempty"`
	// HotEvery is how often other keys become the popular ones; zero means never.
	HotEvery Duration `json:"hot_every,omitempty"`
}

// Kind is one kind of work.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Method  string `json:"method"`
	// Rest is the path after the key, and Query the query, without "?".
	Rest  string `json:"rest,omitempty"`
	Query string `json:"query,omitempty"`
	// Share is the kind's share of the requests; shares need not add up to one.
	Share float64 `json:"share"`
	// Deadline is the time that the caller waits from the intended time of sending.
	Deadline Duration `json:"deadline"`
	// Bytes is the size of a long answer, whose content is then checked.
	Bytes int64 `json:"bytes,omitempty"`
}

// Phase is a part of the run in which the rate goes evenly from one value to another.
type Phase struct {
	Name     string   `json:"name"`
	Duration Duration `json:"duration"`
	// Rate and EndRate are requests per second; a zero EndRate means that of Rate.
	Rate    float64 `json:"rate"`
	EndRate float64 `json:"end_rate,omitempty"`
}

func (p Phase) rateAt(since time.Duration) float64 {
	if p.EndRate == 0 {
		return p.Rate
	}
	part := float64(since) / float64(p.Duration)
	return p.Rate + (p.EndRate-p.Rate)*part
}

func (p *Plan) provision() error {
	if p.PathPrefix == "" {
		p.PathPrefix = defaultPathPrefix
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if p.Keys.Count <= 0 {
		p.Keys.Count = defaultKeys
	}
	if len(p.Keys.Prefixes) == 0 {
		p.Keys.Prefixes = []string{"key-"}
	}
	return p.check()
}

func (p *Plan) check() error {
	if len(p.Entries) == 0 || len(p.Kinds) == 0 || len(p.Phases) == 0 {
		return errors.Wrap(ErrPlan, "entries, kinds and phases must not be empty")
	}
	if p.Keys.Zipf != 0 && p.Keys.Zipf <= 1 {
		return errors.Wrapf(ErrPlan, "zipf %v is not above one", p.Keys.Zipf)
	}
	for _, k := range p.Kinds {
		if k.Name == "" || k.Service == "" || k.Method == "" || k.Share <= 0 || k.Deadline <= 0 {
			return errors.Wrapf(ErrPlan, "kind %q lacks a name, service, method, share or deadline", k.Name)
		}
	}
	for _, phase := range p.Phases {
		if phase.Duration <= 0 || phase.Rate <= 0 || phase.EndRate < 0 {
			return errors.Wrapf(ErrPlan, "phase %q needs a duration and rates above zero", phase.Name)
		}
	}
	return nil
}
