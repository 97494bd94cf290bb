package keyrange

import (
	"slices"
	"time"
)

// A server is barred from keys while its failure domain may have none of its service: it receives no keys, and those
// that it holds are revoked.

// barred says whether a server is barred.
type barred struct {
	set bool
}

// updateBarred brings the servers up to date with the services.
func (c *Coordinator) updateBarred(now time.Duration) {
	for _, s := range c.servers {
		c.updateBarredServer(now, s)
	}
}

// updateBarredServer does the work of updateBarred for one server.
func (c *Coordinator) updateBarredServer(_ time.Duration, s *server) {
	b := barred{set: !c.regionAllowed(s)}
	if b.set != s.barred.set {
		c.serverChanged(s)
	}
	s.barred = b
}

// regionAllowed reports whether the service allows keys in the region of a server. A failure domain without a known
// region is allowed only if all regions are.
func (c *Coordinator) regionAllowed(s *server) bool {
	svc := c.services[s.info.Service]
	return svc == nil || !svc.restricted || slices.Contains(svc.regions, c.options.Regions[s.info.Domain])
}
