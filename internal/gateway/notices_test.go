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

// Guards against a notice that is forgotten while the leader does not list the server, such as after
// lost heartbeats or a change of leader: the same incarnation is listed again, and got requests.
func TestNoticesOutliveRemovalFromTable(t *testing.T) {
	f := newFixture(t)
	server := newFakeBackend(t, rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.publish(server)
	f.do("POST", "/look/1", nil)
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 3, Full: true, EntryHosts: 1})
	time.Sleep(drainTime + sweepInterval)
	f.publish(server)
	before := server.count()
	if response, _ := f.do("POST", "/look/1", nil); response.StatusCode != 503 || server.count() > before {
		t.Errorf("status %d, %d requests reached the server after its drain time", response.StatusCode, server.count()-before)
	}
}

// Guards against a new leader that grants keys to a server which is leaving: what the gateways had
// reported to its predecessor is lost with that.
func TestLeavingIsReportedToEachLeader(t *testing.T) {
	server := newFakeBackend(t, rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	f := newFixture(t)
	f.publish(server)
	f.do("POST", "/look/1", nil)
	for report := range 2 {
		observed := f.host.backends.takeObservations(clockNow())
		if len(observed) != 1 || !observed[0].Leaving {
			t.Errorf("report %d after the notice: %+v, want that the server is leaving", report+1, observed)
		}
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

// Guards against a server that gets requests although it has answered 503 with Retry-After, and
// against requests that wait for it although the pause outlasts their time (the letter's rule for
// Retry-After): at most two may arrive between half a second after it and its end.
func TestServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	const pause = 1500 * time.Millisecond
	refusal := rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTest-Pause: 1500\r\nContent-Length: 0\r\n\r\n")
	for _, path := range []string{"/order/1", "/look/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			server := newFakeBackend(t, refusal, okResponse("ok"))
			f := newFixture(t)
			f.publish(server)
			started := time.Now()
			response, _ := f.do("POST", path, nil)
			if took := time.Since(started); response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || took > 200*time.Millisecond {
				t.Fatalf("status %d after %s, Retry-After %q; want 503 at once with Retry-After", response.StatusCode, took, response.Header.Get("Retry-After"))
			}
			noticed, before := time.Now(), server.count()
			for time.Since(noticed) < pause-50*time.Millisecond {
				if response, _ := f.do("POST", path, nil); response.StatusCode == 200 && time.Since(noticed) < pause-50*time.Millisecond {
					t.Fatalf("request served %s after the server asked for a pause of %s", time.Since(noticed), pause)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got := server.count() - before; got > 1 { // one may be sent as the pause ends
				t.Errorf("%d requests reached the server during its pause", got)
			}
			if response, _ := f.do("POST", path, nil); response.StatusCode != 200 {
				t.Errorf("status %d after the pause, want 200", response.StatusCode)
			}
		})
	}
}

// Guards against a pause that ends within a request's time and refuses the request all the same.
func TestShortPauseDelaysRequests(t *testing.T) {
	refusal := rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTest-Pause: 150\r\nContent-Length: 0\r\n\r\n")
	server := newFakeBackend(t, refusal, okResponse("ok"))
	f := newFixture(t)
	f.publish(server)
	if response, _ := f.do("POST", "/order/1", nil); response.StatusCode != 200 {
		t.Errorf("status %d, want 200 after a pause of 150 ms", response.StatusCode)
	}
}
