package abuse

import (
	"io"
	"net"
	"strings"
	"testing"
)

// controlBody is a part of a body of 15 MiB.
var controlBody = strings.Repeat("b", 8<<20)

// abuseControl lets a crowd loose on an address of a control host and checks the host.
func abuseControl(t *testing.T, address func(*fleet) string, size int, act func(net.Conn) error) {
	t.Helper()
	f := startControl(t)
	startCrowd(t, address(f), size, act)
	answered(t, "http://"+f.controlAPI+"/config/get")
	answered(t, "http://"+f.controlAdmin+"/metrics")
	f.control.check()
}

func apiAddress(f *fleet) string { return f.controlAPI }

// Guards against heartbeats of many MiB that are read to their end, many at a time.
func TestLongHeartbeats(t *testing.T) {
	text := head("POST", "/instances/s-9/heartbeat", "Content-Length: 15728640")
	abuseControl(t, apiAddress, 30, func(c net.Conn) error { return sendAll(c, len(controlBody), text, controlBody) })
}

// Guards against configurations of many MiB that are read at the same time.
func TestManyConfigurations(t *testing.T) {
	text := head("POST", "/config/put", "X-Base-Version: 00000001", "Content-Length: 15728640")
	abuseControl(t, apiAddress, 30, func(c net.Conn) error { return sendAll(c, len(controlBody), text, controlBody) })
}

// Guards against heads without a bound.
func TestControlLongHeads(t *testing.T) {
	text := head("POST", "/config/put", append(shortFields(500000), "Content-Length: 10")...)
	abuseControl(t, apiAddress, 60, func(c net.Conn) error { return sendAll(c, len(text), text) })
}

// Guards against connections without a bound at the address for servers and operators.
func TestControlSlowHeads(t *testing.T) {
	abuseControl(t, apiAddress, manyConnections, func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /config/get HTTP/1.1\r\nX-Slow: "); err != nil {
			return err
		}
		return drip(c)
	})
}

// Guards against connections without a bound at the address for peers.
func TestPeerAddress(t *testing.T) {
	abuseControl(t, func(f *fleet) string { return f.controlPeers }, manyConnections, func(c net.Conn) error {
		return sendAll(c, bodyBytes, "GET /peer HTTP/1.1\r\nHost: ")
	})
}

// Guards against connections without a bound at the address for metrics.
func TestControlAdminAddress(t *testing.T) {
	text := head("GET", "/metrics", "Content-Length: 200000") + strings.Repeat("n", 100000)
	abuseControl(t, func(f *fleet) string { return f.controlAdmin }, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text) })
}
