// Package link is a TCP relay that puts processes of one machine apart: it adds one-way
// delay between failure domains and regions, caps the rate between regions, and cuts and
// heals the ways between places. Processes reach one another through the relay's listeners;
// a connection's places follow from the listener and from the IP number it comes from.
//
// Lock order: Relay.mu is the only lock and guards the cuts; nothing is called under it.
package link

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPlan reports a plan that cannot be run.
var ErrPlan = errors.New("invalid link plan")

const (
	// DefaultDomainDelay is the one-way latency between failure domains of a region.
	DefaultDomainDelay = time.Millisecond
	// DefaultRegionDelay is the one-way latency between regions.
	DefaultRegionDelay = 8 * time.Millisecond
	// DefaultRegionMbits is the rate between regions each way, in Mbit/s.
	DefaultRegionMbits = 30
)

// Place is where a process stands.
type Place struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// within reports whether the place is in the region or failure domain named.
func (p Place) within(name string) bool {
	return name != "" && (p.Region == name || p.FailureDomain == name)
}

// Route is one listener of the relay and where it leads.
type Route struct {
	Listen string `json:"listen"`
	To     string `json:"to"`
	// ToPlace is where the process behind To stands.
	ToPlace Place `json:"to_place"`
	// From is where all who use the listener stand; empty looks the caller's IP number up.
	From Place `json:"from"`
}

// Plan is the whole network; its JSON form is the input of the command.
type Plan struct {
	// Places gives the place of each IP number.
	Places map[string]Place `json:"places"`
	Routes []Route          `json:"routes"`
	// DomainDelayMS and RegionDelayMS are one-way latencies in milliseconds.
	DomainDelayMS float64 `json:"domain_delay_ms"`
	RegionDelayMS float64 `json:"region_delay_ms"`
	// RegionMbits is the rate between two regions each way, in Mbit/s.
	RegionMbits float64 `json:"region_mbits"`
}

func (p Plan) check() error {
	if p.DomainDelayMS < 0 || p.RegionDelayMS < 0 || p.RegionMbits <= 0 {
		return errors.Wrap(ErrPlan, "delays must not be below zero and the rate must be above")
	}
	for text := range p.Places {
		if _, err := netip.ParseAddr(text); err != nil {
			return errors.Wrapf(ErrPlan, "place of %q: %v", text, err)
		}
	}
	for _, r := range p.Routes {
		if r.Listen == "" || r.To == "" || r.ToPlace.Region == "" {
			return errors.Wrapf(ErrPlan, "route %+v lacks an address or a region", r)
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
