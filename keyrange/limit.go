package keyrange

import "time"

// rateLimitLifetime is how long a server's rate limit counts without confirmation. Entry hosts confirm
// it as long as they send the server requests.
const rateLimitLifetime = 10 * time.Second

// Slots returns the number of requests that a server runs concurrently, or 0 if the incarnation is not known.
func (c *Coordinator) Slots(serverID string, startMillis int64) int64 {
	if s := c.servers[serverID]; s != nil && s.info.StartMillis == startMillis {
		return s.info.Slots
	}
	return 0
}

// SetRateLimit records the requests a second that a server takes from all entry hosts together, so
// that keys move to servers with room.
func (c *Coordinator) SetRateLimit(now time.Duration, serverID string, perSecond float64) {
	if s := c.servers[serverID]; s != nil {
		s.rateLimit, s.rateLimitAt = perSecond, now
		c.serverChanged(s)
	}
}

// expireRateLimits forgets limits that were not confirmed.
func (c *Coordinator) expireRateLimits(now time.Duration) {
	for _, s := range c.servers {
		if s.rateLimit > 0 && now-s.rateLimitAt >= rateLimitLifetime {
			s.rateLimit = 0
			c.serverChanged(s)
		}
	}
}
