package abuse

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// abuseEntry lets a crowd loose on an entry host and checks the host.
func abuseEntry(t *testing.T, size int, act func(net.Conn) error) {
	t.Helper()
	p, clients := startEntry(t)
	startCrowd(t, clients, size, act)
	answered(t, "http://"+clients+"/v1/services/stock/1")
	p.check()
}

// Guards against request bodies at an entry host that take memory without a common bound.
func TestEntryBodies(t *testing.T) {
	text := head("POST", "/v1/services/stock/1", fmt.Sprintf("Content-Length: %d", bodyBytes))
	abuseEntry(t, manyBodies, func(c net.Conn) error { return sendAll(c, bodyBytes, text, unfinishedBody) })
}

// Guards against heads at an entry host without a bound.
func TestEntryLongHeads(t *testing.T) {
	text := head("POST", "/v1/services/stock/1", append(shortFields(500000), "Content-Length: 10")...)
	abuseEntry(t, 30, func(c net.Conn) error { return sendAll(c, len(text), text) })
}

// Guards against connections to an entry host without a bound.
func TestEntrySlowHeads(t *testing.T) {
	abuseEntry(t, manyConnections, func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /v1/services/stock/1 HTTP/1.1\r\nX-Slow: "); err != nil {
			return err
		}
		return drip(c)
	})
}
