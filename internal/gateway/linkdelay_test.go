package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestLinkDelayNeedsTwoLongRoundTrips(t *testing.T) {
	const usual, long = 40 * time.Millisecond, 640 * time.Millisecond
	var d linkDelay
	for i, step := range []struct{ roundTrip, want time.Duration }{
		{usual, 0}, {long, 0}, {usual, 0}, {long, 0}, {long, long - usual}, {long + usual, long - usual}, {usual, 0},
	} {
		d.observe(step.roundTrip)
		if got := d.estimate(); got != step.want {
			t.Errorf("step %d, round trip %v: estimate %v, want %v", i, step.roundTrip, got, step.want)
		}
	}
	d.observe(long)
	d.observe(long)
	d.reset()
	if got := d.estimate(); got != 0 {
		t.Errorf("after reset: estimate %v, want 0", got)
	}
}

// Guards against requests that are held past their route's timeout: on a full link the client sent the
// request earlier than the gateway read it, and the response needs as long.
func TestTimeoutLeavesTimeForFullLink(t *testing.T) {
	const linkWait = 300 * time.Millisecond
	f := newFixture(t)
	f.publish(newFakeBackend(t, func(net.Conn, *http.Request, []byte) bool {
		time.Sleep(2 * time.Second)
		return false
	}))
	f.host.leaderLink.delay.observe(time.Millisecond)
	f.host.leaderLink.delay.observe(linkWait)
	f.host.leaderLink.delay.observe(linkWait)
	started := time.Now()
	response, _ := f.do(http.MethodPost, "/order/1", nil) // with 900 ms left
	if took := time.Since(started); response.StatusCode != http.StatusGatewayTimeout || took > 750*time.Millisecond {
		t.Errorf("status %d after %v, want 504 about %v before the 900 ms are over", response.StatusCode, took, linkWait)
	}
}
