// Package routing holds the routes of a configuration and selects the route of a request by
// host and longest path prefix, and the service by weight.
//
// A Config is immutable once Index was called, and then safe for concurrent use.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once; it is the zero value, the safe one.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download is idempotent work with a large answer.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	default:
		return "non-idempotent"
	}
}

// Config is one version of the routes and services.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// byHost holds the routes of a host, longest prefix first.
	byHost map[string][]*Route
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Objective is the time within which an answer is worth its full value.
	Objective time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Attempts is the number of targets to which one request may be sent.
	Attempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Parts    []Part
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service string
	Weight  float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts from all its callers.
	MaxConns int
	// Keyed services are divided by key among their targets.
	Keyed bool
	// WarmUp is how long keys are slow at a target that got them without their handover token.
	WarmUp time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares the lookup and returns the configuration.
func (c *Config) Index() *Config {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Lookup returns the route of a request, or nil.
func (c *Config) Lookup(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a draw in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	point := draw * total
	for _, p := range r.Parts {
		point -= p.Weight
		if point < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
