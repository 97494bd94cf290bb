package peer

import (
	"context"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// maxStopTime is the processor time that a stop may use: a fraction of the 10 ms after which the runtime
// preempts a goroutine.
const maxStopTime = 2 * time.Millisecond

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a stop that keeps the processor busy until it is preempted: on one processor without
// preemption a control host never ended its stop (issue 20).
func TestStopKeepsNoProcessorBusy(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const stops = 40
	var used time.Duration
	for range stops {
		server, err := NewServer(ServerOptions{Listen: "127.0.0.1:0", Self: controlOne, Secret: testSecret, Handler: echo{}, Logger: discardLogger})
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		client, _ := startClient(t, ClientOptions{Address: server.Address()})
		if _, err := client.Call(t.Context(), kindEcho, nil); err != nil {
			t.Fatal(err)
		}
		client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		before := processorTime(t)
		if err := server.Stop(ctx); err != nil {
			t.Error(err)
		}
		used += processorTime(t) - before
		cancel()
	}
	if mean := used / stops; mean > maxStopTime {
		t.Errorf("a stop used %s of processor time, want at most %s", mean, maxStopTime)
	}
}
