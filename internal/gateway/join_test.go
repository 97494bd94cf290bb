package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
)

// publishJoining publishes servers of a service without a limit for cold servers, the last of which warms up.
func (f *fixture) publishJoining(warmup time.Duration, servers ...*fakeBackend) (joining *backend) {
	f.publishPhotos(servers...)
	f.host.view.mu.Lock()
	defer f.host.view.mu.Unlock()
	entry := f.host.view.servers[string(rune('a'+len(servers)-1))]
	entry.WarmupMillis, entry.warmUntil = warmup.Milliseconds(), clockNow()+warmup
	return f.host.backends.get(entry.Server)
}

// Guards against a warm-up that goes on without a leader, that responses don't end or prolong, and that counts as a
// limit of the requests.
func TestWarmupWithoutLimitIsCountedDown(t *testing.T) {
	now := clockNow()
	v := newView(time.Second)
	for id, millis := range map[string]int64{"joining": 3000, "silent": keyrange.SilentWarmupMillis, "warm": 0} {
		v.apply(now, keyrange.TableUpdate{Term: 1, Servers: []keyrange.Server{{ID: id, Service: "photos", WarmupMillis: millis}}})
	}
	for after, want := range map[time.Duration]string{0: "[3000 0 0]", 2 * time.Second: "[1000 0 0]", time.Hour: "[0 0 0]"} {
		var left []int64
		for _, s := range v.serversOf(now+after, "photos", nil) {
			left = append(left, s.WarmupMillis)
		}
		if got := fmt.Sprint(left); got != want {
			t.Errorf("%v later: %s ms left, want %s", after, got, want)
		}
	}
	for header, want := range map[string]bool{"": true, "Test-Warmup: 0\r\n": false, "Test-Warmup: 60000\r\n": true} {
		server := newFakeBackend(t, rawResponse("HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nContent-Length: 0\r\n"+header+"\r\n"))
		f := newFixtureWith(t, byWork, nil)
		joining := f.publishJoining(time.Minute, server)
		f.do(http.MethodPost, "/photo/1", nil)
		joining.mu.Lock()
		got := joining.countdown.WarmingUp(clockNow())
		joining.mu.Unlock()
		if rate := joining.coldRate(clockNow()); got != want || rate != 0 {
			t.Errorf("after a response with %q: warms up %v, want %v; limited to %v a second, want no limit", header, got, want, rate)
		}
	}
}

// Guards against a burst of requests of one gateway at a server that has joined.
func TestJoiningServerIsProbedByOneRequest(t *testing.T) {
	release := make(chan struct{})
	serving := newFakeBackend(t, okResponse("yes"))
	joining := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		<-release
		return okResponse("yes")(conn, r, body)
	})
	f := newFixtureWith(t, byWork, nil)
	f.publishPhotos(serving)
	f.do(http.MethodPost, "/photo/1", nil)
	f.publishPhotos(serving, joining)
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() { f.do(http.MethodPost, "/photo/1", nil) })
	}
	time.Sleep(100 * time.Millisecond)
	if got := joining.count(); got > 1 {
		t.Errorf("%d requests at the server that joins before its first response, want one", got)
	}
	close(release)
	clients.Wait()
}

// Guards against a server that counts as slow after its warm-up.
func TestResponsesDuringWarmupShowTheUsualSpeed(t *testing.T) {
	slow := func(d time.Duration) *fakeBackend {
		return newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
			time.Sleep(d)
			return okResponse("yes")(conn, r, body)
		})
	}
	serving, joining := slow(150*time.Millisecond), slow(300*time.Millisecond)
	f := newFixtureWith(t, byWork, nil)
	f.publishPhotos(serving)
	for range 14 { // as long as the work that is assumed before the first response
		f.do(http.MethodPost, "/photo/1", nil)
	}
	b := f.publishJoining(time.Minute, serving, joining)
	for joining.count() == 0 {
		f.do(http.MethodPost, "/photo/1", nil)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if got := b.speed.Factor(); got < 0.9 || got > 1.1 {
		t.Errorf("speed %.2f after a response during the warm-up, want about 1", got)
	}
}
