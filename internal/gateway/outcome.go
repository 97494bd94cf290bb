package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// mayAttempt reports whether another attempt is allowed. Each attempt after the first counts
// against the retry budget, once.
func (c *call) mayAttempt() bool {
	if c.attempts == 0 {
		return true
	}
	if c.granted {
		c.granted = false
		return true
	}
	return c.attempts < int(c.route.MaxAttempts) && c.host.allowRetry(c.service)
}

// notFinal reports whether a response must not be passed on to the client: the server did not run
// the request, or the response claims success or that the request did not run, but lacks the seal.
func (c *call) notFinal(resp *backendResponse) bool {
	if resp.info.NotExecuted {
		return true
	}
	return !resp.info.Sealed && (resp.status < http.StatusBadRequest || claimsNotExecuted(resp.status))
}

// claimsNotExecuted reports whether a status tells the client that the request did not run.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleFailure decides whether to send the request again after a failed attempt, and returns the
// reason of the failure. If the request must not be sent again, it responds to the client.
func (c *call) handleFailure(resp *backendResponse, err error) (again bool, reason string) {
	mayHaveRun := false
	reason = reasonNotExecuted
	switch {
	case err != nil:
		var e *exchangeError
		errors.As(err, &e)
		mayHaveRun, reason = e.mayHaveRun, e.reason
		if reason == reasonConnect {
			c.attempts-- // no request was sent
			c.avoid = append(c.avoid, c.server)
		}
	case resp.info.NotExecuted:
		c.avoid = append(c.avoid, c.server)
		resp.finish(resp.rest == nil)
	default:
		resp.finish(false)
		mayHaveRun, reason = true, reasonUnsealed
	}
	if resp != nil && resp.info.NotOwner {
		c.deniedBy, c.deniedAt = c.server, clockNow()
		reason = reasonNotOwner
	}
	c.mayHaveRun = c.mayHaveRun || mayHaveRun
	if reason == reasonCanceled && !c.clientLeft() {
		reason = reasonStopping
	}
	switch {
	case reason == reasonStopping:
		c.refuse(reason)
		return false, reason
	case reason == reasonCanceled:
		c.drop()
	case c.mayHaveRun && !c.route.Kind.Repeatable():
		c.fail(reason)
		return false, reason
	case mayHaveRun && c.suspicion().Crashes >= noRetryCrashes:
		c.fail(reason)
		return false, reason
	case reason == reasonTimeout || time.Until(c.deadline) <= 0:
		c.refuse(reason)
		return false, reason
	case c.stream != nil:
		c.refuse(reason) // the streamed part of the body can't be sent again
		return false, reason
	}
	return true, reason
}
