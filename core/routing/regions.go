package routing

import "slices"

// Regions is an immutable set of regions in which something is allowed. The zero value allows all of them.
type Regions struct {
	// restricted distinguishes a set that allows nothing from one that allows everything.
	restricted bool
	names      []string
}

// RegionsOf returns the set of the named regions, which must not be changed afterwards; no name allows all regions, as
// a route without homes does.
func RegionsOf(names []string) Regions {
	return Regions{restricted: len(names) > 0, names: names}
}

// Restricted reports whether any region is excluded.
func (r Regions) Restricted() bool { return r.restricted }

// Allows reports whether the set contains the region. A restricted set does not contain the region without a name, which
// stands for one that is not known.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// Intersect returns the set of the regions that both sets contain. It may allow none.
func (r Regions) Intersect(other Regions) Regions {
	if !r.restricted {
		return other
	}
	if !other.restricted {
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// OwnerRegions returns the regions whose targets may own keys of a service: those that are homes of all its routes. All
// regions are allowed if a route of the service has no homes, if the routes have no home in common, and if the service
// has no route.
func (c *Config) OwnerRegions(service string) Regions { return c.ownerRegions[service] }

// indexOwnerRegions computes what OwnerRegions returns. It counts routes that send a service no requests now, since
// their weights may change at any time and a change of owners makes keys unavailable for a moment.
func (c *Config) indexOwnerRegions() {
	c.ownerRegions = make(map[string]Regions)
	free := make(map[string]bool)
	for _, route := range c.Routes {
		homes := RegionsOf(route.Homes)
		for _, s := range route.Services {
			free[s.Service] = free[s.Service] || !homes.Restricted()
			c.ownerRegions[s.Service] = c.ownerRegions[s.Service].Intersect(homes)
		}
	}
	for service, regions := range c.ownerRegions {
		if free[service] || len(regions.names) == 0 {
			delete(c.ownerRegions, service)
		}
	}
}
