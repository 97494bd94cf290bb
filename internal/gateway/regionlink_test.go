package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
)

// newRemoteFixture returns a gateway in region r2 whose servers are in region r1.
func newRemoteFixture(t *testing.T) *fixture {
	return newFixtureWith(t, func(s *settings.GatewaySettings) {
		s.Domain, s.Domains = "d2", map[string]string{"d1": "r1", "d2": "r2"}
	}, nil)
}

func (f *fixture) bulkUnderWay() int {
	f.host.regionLinks.mu.Lock()
	defer f.host.regionLinks.mu.Unlock()
	return f.host.regionLinks.get("r1").window.InFlight()
}

// fillLink makes the link to region r1 carry much more than its window, with a long queue.
func (f *fixture) fillLink() {
	l := f.host.regionLinks
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.get("r1").window
	now := clockNow()
	window.Acknowledged(now, 1, 40*time.Millisecond)
	window.Acknowledged(now, 1, 400*time.Millisecond)
	window.Send(now, 1<<20)
}

// Guards against bodies that queue on a full link until their clients have left: a body that would wait too
// long is refused at once, as not run, and a small request is not held up.
func TestBodyForFullLinkIsRefusedAtOnce(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newRemoteFixture(t)
	f.publish(server)
	f.fillLink()
	started := time.Now()
	response, _ := f.do(http.MethodPost, "/photo/1", strings.NewReader(strings.Repeat("x", 60<<10)))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || server.count() != 0 {
		t.Errorf("status %d, Retry-After %q, %d requests at the server; want a refusal", response.StatusCode, response.Header.Get("Retry-After"), server.count())
	}
	if took := time.Since(started); took > 100*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	if response, _ := f.do(http.MethodPost, "/order/1", strings.NewReader("two")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d for a small request, want 200", response.StatusCode)
	}
}

// fillResponseLink makes the link from region r1 carry much more than its window, with a long queue.
func (f *fixture) fillResponseLink() {
	f.host.observeDial("r1", 40*time.Millisecond, nil)
	f.host.observeDial("r1", 400*time.Millisecond, nil)
	l := f.host.responseLinks
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get("r1").window.Send(clockNow(), 1<<20)
}

// Guards against large responses that fill the link between the regions, so that small requests wait behind them:
// one that would wait too long is refused at once, as not run.
func TestLargeResponseForFullLinkIsRefusedAtOnce(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newRemoteFixture(t)
	f.publish(server)
	f.fillResponseLink()
	response, _ := f.do(http.MethodGet, "/chart/1", nil)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || server.count() != 0 {
		t.Errorf("status %d, Retry-After %q, %d requests at the server; want a refusal", response.StatusCode, response.Header.Get("Retry-After"), server.count())
	}
	if response, _ := f.do(http.MethodGet, "/look/1", nil); response.StatusCode != http.StatusOK {
		t.Errorf("status %d for a small request, want 200", response.StatusCode)
	}
}

// Guards against a window whose sizes are wrong or that is never given back, also if responses break off.
func TestLargeResponsesLeaveTheLink(t *testing.T) {
	long := okResponse(strings.Repeat("x", 2*maxBufferedResponse))
	server := newFakeBackend(t, long, closeConnection, notExecuted, long)
	f := newRemoteFixture(t)
	f.publish(server)
	for range 40 {
		_, _ = f.do(http.MethodGet, "/chart/1", nil)
	}
	time.Sleep(50 * time.Millisecond) // the last response ends after its client has it
	l := f.host.responseLinks
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.get("r1").window.InFlight(); n != 0 {
		t.Errorf("%d bytes are under way after all requests have ended", n)
	}
	config := testConfig()
	if got := f.host.responseSizes.expected(&config.Routes[3]); got < maxBufferedResponse {
		t.Errorf("%d bytes expected, want about %d", got, 2*maxBufferedResponse)
	}
}

// Guards against bytes that count as under way for ever, so that a link ends up closed to bodies.
func TestBodiesLeaveTheLinkWithTheirRequests(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"), closeConnection, notExecuted, okResponse("yes"))
	f := newRemoteFixture(t)
	f.publish(server)
	for range 6 {
		_, _ = f.do(http.MethodPost, "/photo/1", strings.NewReader(strings.Repeat("x", 60<<10)))
	}
	if n := f.bulkUnderWay(); n != 0 {
		t.Errorf("%d bytes are under way after all requests have ended", n)
	}
	if server.count() < 6 {
		t.Errorf("%d requests reached the server, want 6 or more", server.count())
	}
}

// Requests wait for the link in the order of their arrival, and one that leaves the queue makes room.
func TestRequestsWaitForTheLinkInOrder(t *testing.T) {
	f := newRemoteFixture(t)
	f.fillLink()
	ticket := func() *linkTicket { return &linkTicket{links: f.host.regionLinks, bytes: 60 << 10} }
	first, second := ticket(), ticket()
	now := clockNow()
	waits := []time.Duration{first.reserve(now, "r1"), second.reserve(now, "r1"), first.reserve(now, "r1")}
	if waits[0] <= 0 || waits[1] <= waits[0] || waits[2] != waits[0] {
		t.Errorf("waits of the first, the second and again the first request: %v", waits)
	}
	first.release()
	if wait := second.reserve(now, "r1"); wait != waits[0] {
		t.Errorf("the second request waits %v after the first has left, want %v", wait, waits[0])
	}
}
