package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

func crossRegionHost(t *testing.T, bytesPerSecond int) (*Host, *rawServer) {
	t.Helper()
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, func(s *settings.EntrySettings) {
		s.Region, s.RegionLinkBytesPerSecond = "lisboa", bytesPerSecond // the owner is in norte
	})
	return host, server
}

func TestPacedUploadArrivesWhole(t *testing.T) {
	host, server := crossRegionHost(t, 1_000_000)
	content := strings.Repeat("0123456789", 20_000)
	got := call(t, host, "PUT", "/v1/services/orders/batch", content, wire.HeaderKey, "k", wire.HeaderClass, "upload")
	if got.outcome != "answered" || server.bodies[0] != content {
		t.Errorf("got %+v, server received %d bytes", got, len(server.bodies[0]))
	}
	bytes := host.link.bytes()
	if bytes.BulkSent < int64(len(content)) || bytes.BulkReceived == 0 || bytes.InteractiveSent != 0 {
		t.Errorf("counted %+v", bytes)
	}
}

// TestLookupNotDelayedByUpload checks that a lookup is answered while an upload waits for capacity on a
// slow link.
func TestLookupNotDelayedByUpload(t *testing.T) {
	host, _ := crossRegionHost(t, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	const size = 64 * maxLinkChunkBytes
	request, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+host.Addr()+"/v1/services/orders/batch", strings.NewReader(strings.Repeat("p", size)))
	request.Header.Set(wire.HeaderKey, "k")
	request.Header.Set(wire.HeaderClass, "upload")
	ended := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		ended <- err
	}()
	for host.link.bytes().BulkSent < maxLinkChunkBytes {
		<-pollTick()
	}
	if got := call(t, host, "GET", "/v1/services/orders/stock", "", wire.HeaderKey, "k"); got.outcome != "answered" {
		t.Errorf("lookup: got %+v", got)
	}
	bytes := host.link.bytes()
	if bytes.BulkSent >= size || bytes.InteractiveSent == 0 || bytes.InteractiveReceived == 0 {
		t.Errorf("counted %+v", bytes)
	}
	metrics := do(t, mustGet(t, "http://"+host.AdminAddr()+"/metrics")).body
	if want := fmt.Sprintf(`{direction="sent",purpose="interactive"} %d`, bytes.InteractiveSent); !strings.Contains(metrics, want) {
		t.Errorf("metrics do not contain %s", want)
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("canceled upload succeeded")
	}
}
