package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a refusal that a faulty server writes once more, on a kept connection, when the next
// attempt of the same request has arrived there: it would pass for the answer to that attempt, which
// runs (issue 20, REFUSED and TWICE).
func TestRepeatedRefusalIsNoAnswerToNextAttempt(t *testing.T) {
	for _, path := range []string{"/order/1", "/look/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			refusal := rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			var refusedOn net.Conn
			var misread atomic.Bool
			server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				refusedOn = conn
				return refusal(conn, r, body)
			}, func(conn net.Conn, r *http.Request, body []byte) bool {
				if conn == refusedOn {
					misread.Store(true)
					return refusal(conn, r, body) // while the request runs
				}
				return okResponse("yes")(conn, r, body)
			})
			f := newFixture(t)
			f.publish(server)
			response, body := f.do("POST", path, nil)
			if response.StatusCode != 200 || body != "yes" || misread.Load() {
				t.Errorf("status %d, body %q, next attempt on the connection of the refusal: %v; want the answer of the attempt that ran, on another connection", response.StatusCode, body, misread.Load())
			}
		})
	}
}

// Guards against a refusal without an ID that passes for the answer to any request on a kept
// connection: the request may run (issue 20, REFUSED).
func TestRefusalWithoutIDIsNoProof(t *testing.T) {
	server := newFakeBackend(t, rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	if response, _ := f.do("POST", "/order/1", nil); response.StatusCode != 502 || server.count() != 1 {
		t.Errorf("status %d after %d attempts, want 502 after 1: the request may have run", response.StatusCode, server.count())
	}
}
