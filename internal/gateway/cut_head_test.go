package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// cutResponses are responses in each framing. ID is replaced by rawResponse.
var cutResponses = map[string]string{
	"length":    "HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nContent-Length: 12\r\n\r\n",
	"no length": "HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\n\r\n",
	"chunked":   "HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"empty":     "HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a success that is made of a response whose head ends early, closed or reset: it would
// have an empty or short body that looks complete (issue 20, MIXED and ORDER).
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range cutResponses {
		for _, linger := range []int{-1, 0} {
			t.Run(fmt.Sprintf("%s, linger %d", name, linger), func(t *testing.T) {
				t.Parallel()
				cut := 0
				server := newFakeBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
					_, _ = io.WriteString(conn, head[:cut])
					if linger == 0 {
						time.Sleep(2 * time.Millisecond) // else the reset overtakes the bytes
						_ = conn.(*net.TCPConn).SetLinger(linger)
					}
					return false
				})
				f := newFixture(t)
				f.publish(server)
				for cut = 0; cut < len(head); cut++ {
					response, body := f.do("POST", "/order/1", nil)
					if response.StatusCode != http.StatusBadGateway {
						t.Errorf("head cut after %d of %d bytes, %q: status %d, body %q; want 502", cut, len(head), head[max(0, cut-8):cut], response.StatusCode, body)
					}
				}
			})
		}
	}
}
