package abuse

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowds. The larger one exceeds the host's descriptors, the smaller one its memory with bodies of 1 MiB.
const (
	manyConnections = 400
	manyBodies      = 200
)

// bodyBytes is the configuration's limit of a body.
const bodyBytes = 1 << 20

// bodyHead is the head of a request with a body of bodyBytes.
var bodyHead = head("POST", "/order/1", fmt.Sprintf("Content-Length: %d", bodyBytes))

func head(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: depot.example\r\n" + strings.Join(append(fields, "", ""), "\r\n")
}

// sendAll sends texts in pieces of a size.
func sendAll(conn net.Conn, pieceBytes int, texts ...string) error {
	for _, text := range texts {
		for len(text) > 0 {
			n := min(pieceBytes, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return err
			}
			text = text[n:]
		}
	}
	return nil
}

// unfinishedBody is a body that lacks its last 64 bytes.
var unfinishedBody = strings.Repeat("b", bodyBytes-64)

// chunked returns a chunked body of a number of bytes, without its end.
func chunked(size int) string {
	const chunk = 4 << 10
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk)), size/chunk)
}

// shortFields returns header fields of a size in total, each as short as possible and with a name of its own.
func shortFields(size int) []string {
	var fields []string
	for total := 0; total < size; total += len(fields[len(fields)-1]) + len("\r\n") {
		n := len(fields)
		name := ""
		for n >= 0 {
			name += string(rune('a' + n%26))
			n = n/26 - 1
		}
		fields = append(fields, name+":")
	}
	return fields
}

// drip sends a byte from time to time.
func drip(conn net.Conn) error {
	for range 10 {
		if _, err := io.WriteString(conn, "d"); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// Guards against request bodies that take memory without a common bound: 200 clients hold 1 MiB each.
func TestBodiesInOnePiece(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, manyBodies, func(c net.Conn) error { return sendAll(c, bodyBytes, bodyHead, unfinishedBody) })
	f.served(t)
	f.gateway.check()
}

// Guards against the same with bodies that arrive in small pieces.
func TestBodiesInSmallPieces(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, manyBodies, func(c net.Conn) error { return sendAll(c, 2<<10, bodyHead, unfinishedBody) })
	f.served(t)
	f.gateway.check()
}

// Guards against the same with bodies whose length is not known.
func TestChunkedBodies(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/order/1", "Transfer-Encoding: chunked")
	body := chunked(bodyBytes - 8<<10)
	startCrowd(t, f.clients, manyBodies, func(c net.Conn) error { return sendAll(c, 16<<10, text, body) })
	f.served(t)
	f.gateway.check()
}

// Guards against bodies over the limit that are read as if they were within it.
func TestBodiesOverLimit(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/order/1", "Transfer-Encoding: chunked")
	body := chunked(3 * bodyBytes)
	startCrowd(t, f.clients, manyBodies, func(c net.Conn) error { return sendAll(c, bodyBytes, text, body) })
	f.served(t)
	f.gateway.check()
}

// Guards against heads of legal size whose fields take many times their size in memory.
func TestManyShortFields(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/order/1", append(shortFields(16000), "Content-Length: 10")...)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text, "unfinishe") })
	f.served(t)
	f.gateway.check()
}

// Guards against heads far over the limit that are parsed to their end.
func TestLongHeadsOfShortFields(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/order/1", append(shortFields(1000000), "Content-Length: 10")...)
	startCrowd(t, f.clients, manyBodies, func(c net.Conn) error { return sendAll(c, len(text), text) })
	f.served(t)
	f.gateway.check()
}

// Guards against pipelined requests that are read ahead while their client reads no response.
func TestPipelinedRequestsUnread(t *testing.T) {
	f := startFleet(t)
	text := strings.Repeat(head("GET", "/look/1"), 2000)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text) })
	f.served(t)
	f.gateway.check()
}

// Guards against connections without a bound, held by heads that arrive a byte at a time.
func TestSlowHeads(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: depot.example\r\nX-Slow: "); err != nil {
			return err
		}
		return drip(c)
	})
	f.served(t)
	f.gateway.check()
}

// Guards against the same with heads that stop half-way.
func TestHeadsStoppedHalfWay(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error {
		return sendAll(c, bodyBytes, "GET /look/1 HTTP/1.1\r\nHost: depot.ex")
	})
	f.served(t)
	f.gateway.check()
}

// Guards against the same with bodies that arrive a byte at a time.
func TestSlowBodies(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error {
		if err := sendAll(c, bodyBytes, bodyHead); err != nil {
			return err
		}
		return drip(c)
	})
	f.served(t)
	f.gateway.check()
}

// Guards against responses that hold connections on both sides, and buffers, while their client reads nothing.
func TestResponsesUnread(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, 150, func(c net.Conn) error { return sendAll(c, bodyBytes, head("GET", "/large/1")) })
	f.served(t)
	f.gateway.check()
}

// Guards against responses that are read a byte at a time.
func TestResponsesReadSlowly(t *testing.T) {
	f := startFleet(t)
	startCrowd(t, f.clients, 150, func(c net.Conn) error {
		if err := sendAll(c, bodyBytes, head("GET", "/large/1")); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(clientTimeout)) // fails only if the connection is closed
		for range 10 {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	f.served(t)
	f.gateway.check()
}

// Guards against bodies of requests that are answered without them: their rest holds the connection.
func TestBodiesWithoutRoute(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/nowhere", "Content-Length: 200000") + strings.Repeat("n", 100000)
	startCrowd(t, f.clients, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text) })
	f.served(t)
	f.gateway.check()
}

// Guards against the same at the address of the readiness check.
func TestReadinessAddress(t *testing.T) {
	f := startFleet(t)
	text := head("POST", "/", "Content-Length: 200000") + strings.Repeat("n", 100000)
	startCrowd(t, f.ready, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text) })
	ordinary(t, func() error {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.ready+"/", nil)
		if err != nil {
			return err
		}
		return expect(request, http.StatusOK)
	})
	f.served(t)
	f.gateway.check()
}

// Guards against connections to the metrics without a bound.
func TestGatewayAdminAddress(t *testing.T) {
	f := startFleet(t)
	text := head("GET", "/metrics", "Content-Length: 200000") + strings.Repeat("n", 100000)
	startCrowd(t, f.entryAdmin, manyConnections, func(c net.Conn) error { return sendAll(c, len(text), text) })
	answered(t, "http://"+f.entryAdmin+"/metrics")
	f.served(t)
	f.gateway.check()
}
