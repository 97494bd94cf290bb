package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
)

// pacedConn is a connection that delivers bytes at a fixed rate.
type pacedConn struct {
	net.Conn
	bytesPerSecond float64
}

func (c pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 1<<10)])
	time.Sleep(time.Duration(float64(n) / c.bytesPerSecond * float64(time.Second)))
	return n, err
}

// Guards against connections that are closed although they make progress: a message takes longer than
// the idle time-out to pass a slow link.
func TestSlowMessageKeepsConnection(t *testing.T) {
	const size, rate = 150_000, 100_000
	limits := Limits{PingInterval: 100 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	recorder := newRecorder()
	server := startServer(t, &greeter{recorder, strings.Repeat("x", size)}, limits)
	notes := newRecorder()
	client, reconnected := startClient(t, ClientOptions{
		Address: server.Address(), Limits: limits, Handler: notes,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return pacedConn{conn, rate}, err
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := client.Call(ctx, wire.KindAnnounce, []byte("greet")); err != nil {
		t.Fatal(err)
	}
	select {
	case note := <-notes.notes:
		if len(note) != size {
			t.Errorf("received %d bytes, want %d", len(note), size)
		}
	case <-reconnected:
		t.Error("the connection was closed while a message arrived")
	case <-ctx.Done():
		t.Error("the message did not arrive")
	}
}

// greeter answers a call by a notification and then by the reply.
type greeter struct {
	*recorder
	greeting string
}

func (g *greeter) Call(_ context.Context, from *Conn, kind int, body []byte) ([]byte, error) {
	return body, from.Notify(kind, []byte(g.greeting))
}
