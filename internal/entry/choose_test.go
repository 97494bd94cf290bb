package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/forward"
)

func testServers() []Server {
	return []Server{
		{Session: 1, Group: "norte", Region: "norte", Slots: 6},
		{Session: 2, Group: "norte", Region: "norte", Slots: 6},
		{Session: 1, Group: "lisboa", Region: "lisboa", Slots: 6}, // session ids repeat between groups
	}
}

// TestChoosers checks how ten requests are distributed over the servers in each case.
func TestChoosers(t *testing.T) {
	start := time.Unix(1000, 0)
	lookup := &inboundRequest{service: "photos", class: admission.Lookup, repeatable: true, arrived: start}
	order := &inboundRequest{service: "photos", class: admission.Order, arrived: start}
	fail := func(c *choosers, server Server, times int) {
		for range times {
			c.choose(0, lookup, []Server{server})
			c.attemptFinished(0, lookup, server, time.Millisecond, signalForFailure(forward.ReasonBroken))
		}
	}
	cases := []struct {
		name    string
		in      *inboundRequest
		prepare func(*choosers, []Server)
		want    [3]int
	}{
		{"own region", lookup, func(*choosers, []Server) {}, [3]int{5, 5, 0}},
		{"cold", lookup, func(_ *choosers, s []Server) { s[0].JoinedAt = start.Add(-2 * time.Second) }, [3]int{1, 9, 0}},
		{"suspected, probed by a lookup", lookup, func(c *choosers, s []Server) { fail(c, s[0], suspectFailures) }, [3]int{1, 9, 0}},
		{"suspected, not probed by an order", order, func(c *choosers, s []Server) { fail(c, s[0], suspectFailures) }, [3]int{0, 9, 1}},
		{"trusted after an answer", lookup, func(c *choosers, s []Server) {
			fail(c, s[0], suspectFailures)
			c.choose(0, lookup, s[:1])
			c.attemptFinished(0, lookup, s[0], time.Millisecond, signalAnswered)
		}, [3]int{1, 9, 0}},
		{"forgotten", lookup, func(c *choosers, s []Server) {
			fail(c, s[0], suspectFailures)
			c.retainServers("photos", s[1:])
		}, [3]int{5, 5, 0}},
	}
	for _, tc := range cases {
		c, servers := newChoosers("norte", rand.New(rand.NewPCG(1, 2))), testServers()
		tc.prepare(c, servers)
		var got [3]int
		for range 10 {
			got[c.choose(0, tc.in, servers)]++
		}
		if got != tc.want {
			t.Errorf("%s: requests by server %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestChoosersReleaseEveryAttempt checks that no attempt stays outstanding at its chooser, whether it
// was answered, refused or its connection failed.
func TestChoosersReleaseEveryAttempt(t *testing.T) {
	handlers := []connHandler{
		respondOK,
		func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: shedding\nContent-Length: 0\n\n")
		},
		func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool { return resetConnection(c) },
	}
	for _, handler := range handlers {
		server := startRawServer(t, handler)
		deps := newFakeDependencies()
		deps.setPhotos([]Server{{Session: 1, Group: "norte", Name: "s", Address: server.address(), Region: "norte", Slots: 6, Connections: 110}})
		host := startHost(t, deps, nil)
		call(t, host, "GET", "/v1/services/photos/x", "")
		host.choosers.mu.Lock()
		ch := host.choosers.byKind[chooserKey{service: "photos"}]
		outstanding := ch.choice.Outstanding(ch.servers[sessionKey{"norte", 1}].id)
		host.choosers.mu.Unlock()
		if outstanding != 0 || server.runs() == 0 {
			t.Errorf("%d attempts outstanding after %d requests at the server", outstanding, server.runs())
		}
	}
}
