package fleet

import (
	"net"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/peer"
)

// Guards against a stop that never ends: closing the connections waited for a dial that waited for the
// same mutex.
func TestCloseEndsWhileConnectionsAreMade(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	for i := range 200 {
		p := newPeers(peer.Identity{Name: "a", Role: peer.RoleControl}, nil, peer.NewMetrics(nil))
		p.client(listener.Addr().String())
		time.Sleep(time.Duration(i) * 5 * time.Microsecond)
		closed := make(chan struct{})
		go func() {
			p.close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(waitTimeout):
			t.Fatalf("not closed %s after the call", waitTimeout)
		}
	}
}
