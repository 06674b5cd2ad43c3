// Package link is a TCP relay that simulates a network between processes of one machine: it adds
// one-way delay between failure domains and regions, limits the rate between regions, and cuts and
// heals connections. A cut is a simulated network partition between two places: no bytes cross it and
// no connection is closed. Processes reach one another through the relay's listeners; the places of a
// connection follow from the listener and from the client's IP address.
//
// Lock order: Relay.mu is the only lock and guards the cuts and the map of lanes; no function that
// blocks or takes a lock is called under it.
package link

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPlan reports an invalid plan.
var ErrPlan = errors.New("invalid link plan")

const (
	// DefaultDomainDelay is the one-way latency between failure domains of a region.
	DefaultDomainDelay = time.Millisecond
	// DefaultRegionDelay is the one-way latency between regions.
	DefaultRegionDelay = 8 * time.Millisecond
	// DefaultRegionMbits is the rate between regions in each direction, in Mbit/s.
	DefaultRegionMbits = 30
)

// Place is the region and failure domain of a process.
type Place struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// matches reports whether name is the place's region or failure domain.
func (p Place) matches(name string) bool {
	return name != "" && (p.Region == name || p.FailureDomain == name)
}

// Route is a listener of the relay and the address to which it forwards connections.
type Route struct {
	Listen string `json:"listen"`
	To     string `json:"to"`
	// ToPlace is the place of the process at To.
	ToPlace Place `json:"to_place"`
	// From is the place of all clients of the listener. If empty, the client's IP address is looked up
	// in Plan.Places.
	From Place `json:"from"`
}

// Plan describes the network. Its JSON form is the input of the command standin-link.
type Plan struct {
	// Places maps IP addresses to places.
	Places map[string]Place `json:"places"`
	Routes []Route          `json:"routes"`
	// DomainDelayMS and RegionDelayMS are one-way latencies in milliseconds.
	DomainDelayMS float64 `json:"domain_delay_ms"`
	RegionDelayMS float64 `json:"region_delay_ms"`
	// RegionMbits is the rate between two regions in each direction, in Mbit/s.
	RegionMbits float64 `json:"region_mbits"`
}

// validate returns ErrPlan if the plan is invalid.
func (p Plan) validate() error {
	if p.DomainDelayMS < 0 || p.RegionDelayMS < 0 || p.RegionMbits <= 0 {
		return errors.Wrap(ErrPlan, "delays must not be negative and region_mbits must be positive")
	}
	for text := range p.Places {
		if _, err := netip.ParseAddr(text); err != nil {
			return errors.Wrapf(ErrPlan, "places: %q is not an IP address: %v", text, err)
		}
	}
	for _, r := range p.Routes {
		if r.Listen == "" || r.To == "" || r.ToPlace.Region == "" {
			return errors.Wrapf(ErrPlan, "route %+v lacks listen, to or the region of to_place", r)
		}
	}
	return nil
}

// delay returns the one-way latency between two places.
func (p Plan) delay(from, to Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return time.Duration(p.RegionDelayMS * float64(time.Millisecond))
	case from.FailureDomain != to.FailureDomain:
		return time.Duration(p.DomainDelayMS * float64(time.Millisecond))
	default:
		return 0
	}
}
