package gateway

import (
	"github.com/apex/log"

	"github.com/galenalug/galenalug/dispatch"
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
