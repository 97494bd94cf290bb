package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerSlack is how long after its route's timeout a request may be without an answer; the target of
// the platform's pages.
const answerSlack = 500 * time.Millisecond

// Guards against requests that are held past their route's timeout, whatever their server does: more than
// half of those that last so long must have an answer half a second later (a clause of CONFIG).
func TestRequestIsAnsweredSoonAfterItsTimeout(t *testing.T) {
	stall := func(written string) responder {
		return func(conn net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, written)
			time.Sleep(3 * time.Second)
			return false
		}
	}
	const head = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nContent-Length: 10\r\n\r\n"
	for name, server := range map[string]responder{
		"silent":            stall(""),
		"stalls in head":    stall(head[:20]),
		"stalls in body":    stall("HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nContent-Length: 10\r\n\r\nhalf"),
		"only interim":      stall("HTTP/1.1 102 Processing\r\n\r\n"),
		"refuses and waits": rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: a1\r\nTest-Not-Run: 1\r\nTest-Pause: 60000\r\nContent-Length: 0\r\n\r\n"),
		"no server":         nil,
	} {
		for _, path := range []string{"/look/1", "/order/1", "/photo/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				if server == nil {
					f.publish(nil)
				} else {
					f.publish(newFakeBackend(t, server))
				}
				started := time.Now()
				response, _ := f.do("POST", path, nil)
				timeout := time.Duration(testConfig().Routes[0].TimeoutMillis) * time.Millisecond
				if took := time.Since(started); response.StatusCode < 500 || took > timeout+answerSlack {
					t.Errorf("status %d after %s, want a failure within %s of the timeout of %s", response.StatusCode, took, answerSlack, timeout)
				}
			})
		}
	}
}
