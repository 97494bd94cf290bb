package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
)

// suspectPeriod is how long after a failure a server is used only if there is no other.
const suspectPeriod = 1500 * time.Millisecond

// meanServiceTime is the mean service time of a service's requests at all of its servers. It is the
// estimate for a server that has not answered a request yet.
type meanServiceTime struct {
	mu   sync.Mutex // guards mean; no other lock is acquired while it is held
	mean dispatch.MeanServiceTime
}

func (t *meanServiceTime) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean.Observe(took)
}

func (t *meanServiceTime) value() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean.Value()
}

// recordFailure updates the estimates after a failed attempt. The caller holds b.mu. If the request
// certainly did not queue at the server, the time until it timed out or was canceled is a lower
// bound of its service time.
func (b *backend) recordFailure(err error, took time.Duration, hadFreeSlot bool) {
	var e *exchangeError
	if !errors.As(err, &e) {
		return
	}
	unanswered := e.mayHaveRun && (e.reason == reasonTimeout || e.reason == reasonCanceled)
	if unanswered && hadFreeSlot && took > b.load.ServiceTime() {
		b.recordServiceTime(took)
	}
	if e.reason == reasonCanceled || errors.Is(err, errNoColdToken) {
		return
	}
	b.failedAt = clockNow()
	if b.byWork && e.mayHaveRun {
		b.observed.Failures++
		b.newsAt = b.failedAt
	}
	if e.connRefused {
		b.refusedAt = b.failedAt
	}
}

// recordResponse updates the estimates after a response. The caller holds b.mu. The response time
// of a request that probably queued at the server is no measure of its service time.
func (b *backend) recordResponse(resp *backendResponse, took time.Duration, queued bool) {
	switch {
	case resp.info.NotExecuted && !resp.info.NotOwner:
		b.backoff.Refused(clockNow())
		return
	case !resp.info.NotExecuted:
		b.backoff.Answered()
	}
	if b.byWork && !resp.info.NotExecuted {
		if resp.status >= http.StatusInternalServerError {
			b.observed.Failures++
			b.failures.Failed(clockNow())
			return // a failure says nothing of how long requests take
		}
		b.observed.Answers++
		b.failures.Answered()
	}
	switch {
	case resp.info.NotOwner && resp.info.ServerID != "" && resp.info.ServerID != b.id:
		b.observed.Misdirected++
		b.replaced = true
	case resp.info.NotExecuted, queued, resp.info.Load != nil && resp.info.Load.Waiting > 0:
	default:
		b.recordServiceTime(took)
	}
}

// recordServiceTime updates the estimates with a measured service time. The caller holds b.mu.
func (b *backend) recordServiceTime(took time.Duration) {
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	b.load.ObserveServiceTime(took)
	b.meanServiceTime.observe(took)
	b.observed.Count++
	b.observed.ServiceTimeMicros += took.Microseconds()
}

// expectedTime returns the expected response time of a request that is sent now, and whether any
// service time is known.
func (b *backend) expectedTime(now time.Duration, slots int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	return b.load.ExpectedWait(now, slots) + b.load.ServiceTime(), b.load.HasServiceTime()
}

// candidate returns the backend as a candidate for dispatch.Choose.
func (b *backend) candidate(now time.Duration, s keyrange.Server, connectionLimit int, distance dispatch.Distance) dispatch.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	load := b.load
	limit, _ := b.notices.RateLimit()
	return dispatch.Candidate{
		ID: s.ID, Load: &load, Slots: int(s.Slots), ConnectionLimit: connectionLimit, Distance: distance,
		Suspect:   b.failedAt != 0 && now-b.failedAt < suspectPeriod,
		PausedFor: b.notices.PausedFor(now), Limited: limit > 0, Tokens: b.tokens.Available(now),
	}
}

// expectedWait returns how long a request that is not sent for the given reason would wait for the
// server, with the given number of others ahead of it.
func (b *backend) expectedWait(now time.Duration, slots, ahead int, reason dispatch.Reason) time.Duration {
	cold := b.coldRate(now) > 0
	b.mu.Lock()
	defer b.mu.Unlock()
	switch reason {
	case dispatch.RateLimited:
		if cold {
			return b.coldTokens.Wait(now, ahead)
		}
		return b.tokens.Wait(now, ahead)
	case dispatch.Paused:
		return b.notices.PausedFor(now)
	}
	return dispatch.EstimatedQueueWait(now, &b.load, slots, ahead)
}
