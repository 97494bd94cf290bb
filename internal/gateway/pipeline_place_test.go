package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/internal/settings"
)

// newSmallHost starts a gateway with room for eight requests in progress.
func newSmallHost(t *testing.T, server *fakeBackend) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) {
		s.PipelineDepth, s.MaxDescriptors, s.RetryRatio, s.RetrySlack, s.StopSeconds = 10, 100, 0, 0, 3
	}, nil)
	if n := cap(f.host.clients.running); n != 8 {
		t.Fatalf("room for %d requests in progress, want 8", n)
	}
	f.publishPatient(server)
	return f
}

// Guards against complete responses that wait for their turn and take all places of requests in progress: others, also
// of the same connection, got a 503. The responses that wait must be answered also if the gateway stops meanwhile.
func TestWaitingResponsesTakeNoPlace(t *testing.T) {
	release := make(chan struct{})
	server := newFakeBackend(t, pathResponder(func(path string) {
		if path == "/look/0" {
			<-release
		}
	}))
	f := newSmallHost(t, server)
	client := f.connect()
	client.send(getRequests(11))
	waitFor(t, "requests ahead at the server", func() bool { return server.count() == 11 })
	other := f.connect()
	other.send(getRequest("/look/11"))
	other.expect(200, "/look/11")
	stopped := make(chan error, 1)
	go func() { stopped <- f.host.Stop(context.Background()) }()
	waitFor(t, "a gateway that refuses new requests", f.host.draining.Load)
	close(release)
	client.expectPaths(11)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a client that does not read, and whose responses, too large to be held, keep all places for as long as
// the least rate lets it.
func TestUnreadLargeResponsesGiveWay(t *testing.T) {
	release := make(chan struct{})
	server := newFakeBackend(t, pathResponder(func(string) { <-release }), okResponse(strings.Repeat("y", 8<<20)))
	f := newSmallHost(t, server)
	client := f.connect()
	client.send(getRequest("/look/0"))
	waitFor(t, "a request at the server", func() bool { return server.count() == 1 })
	client.send(getRequest("/look/1"))
	waitFor(t, "a request ahead at the server", func() bool { return server.count() == 2 })
	close(release)
	client.expect(200, "/look/0")
	client.send(getRequests(8)) // behind a response that has run ahead
	waitFor(t, "requests in all places", func() bool { return len(f.host.clients.running) == cap(f.host.clients.running) })
	waitFor(t, "a place for another client", func() bool {
		other := f.connect()
		defer other.Close()
		other.send(getRequest("/look/0"))
		response, err := http.ReadResponse(other.reader, nil)
		return err == nil && response.StatusCode == 200
	})
}

// Guards against heads of requests that run ahead without a part of the memory budget: each takes up to 0.5 MB. Without
// memory a request has to wait for its turn.
func TestHeadsOfRequestsAheadAreInTheBudget(t *testing.T) {
	release := make(chan struct{})
	server := newFakeBackend(t, pathResponder(func(string) { <-release }))
	f := newSmallHost(t, server)
	budget := f.host.clients.budget
	free := budget.Size()*3/4 - 400_000 // room for two of the heads below
	budget.Charge(membudget.RequestBodies, free)
	client := f.connect()
	client.send(strings.ReplaceAll(getRequests(5), "\r\n\r\n", "\r\n"+strings.Repeat("a: \r\n", 800)+"\r\n"))
	waitFor(t, "requests at the server", func() bool { return server.count() >= 2 })
	time.Sleep(50 * time.Millisecond) // in which further ones would arrive
	if n, held := server.count(), budget.Held(membudget.Heads); n != 2 || held < 250_000 || held > 400_000 {
		t.Errorf("%d requests at the server, %d bytes of heads in the budget; want 2 requests and their heads", n, held)
	}
	close(release)
	client.expectPaths(5)
	waitFor(t, "returned memory", func() bool { return budget.Held(membudget.Heads) == 0 })
}
