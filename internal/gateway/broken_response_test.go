package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resettingBackend answers as soon as it has the head of a request, with 200, no length and a part of a body. While
// the rest of the request is being sent it resets the connection.
func resettingBackend(t *testing.T) *fakeBackend {
	return newRawBackend(t, func(conn net.Conn, r *http.Request) {
		text := "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\n\r\npart of a body"
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Test-Id")))
		time.Sleep(20 * time.Millisecond) // else the reset discards the part
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
}

// Guards against a part of a body that passes for a complete response (issue 40, MIXED): the reset of the connection
// is reported to the writer of the request, and the reader then sees an orderly end.
func TestResetWhileRequestIsSentIsNoCompleteResponse(t *testing.T) {
	const uploadBytes = 12 << 20
	f := newFixture(t)
	f.publish(resettingBackend(t))
	for range 20 {
		if status, body, err := f.upload(uploadBytes); err == nil && status < 300 {
			t.Fatalf("status %d with the complete body %q of a response that was broken off; want a failure", status, body)
		}
	}
}

// Guards against a response that is refused although its connection ended in order: one without a length to a request
// that was sent completely.
func TestResponseWithoutLengthIsComplete(t *testing.T) {
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		return rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\n\r\nwhole body")(conn, r, body) && false
	})
	f := newFixture(t)
	f.publish(server)
	for _, size := range []int{0, 4 << 20} {
		if status, body, err := f.upload(size); status != 200 || body != "whole body" || err != nil {
			t.Errorf("upload of %d bytes: status %d, body %q, error %v; want the whole body", size, status, body, err)
		}
	}
}

// Guards against heads of faulty servers that reach the client as a response, or that are skipped so that the client
// waits until its deadline (issue 40, MIXED).
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const seal = "Test-Id: ID\r\nTest-Seal: s\r\n"
	for name, head := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab",
		"status 099":         "HTTP/1.1 099 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab",
		"status 999":         "HTTP/1.1 999 OK\r\n" + seal + "Content-Length: 2\r\n\r\nab",
		"switched protocols": "HTTP/1.1 101 Switching Protocols\r\n" + seal + "\r\nab",
		"blank in name":      "HTTP/1.1 200 OK\r\n" + seal + "Test Name: a\r\nContent-Length: 2\r\n\r\nab",
		"blank before colon": "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"control byte":       "HTTP/1.1 200 OK\r\n" + seal + "Test\x01: a\r\nContent-Length: 2\r\n\r\nab",
		"folded line":        "HTTP/1.1 200 OK\r\n" + seal + " Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				return rawResponse(head)(conn, r, body) && strings.Contains(head, "Content-Length")
			})
			f := newFixture(t)
			f.publish(server)
			if response, body := f.do("POST", "/order/1", nil); response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, fields %v, body %q; want 502", response.StatusCode, response.Header, body)
			}
		})
	}
}

// newRawBackend starts a backend server that reads only the heads of requests and closes its connections after one.
func newRawBackend(t *testing.T, answer func(net.Conn, *http.Request)) *fakeBackend {
	s := &fakeBackend{t: t}
	s.listenRaw(answer)
	return s
}

// upload sends a body of zeros and returns the status and the body of the response. The error is that of the exchange.
func (f *fixture) upload(size int) (status int, body string, err error) {
	r, err := http.NewRequest("POST", f.url+"/photo/1", bytes.NewReader(make([]byte, size)))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "depot.example"
	r.Header.Set("Test-Id", "a1")
	r.Header.Set("Test-Left", "5000")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// Guards against an empty 200 for a client that has closed only its sending side: its request was dropped, but it still
// reads (issue 40, MIXED).
func TestHalfClosedClientGetsNoEmptyResponse(t *testing.T) {
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(200 * time.Millisecond)
		return okResponse("yes")(conn, r, body)
	})
	f := newFixture(t)
	f.publish(server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: depot.example\r\nTest-Id: a1\r\nTest-Key: 7\r\nTest-Left: 900\r\n\r\n")
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(conn)
	if text := string(answer); strings.HasPrefix(text, "HTTP/1.1 200") && !strings.HasSuffix(text, "yes") {
		t.Errorf("the client got %q, want the whole response or none", text)
	}
}
