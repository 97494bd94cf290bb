package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
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
	if response, _ := f.do(http.MethodPost, "/order/1", nil); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || time.Since(started) > time.Second+answerSlack {
		t.Errorf("status %d after %s, want 503 with a time to retry at the timeout of 1 s: the request did not run", response.StatusCode, time.Since(started))
	}
}

// publishDraining applies a table in which the owner of all keys drains, and may get requests for the given time.
func (f *fixture) publishDraining(server *fakeBackend, usable time.Duration) {
	f.publish(server)
	announced := clockNow() + usable + sendMargin - f.host.view.drainTime
	f.host.view.confirmTable(announced)
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 1, EntryHosts: 1, Servers: []keyrange.Server{
		{ID: "s1", Service: "stock", Address: server.listener.Addr().String(), Domain: "d1", Slots: 6, Draining: true},
	}})
}

// Guards against requests that reach a server after its drain time, since opening the connection or the queue on the
// host's own link took longer than the server was still in use.
func TestNoRequestReachesServerAfterItsDrainTime(t *testing.T) {
	const usable = 300 * time.Millisecond
	for name, c := range map[string]struct {
		dial, queueing time.Duration
		requests       int
	}{
		"free link":       {0, 0, 1},
		"slow connection": {usable + 100*time.Millisecond, 0, 0},
		"full link":       {0, usable + 100*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeBackend(t, okResponse("yes"))
			f := newFixture(t)
			f.host.backends.dial = slowDial(c.dial)
			f.host.linkDelay.add(clockNow() - time.Millisecond)
			f.host.linkDelay.add(clockNow() - time.Millisecond - c.queueing)
			f.publishDraining(server, usable)
			response, _ := f.do(http.MethodPost, "/order/1", nil)
			if server.count() != c.requests {
				t.Errorf("status %d, %d requests reached the server, want %d", response.StatusCode, server.count(), c.requests)
			}
		})
	}
}
