package routes

import "slices"

// AllowsRegion reports whether servers in a region may get requests of the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// RegionsOfService returns the regions that all routes to a service allow, also routes that at present send it no
// share of their requests. restricted is false if all regions are allowed.
func (c Config) RegionsOfService(service string) (regions []string, restricted bool) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.AllowedRegions) == 0 || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			continue
		}
		if !restricted {
			regions, restricted = slices.Clone(r.AllowedRegions), true
			continue
		}
		regions = slices.DeleteFunc(regions, func(region string) bool { return !r.AllowsRegion(region) })
	}
	return regions, restricted
}
