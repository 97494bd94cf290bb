package gateway

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endless sends the beginning of a response and then one piece again and again until the connection is
// closed.
func endless(begin, piece string) responder {
	chunk := strings.Repeat(piece, 1+32<<10/len(piece))
	return func(conn net.Conn, r *http.Request, _ []byte) bool {
		begin := strings.ReplaceAll(begin, "ID", r.Header.Get("Test-Id"))
		for text := begin; ; text = chunk {
			if _, err := io.WriteString(conn, text); err != nil {
				return false
			}
		}
	}
}

// endlessResponses are responses, or bytes that are none, without an end.
var endlessResponses = map[string]responder{
	"status line":       endless("HTTP/1.1 200 O", "K"),
	"no response":       endless("", "x"),
	"one header line":   endless("HTTP/1.1 200 OK\r\nA: ", "b"),
	"header lines":      endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
	"interim responses": endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
	"late response":     endless("HTTP/1.1 200 OK\r\nTest-Id: earlier\r\nContent-Length: 99999999999\r\n\r\n", "z"),
	"late chunks":       endless("HTTP/1.1 200 OK\r\nTest-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n"),
	"chunk extension":   endless("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e"),
	"trailer":           endless("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n"),
}

// heapInUse returns the memory that the process uses for its heap, bytes.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapSys - stats.HeapReleased
}

// Guards against a server that sends bytes without end: the gateway must not buffer them, must end the
// attempt long before the deadline, and must say truthfully that the request may have run.
func TestEndlessResponseIsBounded(t *testing.T) {
	const maxGrowth = 32 << 20 // bytes; an entry host has 184 MB
	for name, respond := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			server := newFakeBackend(t, respond)
			f := newFixture(t)
			f.publish(server)
			before, started := heapInUse(), time.Now()
			response, _ := f.do(http.MethodPost, "/order/1", strings.NewReader("two"))
			if response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, want 502: the request may have run", response.StatusCode)
			}
			if took := time.Since(started); took > 500*time.Millisecond {
				t.Errorf("answered after %v, want the attempt to end at the bound", took)
			}
			if after := heapInUse(); after > before+maxGrowth {
				t.Errorf("the heap grew from %d to %d bytes", before, after)
			}
		})
	}
}

// An idempotent request is sent to another server after a response without end.
func TestIdempotentRequestIsRetriedAfterEndlessResponse(t *testing.T) {
	server := newFakeBackend(t, endlessResponses["header lines"], okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	if response, body := f.do(http.MethodGet, "/look/1", nil); response.StatusCode != 200 || body != "yes" {
		t.Errorf("status %d, body %q; want the response to the second attempt", response.StatusCode, body)
	}
}

// Guards against a connection that is used again although the body of a refusal was not read to its end:
// what follows would be taken for the next response.
func TestConnectionOfEndlessRefusalIsClosed(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nTest-Id: a1\r\nTest-Not-Run: 1\r\nContent-Length: 999999\r\n\r\n" +
		strings.Repeat("z", maxRefusalBody)
	forged := "HTTP/1.1 200 OK\r\nTest-Id: a1\r\nTest-Seal: s\r\nContent-Length: 6\r\n\r\nforged"
	first := func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, refusal)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, forged)
		return true
	}
	server := newFakeBackend(t, first, okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	if response, body := f.do(http.MethodPost, "/order/1", strings.NewReader("two")); response.StatusCode != 200 || body != "yes" {
		t.Errorf("status %d, body %q; want the response to the second attempt", response.StatusCode, body)
	}
}
