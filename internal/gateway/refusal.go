package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/dispatch"
)

// refuse tells the client that the request did not run, and when to retry it. If an attempt may
// have run, it fails the request instead.
func (c *call) refuse(reason string) {
	if c.mayHaveRun {
		c.fail(reason)
		return
	}
	if !c.awaitTurn(nil) {
		return
	}
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter(reason).Seconds(), 'f', 3, 64))
	c.respondWithStatus(http.StatusServiceUnavailable, reason)
}

// retryAfter returns the Retry-After of a refused request: retryAfterFraction of its remaining
// time, unless the request is likely to be served sooner.
func (c *call) retryAfter(reason string) time.Duration {
	latest := time.Duration(retryAfterFraction * float64(max(time.Until(c.deadline), 0)))
	if c.host.stopping.Load() {
		return min(otherGatewayRetryAfter, latest)
	}
	switch reason {
	case reasonQuarantined:
		return c.quarantinedFor
	case reasonNoCapacity:
		return admitshare.RetryAfter(time.Until(c.deadline), c.slack(), rand.Float64())
	case reasonNotExecuted:
		return min(shortRetryAfter, latest)
	case reasonStaleConfig, reasonStopping, reasonSuspected, reasonMemory, reasonBusy:
		return min(otherGatewayRetryAfter, latest)
	case reasonLinkFull:
		return min(c.linkWait, latest)
	case string(dispatch.Paused):
		return min(c.pausedFor, latest)
	}
	return latest
}

// slack returns the time until the request's latency target without its expected work.
func (c *call) slack() time.Duration {
	target := time.Duration(c.route.TargetMillis) * time.Millisecond
	return time.Until(c.started.Add(target)) - c.expectedCost().work.Expected
}

// fail ends a request whose outcome is unknown.
func (c *call) fail(reason string) {
	status := http.StatusBadGateway
	if reason == reasonTimeout || time.Until(c.deadline) <= 0 {
		status = http.StatusGatewayTimeout
	}
	c.respondWithStatus(status, reason)
}

// respondWithStatus ends a request with a response of the gateway itself.
func (c *call) respondWithStatus(status int, reason string) {
	if !c.awaitTurn(nil) {
		return
	}
	c.log("refused", reason, status, true)
	c.startResponse()
	c.closeIfUnread()
	c.closeIfStopping()
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
}

// closeIfStopping tells the client to send its next request on another connection, if the gateway is
// stopping. While further requests of the connection run ahead, it stays open for their responses.
func (c *call) closeIfStopping() {
	if c.host.stopping.Load() && c.conn.mayClose() {
		c.writer.Header().Set("Connection", "close")
	}
}
