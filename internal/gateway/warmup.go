package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/warmup"
)

// askAheadPeriod is how long after a request for its service a gateway asks for tokens ahead for a cold server.
const askAheadPeriod = time.Second

// errNoColdToken is the error of a request for which a connection opened when its server had become cold, or when
// its token for a cold server had expired.
var errNoColdToken = errors.New("the server is cold and there is no token for the request")

// warmupContext is what all backends need to limit the requests to cold servers.
type warmupContext struct {
	view     *view
	regions  int                // number of regions with failure domains
	requests prometheus.Counter // requests sent to cold servers
	wake     func()             // wakes the loop that talks to the leader; nil in tests
}

// coldRate returns the requests a second that the server takes from all gateways together if it is cold or may be,
// or else 0. b.mu must not be held.
func (b *backend) coldRate(now time.Duration) float64 {
	perSecond, listedCold := b.warmup.view.warmup(now, b.id, b.service)
	if perSecond == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !listedCold && !b.warmth.Cold(now) {
		return 0
	}
	if limit, _ := b.notices.RateLimit(); limit > 0 {
		perSecond = min(perSecond, limit)
	}
	return perSecond
}

// addWarmth completes a candidate for dispatch.Choose of a service that limits cold servers.
func (b *backend) addWarmth(now time.Duration, c *dispatch.Candidate) {
	rate := b.coldRate(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Distance != dispatch.OtherRegion {
		b.nearbyAt = now
	}
	if rate > 0 {
		c.Cold, c.Limited, c.Tokens = true, true, b.coldTokens.Available(now)
		c.WarmingUp = true
		if !b.warmth.Suspected() { // suspicion alone must not count its responses as those of a server that warms up
			b.countdown.Listed(now, coldListing)
		}
	}
}

// coldListing is how long a cold server counts as warming up without another choice that finds it cold.
const coldListing = time.Second

// noteListed records for how long the server is slower according to its entry in the table.
func (b *backend) noteListed(now time.Duration, s keyrange.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteListedLocked(now, s)
}

// noteListedLocked does the work of noteListed. The caller holds b.mu.
func (b *backend) noteListedLocked(now time.Duration, s keyrange.Server) {
	b.countdown.Listed(now, time.Duration(s.WarmupMillis)*time.Millisecond)
}

// recordWarmup records for how long the server is slower according to a response. The caller holds b.mu.
func (b *backend) recordWarmup(info ResponseInfo) {
	b.countdown.Respond(clockNow(), warmup.Response{
		SameProcess: info.ServerID == "" || info.ServerID == b.id, Known: info.Notice.WarmupKnown, Left: info.Notice.Warmup,
	})
}

// takeColdToken takes a token for a request to a cold server, or returns false if there is none.
func (t *target) takeColdToken(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sendBefore, ok := t.coldTokens.Take(now)
	if ok {
		t.coldToken = sendBefore
	}
	return ok
}

// claimCold is called when the connection for a request is open. It returns an error if the server is cold and the
// request has no valid token, and whether it has one.
func (t *target) claimCold(now time.Duration) (withToken bool, err error) {
	if t.coldRate(now) == 0 {
		return false, nil
	}
	if t.coldToken == 0 {
		t.takeColdToken(now) // the server has become cold since it was chosen
	}
	if now >= t.coldToken {
		return false, errNoColdToken
	}
	t.warmup.requests.Inc()
	return true, nil
}

// recordWarmth records what an attempt that started at a time shows of the server's warmth.
func (b *backend) recordWarmth(startedAt time.Duration, req *backendRequest, resp *backendResponse, err error) {
	var e *exchangeError
	switch {
	case err == nil:
		b.recordWarmthOf(startedAt, req, resp.info)
	case errors.Is(err, errNoColdToken), errors.Is(err, errDrained), errors.Is(err, context.Canceled), !errors.As(err, &e):
	case e.reason == reasonConnect && ranOut(err) && clockNow()-startedAt < req.dialTimeout: // the request's own time
	case e.reason == reasonConnect, e.reason == reasonBroken && endedByPeer(err):
		b.suspectRestart(e.connRefused)
	}
}

// ranOut reports whether the time for opening a connection has run out.
func ranOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// endedByPeer reports whether an exchange failed because the server's side ended the connection, as the end of its
// process does. A malformed response is no reason to assume that.
func endedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

func (b *backend) recordWarmthOf(startedAt time.Duration, req *backendRequest, info ResponseInfo) {
	now := clockNow()
	if perSecond, _ := b.warmup.view.warmup(now, b.id, b.service); perSecond == 0 {
		return
	}
	b.mu.Lock()
	becameCold := b.warmth.Respond(now, warmup.Response{
		SentAt: startedAt, SameProcess: info.ServerID == "" || info.ServerID == b.id, WithToken: req.withColdToken,
		Known: info.Notice.WarmupKnown, Left: info.Notice.Warmup,
	})
	b.mu.Unlock()
	if becameCold {
		b.logCold(warmup.CauseResponse)
	}
}

// suspectClosed records that the server has closed an idle connection, and no other is left.
func (b *backend) suspectClosed(idleFor time.Duration) {
	b.suspect(func(now time.Duration) bool { return b.warmth.SuspectClosed(now, idleFor) })
}

// suspectRestart records that the server may have started again. refused tells whether its host refused a connection.
func (b *backend) suspectRestart(refused bool) {
	b.suspect(func(now time.Duration) bool { return b.warmth.Suspect(now, refused) })
}

// suspect records evidence with b.mu held, if the service limits cold servers.
func (b *backend) suspect(record func(now time.Duration) (changed bool)) {
	now := clockNow()
	if perSecond, _ := b.warmup.view.warmup(now, b.id, b.service); perSecond == 0 {
		return
	}
	b.mu.Lock()
	changed := record(now)
	cause := b.warmth.Cause(now)
	b.mu.Unlock()
	if changed {
		b.logCold(cause)
	}
}

func (b *backend) logCold(cause warmup.Cause) {
	log.WithFields(log.Fields{"server": b.id, "service": b.service, "cause": cause}).Info("backend server may be cold")
	if b.warmup.wake != nil {
		b.warmup.wake()
	}
}

// coldDemand returns the demand for tokens if the server is cold, and whether there is any. The leader is also asked
// without a demand for tokens while it may not know yet what this gateway has seen. If ahead is set, a token may be
// asked for before a request waits for it, at random, so that the gateways together use the server's rate.
func (b *backend) coldDemand(now time.Duration, ahead bool) (ratelimit.Demand, bool) {
	rate := b.coldRate(now)
	if rate == 0 {
		return ratelimit.Demand{}, false
	}
	_, listedCold := b.warmup.view.warmup(now, b.id, b.service)
	chance := warmup.AskAhead(rate, b.warmup.view.mostGateways.Load(), tokenAskInterval) * float64(b.warmup.regions)
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := max(0, b.queue.Len()-b.coldTokens.Available(now))
	mayAskAhead := ahead && b.queue.Len() == 0 && !b.warmth.Suspected() && b.nearbyAt > 0 && now-b.nearbyAt < askAheadPeriod
	if mayAskAhead && b.coldTokens.Available(now) == 0 && rand.Float64() < chance {
		wanted = 1
	}
	if tell := b.warmth.TellLeader(now, listedCold); wanted == 0 && !tell {
		return ratelimit.Demand{}, false
	}
	return ratelimit.Demand{
		ServerID: b.id, PerSecond: rate, Wanted: int64(wanted), Urgent: int64(min(wanted, b.queue.UrgentLen())),
		Cold: true, SinceMillis: b.warmth.Since(now).Milliseconds(), Refused: b.warmth.Refused(),
		WarmupMillis: b.warmth.Left(now).Milliseconds(),
	}, true
}

func (b *backend) coldTokensGranted(now, askedAt time.Duration, wanted int64, g ratelimit.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.Warm {
		b.warmth.ConfirmWarm(askedAt)
	}
	b.coldTokens.Granted(now, askedAt, wanted, g)
}

// awaitCold narrows the candidates for a request that finds no server with capacity, although cold servers lack only
// a token: to one of those that are expected to have a token in time, or else to the servers that are not cold.
func (c *call) awaitCold(now time.Duration, r dispatch.Request, entry *queueEntry, servers []keyrange.Server, candidates []dispatch.Candidate) ([]keyrange.Server, []dispatch.Candidate, dispatch.Reason) {
	left := time.Until(c.waitDeadline())
	var inTime, warm []int
	for i := range candidates {
		if !candidates[i].Cold {
			warm = append(warm, i)
			continue
		}
		b := c.host.backends.get(servers[i])
		if dispatch.Admit(now, &candidates[i], r) != dispatch.RateLimited || b.expectedWait(now, candidates[i].Slots, candidates[i].Ahead, dispatch.RateLimited) > left {
			continue
		}
		inTime = append(inTime, i)
		if entry.target != nil && entry.target.backend == b {
			inTime = inTime[len(inTime)-1:]
			break // stays in this queue
		}
	}
	if len(inTime) > 0 {
		i := inTime[rand.IntN(len(inTime))]
		return servers[i : i+1], candidates[i : i+1], dispatch.RateLimited
	}
	if len(warm) == 0 || len(warm) == len(candidates) {
		return servers, candidates, dispatch.RateLimited
	}
	warmServers := make([]keyrange.Server, 0, len(warm))
	warmCandidates := make([]dispatch.Candidate, 0, len(warm))
	for _, i := range warm {
		warmServers, warmCandidates = append(warmServers, servers[i]), append(warmCandidates, candidates[i])
	}
	_, rejection := dispatch.Choose(now, warmCandidates, r)
	return warmServers, warmCandidates, rejection
}

// coldServer is a server that is cold, or may be, for the state dump.
type coldServer struct {
	ServerID string       `json:"server"`
	Service  string       `json:"service"`
	Cause    warmup.Cause `json:"cause"`
	Tokens   int          `json:"tokens"`
}

// coldServers returns the servers that are cold, or may be, ordered by ID.
func (b *backends) coldServers(now time.Duration) []coldServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []coldServer
	for id, server := range b.byID {
		if server.coldRate(now) == 0 {
			continue
		}
		server.mu.Lock()
		cold := coldServer{ServerID: id, Service: server.service, Cause: server.warmth.Cause(now), Tokens: server.coldTokens.Available(now)}
		server.mu.Unlock()
		if cold.Cause == "" {
			cold.Cause = warmup.CauseTable
		}
		list = append(list, cold)
	}
	slices.SortFunc(list, func(a, b coldServer) int { return strings.Compare(a.ServerID, b.ServerID) })
	return list
}
