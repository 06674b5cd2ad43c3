// Package routing selects the route of a request by host and longest path prefix, and the
// service of a route by weight.
//
// A Config must not be changed after Index was called, and is then safe for concurrent use.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind tells whether the requests of a route may be retried.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value because it is the safe default.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have a large response.
	Download
	// Upload requests have a large body and, like NonIdempotent ones, run at most once.
	Upload
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	case Upload:
		return "upload"
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

	// byHost maps a host to its routes, longest prefix first.
	byHost map[string][]*Route
	// ownerRegions holds what OwnerRegions returns, by service, if it is restricted.
	ownerRegions map[string]Regions
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Objective is the latency objective: the time within which an answer has its full value.
	Objective time.Duration
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// Attempts is the largest number of targets to which one request may be sent.
	Attempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// Homes are the regions outside of which the requests may not be served, held or repeated; empty if they may be
	// served anywhere.
	Homes []string
}

// WeightedService is the weighted share of a route's requests that goes to one service.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is the configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts from all callers together.
	MaxConns int
	// Keyed is set for services whose keys are divided among their targets.
	Keyed bool
	// WarmUp is how long requests for a key are slow at a target that received the key without its
	// handover token.
	WarmUp time.Duration
	// ColdTime is how long a target stays cold after its start, and ColdRate the number of requests per second that a
	// cold target tolerates; zero if cold targets need no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index builds the lookup indexes and returns the configuration.
func (c *Config) Index() *Config {
	c.indexOwnerRegions()
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

// Lookup returns the route with the longest matching path prefix for the host, whose port and
// letter case are ignored; nil if none matches.
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

// Pick returns the service that a random number draw in [0, 1) selects by weight.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := draw * total
	for _, s := range r.Services {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
