package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/serverload"
)

func byWork(s *settings.GatewaySettings) { s.Balance = settings.GatewaySettingsBalanceWork }

// publishPhotos publishes servers of the service that is not partitioned by key.
func (f *fixture) publishPhotos(servers ...*fakeBackend) {
	f.publish(nil)
	update := keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1}
	for i, s := range servers {
		update.Servers = append(update.Servers, keyrange.Server{ID: string(rune('a' + i)), Service: "photos", Address: s.listener.Addr().String(), Domain: "d1", Slots: 6})
	}
	f.host.view.apply(clockNow(), update)
}

// Guards against a request that returns to a server that refused it, and against further requests to that server,
// while another server is there.
func TestRefusingServerIsAvoided(t *testing.T) {
	refusing, serving := newFakeBackend(t, notExecuted), newFakeBackend(t, okResponse("yes"))
	f := newFixtureWith(t, byWork, nil)
	f.publishPhotos(refusing, serving)
	for range 12 {
		if response, _ := f.do("POST", "/photo/1", nil); response.StatusCode != 200 {
			t.Fatalf("status %d, want 200 from the other server", response.StatusCode)
		}
	}
	if refused := refusing.count(); refused > 3 {
		t.Errorf("%d of 12 requests went to the server that refuses, want at most 3 within a few milliseconds", refused)
	}
}

// Guards against requests that wait in overload and use up a gateway's tenth of a core with checks for capacity.
func TestWaitingRequestsCheckLessOftenBehindOthers(t *testing.T) {
	state := &serviceState{}
	checks := 0.0
	for range 30 {
		e := &queueEntry{}
		e.enqueueForService(0, state)
		checks += float64(time.Second) / float64(e.pollInterval(0))
	}
	if checks > 400 {
		t.Errorf("%.0f checks a second for 30 waiting requests, want at most 400", checks)
	}
}

// Guards against a 504 or 502 for a request that provably did not run: no connection to a server ever opened.
func TestRequestWithoutConnectionIsRefused(t *testing.T) {
	for _, path := range []string{"/order/1", "/look/1"} {
		f := newFixture(t)
		f.host.backends.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			time.Sleep(time.Millisecond) // the request's time is over, too
			return nil, ctx.Err()
		}
		f.publish(newFakeBackend(t, okResponse("no")))
		if response, _ := f.do("POST", path, nil); response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, Retry-After %q, want 503 with a time to retry", path, response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
}

// Guards against digests that are received but not used, before and after the first request to a server.
func TestDigestCountsForServersWithoutOwnReports(t *testing.T) {
	f := newFixtureWith(t, byWork, nil)
	f.publishPhotos(newFakeBackend(t, okResponse("a")), newFakeBackend(t, okResponse("b")))
	var tracker serverload.Tracker
	tracker.Observe(time.Second, serverload.Observation{ServerID: "a", Slots: 6, Reported: true, Running: 6, Waiting: 12})
	digest, _ := tracker.Changes(time.Second, 1)
	body, err := cbor.Marshal(digest)
	if err != nil {
		t.Fatal(err)
	}
	f.host.backends.applyDigest(clockNow(), body)
	b := f.host.backends.get(keyrange.Server{ID: "a", Service: "photos", Address: "127.0.0.1:1", Slots: 6})
	if got := b.load.LatestRequests(); got != 18 {
		t.Errorf("%.1f requests at the server of the digest, want 18", got)
	}
	f.host.backends.applyDigest(clockNow(), []byte("no digest"))
}
