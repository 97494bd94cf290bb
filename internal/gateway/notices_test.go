package gateway

import (
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
)

// drainTime is the time after a server's first notice that it is about to stop from which it must get
// no more requests; the setting of newFixture.
const drainTime = 2500 * time.Millisecond

// Guards against a server that gets requests longer than the drain time after it said in a response
// that it is about to stop, without a leader to report it (the letter's rule for Server-Leaving).
func TestServerThatSaysItLeavesGetsNoRequestsAfterDrainTime(t *testing.T) {
	for _, path := range []string{"/look/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			leaving := rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok")
			server := newFakeBackend(t, leaving)
			f := newFixture(t)
			f.publish(server)
			f.do("POST", path, nil)
			noticed := time.Now()
			served := 0
			for sent := time.Now(); sent.Sub(noticed) < drainTime+500*time.Millisecond; sent = time.Now() {
				before := server.count()
				response, _ := f.do("POST", path, nil)
				if server.count() > before && sent.Sub(noticed) > drainTime {
					t.Fatalf("request sent %s after the notice reached the server", sent.Sub(noticed))
				}
				if response.StatusCode == 200 {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if served < 20 {
				t.Errorf("%d requests served before the end of the drain time, want the owner to be used until then", served)
			}
			// The same ID at the same address, started again, is another incarnation.
			f.publishAgain(server, 2)
			if response, _ := f.do("POST", path, nil); response.StatusCode != 200 {
				t.Errorf("status %d from the next incarnation, want 200", response.StatusCode)
			}
		})
	}
}

// publishAgain replaces the servers of publish by incarnations that started later.
func (f *fixture) publishAgain(server *fakeBackend, startMillis int64) {
	address := server.listener.Addr().String()
	f.host.view.apply(clockNow(), keyrange.TableUpdate{
		Term: 1, Version: 2, Full: true, EntryHosts: 1,
		Servers: []keyrange.Server{
			{ID: "s1", StartMillis: startMillis, Service: "stock", Address: address, Domain: "d1", Slots: 6},
			{ID: "p1", StartMillis: startMillis, Service: "photos", Address: address, Domain: "d1", Slots: 6},
		},
		Owners: []keyrange.Owner{{Service: "stock", From: 0, To: 999, ServerID: "s1"}},
	})
}
