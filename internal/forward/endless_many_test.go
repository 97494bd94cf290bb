package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// sendGet sends a GET request to a server whose connections client opens.
func sendGet(ctx context.Context, client *Client, maxBuffered int) (*Response, error) {
	header := &protocol.RequestHeader{}
	header.SetMethod("GET")
	header.SetRequestURI("/stock")
	return client.Send(ctx, &Request{
		Target: Target{Address: "server", Connections: 4000}, Header: header, MaxBuffered: maxBuffered,
		Deadline: time.Now().Add(20 * time.Second), Repeatable: true,
	})
}

// Guards against bodies without end of many responses at the same time: the host kept the first MiB of each, and
// ran out of memory with the requests of all its other clients.
func TestManyEndlessBodiesAreBounded(t *testing.T) {
	const (
		requests  = 400
		maxGrowth = 64 << 20 // bytes
	)
	chunk := []byte("8000\r\n" + strings.Repeat("z", 32<<10) + "\r\n")
	client := NewClient(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = far.Write(chunk)
			}
		}()
		return near, nil
	})
	defer client.Close()
	debug.FreeOSMemory()
	before := heapInUse()
	responses := make([]*Response, requests)
	var running sync.WaitGroup
	for i := range responses {
		running.Go(func() {
			response, err := sendGet(t.Context(), client, 1<<20)
			if err != nil {
				t.Error(err)
			}
			responses[i] = response
		})
	}
	running.Wait()
	if after := heapInUse(); after > before+maxGrowth {
		t.Errorf("%d responses: the heap grew from %d to %d bytes, want at most %d more", requests, before, after, maxGrowth)
	}
	for _, response := range responses {
		if response != nil {
			_ = response.Stream.Close()
		}
	}
	if !client.buffers.Idle() {
		t.Error("memory of bodies is still taken after all streams were closed")
	}
}

// heapInUse returns the bytes of the heap that are in use after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// A body is whole whether it is received before Send returns or after it, and memory for it is returned.
func TestLargeBodyIsWhole(t *testing.T) {
	for _, size := range []int{0, 100, 16 << 10, 100 << 10, 1 << 20, 1<<20 + 1} {
		for name, begin := range map[string]string{
			"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size),
			"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size),
		} {
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				end := ""
				if name == "chunks" {
					end = "\r\n0\r\n\r\n"
				}
				if size == 0 && name == "chunks" {
					end = "\r\n"
				}
				client := NewClient(func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						go func() { _, _ = io.Copy(io.Discard, far) }()
						_, _ = io.WriteString(far, begin+strings.Repeat("z", size)+end)
					}()
					return near, nil
				})
				defer client.Close()
				response, err := sendGet(t.Context(), client, 1<<20)
				if err != nil {
					t.Fatal(err)
				}
				got := response.Body
				if response.Stream != nil {
					got, err = io.ReadAll(response.Stream)
					_ = response.Stream.Close()
				}
				if err != nil || string(got) != strings.Repeat("z", size) {
					t.Errorf("%d bytes and error %v, want %d", len(got), err, size)
				}
				if !client.buffers.Idle() {
					t.Error("memory of the body is still taken after the stream was closed")
				}
			})
		}
	}
}
