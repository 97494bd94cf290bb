package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// startRawStream starts a server for one request and calls readBody with the body as it arrives.
func startRawStream(t *testing.T, readBody func(body io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			readBody(bytes.NewReader(nil))
			return
		}
		readBody(request.Body)
		writeRaw(c, okResponse)
	}()
	return listener.Addr().String()
}

// TestPlannedStopFinishesUpload checks that a shutdown waits for an upload in progress, and that the
// upload arrives completely.
func TestPlannedStopFinishesUpload(t *testing.T) {
	const size = 8 << 20
	half := make(chan struct{})
	sums := make(chan string, 1)
	server := startRawStream(t, func(body io.Reader) {
		hash := sha256.New()
		_, _ = io.CopyN(hash, body, size/2)
		close(half)
		_, _ = io.Copy(hash, body)
		sums <- fmt.Sprintf("%x", hash.Sum(nil))
	})
	deps := newFakeDependencies()
	deps.setOwner(server, 7)
	host := startHost(t, deps, func(s *settings.EntrySettings) { s.UnreadySeconds = 1 })
	content := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	reader, writer := io.Pipe()
	request, _ := http.NewRequest("PUT", "http://"+host.Addr()+"/v1/services/orders/batch", reader)
	request.ContentLength = size
	request.Header.Set(wire.HeaderKey, "k")
	request.Header.Set(wire.HeaderClass, "upload")
	responses := make(chan callerResponse, 1)
	go func() { responses <- do(t, request) }()
	_, _ = writer.Write(content[:size/2])
	<-half
	var almostSent atomic.Bool // all but the last byte of the upload was sent
	stopped := make(chan error, 1)
	go func() {
		err := host.Stop(context.Background())
		if err == nil && !almostSent.Load() {
			err = errors.New("the host stopped before the upload ended")
		}
		stopped <- err
	}()
	<-host.stopStarted
	if ready := do(t, mustGet(t, "http://"+host.AdminAddr()+"/ready")); ready.status != 503 {
		t.Errorf("/ready returned %d during the shutdown", ready.status)
	}
	// The listener is still open, and responses ask callers to close their connections.
	if got := call(t, host, "GET", "/v1/services/nobody/x", ""); got.status != 404 || !got.closes {
		t.Errorf("request during the unready period: got %+v", got)
	}
	for dialError(host.Addr()) == nil {
		time.Sleep(time.Millisecond) // polls until the listener is closed
	}
	_, _ = writer.Write(content[size/2 : size-1])
	almostSent.Store(true)
	_, _ = writer.Write(content[size-1:])
	_ = writer.Close()
	if got := <-responses; got.status != 200 || got.outcome != "answered" {
		t.Errorf("upload: got %+v", got)
	}
	if want := fmt.Sprintf("%x", sha256.Sum256(content)); <-sums != want {
		t.Error("the server received a different body")
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// dialError returns the error of connecting to the address, or nil if it accepts connections.
func dialError(address string) error {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err
}

func mustGet(t *testing.T, url string) *http.Request {
	t.Helper()
	request, err := http.NewRequest("GET", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// TestRecordedUploadRunsOnce sends an upload twice with the same idempotency key, and then another one
// with a different Digest.
func TestRecordedUploadRunsOnce(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	upload := func(digest string) callerResponse {
		return call(t, host, "PUT", "/v1/services/orders/batch", string(bytes.Repeat([]byte("p"), 3<<20)),
			wire.HeaderKey, "k", wire.HeaderClass, "upload", wire.HeaderIdempotencyKey, "a", "Digest", digest)
	}
	if got := upload("sha-256=1"); got.outcome != "answered" {
		t.Fatalf("upload: got %+v", got)
	}
	<-deps.finished
	if got := upload("sha-256=1"); got.body != "ok" {
		t.Errorf("resend: got %+v", got)
	}
	if got := upload("sha-256=2"); got.status != 422 {
		t.Errorf("different Digest: got %+v", got)
	}
	if server.runs() != 1 {
		t.Errorf("%d runs", server.runs())
	}
}
