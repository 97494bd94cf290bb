package gateway

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests that reach no server over a full link: each connection was given up while its packets
// waited in the queue, and the next one waited as long.
func TestConnectionsAreOpenedOverAFullLink(t *testing.T) {
	const queueing = 600 * time.Millisecond
	for _, path := range []string{"/look/1", "/order/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			server := newFakeBackend(t, okResponse("yes"))
			f := newFixture(t)
			f.host.backends.dial = slowDial(queueing)
			f.host.linkDelay.add(clockNow() - time.Millisecond)
			f.host.linkDelay.add(clockNow() - time.Millisecond - queueing)
			f.publish(server)
			if response, _ := f.do(http.MethodPost, path, nil); response.StatusCode != http.StatusOK {
				t.Errorf("status %d, want 200", response.StatusCode)
			}
		})
	}
}

// Guards against requests that wait long for a server that is gone.
func TestConnectionsAreGivenUpOnAFreeLink(t *testing.T) {
	f := newFixture(t)
	f.host.backends.dial = slowDial(time.Hour)
	f.host.linkDelay.add(clockNow() - time.Millisecond)
	f.publish(newFakeBackend(t, okResponse("yes")))
	started := time.Now()
	if got := f.host.linkDelay.dialTimeout(); got < dialTimeout || got > dialTimeout+50*time.Millisecond {
		t.Errorf("free link: %v, want %v", got, dialTimeout)
	}
	f.host.linkDelay.add(clockNow() - time.Minute)
	if got := f.host.linkDelay.dialTimeout(); got != dialTimeout+maxDialQueueing {
		t.Errorf("after a report that took a minute: %v, want %v", got, dialTimeout+maxDialQueueing)
	}
	if response, _ := f.do(http.MethodPost, "/order/1", nil); response.StatusCode != http.StatusGatewayTimeout || time.Since(started) > time.Second+answerSlack {
		t.Errorf("status %d after %s, want 504 at the timeout of 1 s", response.StatusCode, time.Since(started))
	}
}
