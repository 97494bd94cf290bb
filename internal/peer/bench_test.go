package peer

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// echo answers a call with its body.
type echo struct{}

func (echo) Call(_ context.Context, _ *Conn, _ int, body []byte) ([]byte, error) { return body, nil }
func (echo) Notify(*Conn, int, []byte)                                           {}
func (echo) Closed(*Conn)                                                        {}

// BenchmarkCall measures the CPU time of one call, client and server together, by the number of
// concurrent calls on a connection.
func BenchmarkCall(b *testing.B) {
	server, err := NewServer(ServerOptions{Listen: "127.0.0.1:0", Self: controlOne, Secret: testSecret, Handler: echo{}, Logger: discardLogger})
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Stop(context.Background()) }()
	client := NewClient(ClientOptions{Address: server.Address(), Self: entryOne, ExpectedName: controlOne.Name, Secret: testSecret, Logger: discardLogger})
	defer client.Close()
	for !client.Connected() {
		time.Sleep(time.Millisecond)
	}
	for _, workers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			const calls = 4096
			before := cpuTime(b)
			for b.Loop() {
				callAll(b, client, workers, calls/workers)
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N*calls), "cpu-us/call")
		})
	}
}

func callAll(b *testing.B, client *Client, workers, calls int) {
	var calling sync.WaitGroup
	body := make([]byte, 242) // size of a wire.Announcement
	for range workers {
		calling.Go(func() {
			for range calls {
				if _, err := client.Call(b.Context(), kindEcho, body); err != nil {
					b.Error(err)
				}
			}
		})
	}
	calling.Wait()
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
