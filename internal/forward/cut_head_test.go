package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/retry"
)

// Guards against a response that is made of a head which ends early, closed or reset: it would have an
// empty or short body that looks complete (issue 20, MIXED and ORDER).
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nA: b\r\nConnection: close\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"empty":     "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, linger := range []int{-1, 0} {
			t.Run(fmt.Sprintf("%s, linger %d", name, linger), func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					response, err := sendToCutting(t, head[:cut], linger)
					var failure *Error
					if !errors.As(err, &failure) || failure.Outcome != retry.Unknown {
						t.Errorf("head cut after %d of %d bytes: response %+v, error %v; want an attempt that may have run", cut, len(head), response, err)
					}
				}
			})
		}
	}
}

// sendToCutting sends a request to a server that answers with the given bytes and closes.
func sendToCutting(t *testing.T, answer string, linger int) (*Response, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		if linger == 0 {
			time.Sleep(2 * time.Millisecond) // else the reset overtakes the bytes
			_ = conn.(*net.TCPConn).SetLinger(linger)
		}
		_ = conn.Close()
	}()
	client := NewClient(nil)
	defer client.Close()
	header := &protocol.RequestHeader{}
	header.SetHost("server")
	return client.Send(context.Background(), &Request{
		Target: Target{Address: listener.Addr().String(), Connections: 20}, Header: header,
		Deadline: time.Now().Add(time.Second), MaxBuffered: 1 << 10,
	})
}

// Guards against heads of faulty servers that pass for responses: hertz accepts each of them (issue 40, MIXED).
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"status 999":         "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in name":      "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
		"blank before colon": "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length : 0\r\nContent-Length: 0\r\n\r\n",
		"control byte":       "HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 0\r\n\r\n",
		"folded line":        "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
	} {
		response, err := sendToCutting(t, answer, -1)
		var failure *Error
		if !errors.As(err, &failure) || failure.Outcome != retry.Unknown {
			t.Errorf("%s: response %+v, error %v; want an attempt that may have run", name, response, err)
		}
	}
}
