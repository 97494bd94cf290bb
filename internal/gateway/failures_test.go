package gateway

import (
	"testing"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
)

// Guards against a server that fails all requests quickly and so seems to be the least loaded one.
func TestQuicklyFailingServerIsAvoided(t *testing.T) {
	failing := newFakeBackend(t, rawResponse("HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n"))
	sound := newFakeBackend(t, okResponse("yes"))
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.Balance = settings.GatewaySettingsBalanceWork }, nil)
	f.publish(failing)
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 2, EntryHosts: 1, Servers: []keyrange.Server{
		{ID: "p2", Service: "photos", Address: sound.listener.Addr().String(), Domain: "d1", Slots: 6},
	}})
	for range 30 {
		f.do("POST", "/photo/1", nil)
	}
	if got := failing.count(); got > 4 {
		t.Errorf("%d of 30 requests at the failing server", got)
	}
}
