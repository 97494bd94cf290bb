package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Guards against a server that sends bytes without end in the head, in interim responses or in the
// trailer section: the attempt ends at a bound, and its outcome is unknown.
func TestEndlessResponseEndsAttempt(t *testing.T) {
	for name, parts := range map[string][2]string{
		"status line":       {"HTTP/1.1 200 O", "K"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go sendEndlessly(far, parts[0], parts[1])
				return near, nil
			})
			defer client.Close()
			header := &protocol.RequestHeader{}
			header.SetMethod("POST")
			header.SetRequestURI("/orders")
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := client.Send(ctx, &Request{
				Target: Target{Address: "server", Connections: 4}, Header: header, MaxBuffered: 1 << 20,
				Deadline: time.Now().Add(5 * time.Second), Repeatable: true,
			})
			var failure *Error
			if !errors.As(err, &failure) || failure.Reason != ReasonBroken || ctx.Err() != nil {
				t.Errorf("got error %v, want reason %s before the deadline", err, ReasonBroken)
			}
		})
	}
}

// sendEndlessly reads a request and writes until the connection is closed.
func sendEndlessly(conn net.Conn, begin, piece string) {
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for text := begin + piece; ; text = strings.Repeat(piece, 64) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
