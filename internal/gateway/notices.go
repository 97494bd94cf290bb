package gateway

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
)

// recordNotice records what the server said of itself with a response. The caller holds b.mu.
func (b *backend) recordNotice(notice dispatch.Notice) {
	now := clockNow()
	if !b.notices.Observe(now, notice) {
		return
	}
	limit, _ := b.notices.RateLimit()
	b.noticeCounter.Inc()
	log.WithFields(log.Fields{
		"server": b.id, "rate_limit": limit,
		"leaving": b.notices.LeavingFor(now) > 0 || notice.Leaving, "paused_ms": b.notices.PausedFor(now).Milliseconds(),
	}).Info("notice of a backend server")
}

// leavingFor returns the time since the server first said that it is about to stop, or 0.
func (b *backend) leavingFor(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.LeavingFor(now)
}

// noticesOutdated reports whether nothing that the server has said of itself counts any more.
func (b *backend) noticesOutdated(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.Outdated(now)
}

// hasLeft reports whether a server that said that it is about to stop gets no more requests. This
// gateway knows it from the server itself, so it does not depend on the leader.
func (h *Host) hasLeft(now time.Duration, b *backend) bool {
	leaving := b.leavingFor(now)
	return leaving > 0 && leaving >= h.view.drainTime-sendMargin
}

// arrivalTime returns the time at which a request that is sent now has passed the queue on this host's own link.
func (h *Host) arrivalTime(now time.Duration) time.Duration { return now + h.linkDelay.queueingAt(now) }

// tooLateFor reports whether a request that is sent now may reach a server after the end of its drain time.
func (h *Host) tooLateFor(b *backend) bool {
	arrival := h.arrivalTime(clockNow())
	return h.hasLeft(arrival, b) || h.view.hasDrained(arrival, b.id)
}

// staying returns the servers that have not said that they are about to stop, or all if there are none.
func (h *Host) staying(now time.Duration, servers []keyrange.Server) []keyrange.Server {
	leaves := func(s keyrange.Server) bool { return h.backends.get(s).leavingFor(now) > 0 }
	if !slices.ContainsFunc(servers, func(s keyrange.Server) bool { return !leaves(s) }) {
		return servers
	}
	return slices.DeleteFunc(servers, leaves)
}
