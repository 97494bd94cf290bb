package gateway

import (
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/routes"
)

// admits reports whether the route allows servers of a failure domain. A domain without a known region is allowed only
// if all regions are.
func (c *call) admits(domain string) bool {
	return c.route.AllowsRegion(c.host.settings.Domains[domain])
}

// excludedByRegion reports whether the service has servers, but none in the regions that the route allows. Waiting
// would not help then. While the table of a new leader is partial, such servers may not be known yet.
func (c *call) excludedByRegion(at time.Duration, service *routes.Service) bool {
	return len(c.route.AllowedRegions) > 0 && c.host.view.lacksServers(at, service, c.admits)
}

// regionsFull reports whether the request is refused at once because the regions that its route allows have no free
// capacity: there are no other servers for it to go to, and the client learns sooner when to come back. A request that
// may already have run waits, since it can't be refused any more. So does one that the leader's plan admits: it knows
// better than one gateway whether there is capacity.
func (c *call) regionsFull(reason string) bool {
	if len(c.route.AllowedRegions) == 0 || c.mayHaveRun || c.host.admission != nil {
		return false
	}
	return reason == string(dispatch.QueueFull) || reason == string(dispatch.NoConnection)
}

// lacksServers reports whether the complete table has servers of a service, but none in the failure domains that admits
// accepts and that are not evacuated at the given time.
func (v *view) lacksServers(at time.Duration, service *routes.Service, admits func(domain string) bool) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.partial {
		return false
	}
	excluded := false
	for _, s := range v.servers {
		if s.Service != service.Name {
			continue
		}
		if admits(s.Domain) && !v.evacuations.Blocked(at, s.Domain, service.Keyed) {
			return false
		}
		excluded = true
	}
	return excluded
}
