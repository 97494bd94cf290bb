package keyrange

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/galenalug/galenalug/warmup"
)

const (
	// silentIntervals is the number of heartbeat intervals after which a server's heartbeats count as stopped.
	// One or two may be lost.
	silentIntervals = 3
	// gapIntervals is the number of heartbeat intervals without heartbeats of any server after which the leader
	// itself counts as having been cut off.
	gapIntervals = 2
	// maxColdChanges is the number of changes that are kept for ColdChanges.
	maxColdChanges = 1024
)

// Warmup is how the servers of a service start.
type Warmup struct {
	Time      time.Duration // for which a server is cold after its start
	PerSecond float64       // requests that a cold server takes from all entry hosts together; above 0
}

// ColdChange says that a server has become cold or warm.
type ColdChange struct {
	ServerID, Service string
	Cold              bool
	Cause             warmup.Cause // why it is or was cold
}

// ColdServer is a server that is cold, or may be.
type ColdServer struct {
	ServerID string       `json:"server"`
	Service  string       `json:"service"`
	Cause    warmup.Cause `json:"cause"`
}

// hearing is when the leader heard of servers.
type hearing struct {
	firstAt    time.Duration // first heartbeat of the term; 0 before it
	lastAt     time.Duration // newest heartbeat
	resumedAt  time.Duration // end of the latest time without heartbeats of any server
	gapMinimum time.Duration // length of such a time
}

func (h *hearing) heartbeat(now time.Duration) {
	if h.firstAt == 0 {
		h.firstAt, h.resumedAt = max(now, 1), now
	} else if now-h.lastAt > h.gapMinimum {
		h.resumedAt = now
	}
	h.lastAt = now
}

// undisturbedFor returns for how long the leader has heard of servers without a gap.
func (h *hearing) undisturbedFor(now time.Duration) time.Duration {
	if h.firstAt == 0 || now-h.lastAt > h.gapMinimum {
		return 0
	}
	return now - h.resumedAt
}

// SetWarmups sets how servers start, by service. Servers of other services have no limit while they are cold.
func (c *Coordinator) SetWarmups(byService map[string]Warmup) {
	c.warmups = byService
	for _, s := range c.servers {
		if _, limited := byService[s.info.Service]; !limited {
			s.warmth, s.cold = warmup.State{}, false
		}
		c.serverChanged(s)
	}
}

// heardOf updates a server's warmth from an accepted heartbeat. joined tells whether its process is new to this
// leader, restarted whether it follows another one under the same ID.
func (c *Coordinator) heardOf(now time.Duration, s *server, joined, restarted bool) {
	c.hearing.heartbeat(now)
	limit, limited := c.warmups[s.info.Service]
	if !limited {
		return
	}
	switch {
	case restarted:
		s.warmth.Mark(now, now, limit.Time, warmup.CauseRestarted)
	case joined && c.silence() > 0 && c.hearing.undisturbedFor(now) > c.silence():
		s.warmth.Mark(now, now, limit.Time, warmup.CauseJoined)
	}
	if at, ended := c.options.EvacuationEnds[s.info.Domain]; ended && joined {
		s.warmth.Mark(now, at, limit.Time, warmup.CauseEvacuation)
	}
	s.warmth.Heartbeat(now, time.Duration(s.info.WarmupMillis)*time.Millisecond, limit.Time)
	c.updateCold(now, s)
}

// silence returns the time without heartbeats after which a server may have started again.
func (c *Coordinator) silence() time.Duration { return silentIntervals * c.options.HeartbeatInterval }

// updateWarmth looks for servers whose heartbeats have stopped, and for those that are warm by now.
func (c *Coordinator) updateWarmth(now time.Duration) {
	if len(c.warmups) == 0 {
		return
	}
	silence := c.silence()
	disturbed := silence == 0 || c.hearing.undisturbedFor(now) <= silence
	for _, s := range c.servers {
		if _, limited := c.warmups[s.info.Service]; !limited {
			continue
		}
		if !disturbed && now-s.lastSeen > silence {
			s.warmth.MarkSilent(now)
		}
		c.updateCold(now, s)
	}
}

// updateCold records whether a server is cold now.
func (c *Coordinator) updateCold(now time.Duration, s *server) {
	cold := s.warmth.Cold(now)
	if cold == s.cold {
		return
	}
	s.cold = cold
	c.serverChanged(s)
	if len(c.coldChanges) < maxColdChanges {
		c.coldChanges = append(c.coldChanges, ColdChange{ServerID: s.info.ID, Service: s.info.Service, Cold: cold, Cause: s.warmth.Cause()})
	}
}

// MarkCold records that all servers of a failure domain may have become cold, as they do at the end of its
// evacuation. It must be called, and the table published, before entry hosts may use them again.
func (c *Coordinator) MarkCold(now time.Duration, domain string) {
	for _, s := range c.servers {
		if s.info.Domain == domain {
			c.markCold(now, s, now, math.MaxInt64, warmup.CauseEvacuation)
		}
	}
}

// ReportCold records what an entry host has seen: a server may have become cold at a time up to now, for at most
// the given time from then on.
func (c *Coordinator) ReportCold(now time.Duration, serverID string, at, atMost time.Duration, cause warmup.Cause) {
	if s := c.servers[serverID]; s != nil {
		c.markCold(now, s, at, atMost, cause)
	}
}

func (c *Coordinator) markCold(now time.Duration, s *server, at, atMost time.Duration, cause warmup.Cause) {
	limit, limited := c.warmups[s.info.Service]
	if !limited {
		return
	}
	s.warmth.Mark(now, at, min(limit.Time, atMost), cause)
	c.updateCold(now, s)
}

// WarmSince reports whether a heartbeat that a server sent after a point in time has proved that it is warm, or
// that its service has no limit for cold servers.
func (c *Coordinator) WarmSince(now time.Duration, serverID string, at time.Duration) bool {
	s := c.servers[serverID]
	if s == nil {
		return false
	}
	_, limited := c.warmups[s.info.Service]
	return !limited || s.warmth.WarmSince(now, at)
}

// WarmupRate returns the requests a second that a cold server takes, or 0 if the server is not known.
func (c *Coordinator) WarmupRate(serverID string) float64 {
	if s := c.servers[serverID]; s != nil {
		return c.warmups[s.info.Service].PerSecond
	}
	return 0
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (c *Coordinator) ColdChanges() []ColdChange {
	changes := c.coldChanges
	c.coldChanges = nil
	return changes
}

// ColdServers returns the servers that are cold, or may be, ordered by ID.
func (c *Coordinator) ColdServers() []ColdServer {
	var list []ColdServer
	for id, s := range c.servers {
		if s.cold {
			list = append(list, ColdServer{ServerID: id, Service: s.info.Service, Cause: s.warmth.Cause()})
		}
	}
	slices.SortFunc(list, func(a, b ColdServer) int { return strings.Compare(a.ServerID, b.ServerID) })
	return list
}

// limitsCold reports whether a service limits the requests to its cold servers.
func (c *Coordinator) limitsCold(service string) bool {
	_, limited := c.warmups[service]
	return limited
}

// warmupMillis returns the server's remaining warm-up time for the table. Where the service limits requests to cold
// servers, the exact time is not published, since it would need frequent updates. Other servers only count as slower
// where entry hosts choose among servers, which they don't for keys, and entry hosts count the time down; see sameEntry.
func (c *Coordinator) warmupMillis(now time.Duration, s *server) int64 {
	switch svc := c.services[s.info.Service]; {
	case !c.limitsCold(s.info.Service):
		if svc != nil && svc.active {
			return 0
		}
		return max(0, s.info.WarmupMillis-(now-s.lastSeen).Milliseconds())
	case !s.cold:
		return 0
	case s.warmth.Silent():
		return SilentWarmupMillis
	}
	return publishedWarmupMillis
}

// sameEntry reports whether entry hosts that have a server's published entry need no other. The time that is left of a
// warm-up is no reason for one: many servers often join at the same time, and each entry goes to all entry hosts.
func (c *Coordinator) sameEntry(published, next Server) bool {
	if !c.limitsCold(next.Service) && published.WarmupMillis != SilentWarmupMillis {
		published.WarmupMillis = next.WarmupMillis
	}
	return published == next
}
