package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/galenalug/galenalug/internal/backend"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// startBackend starts a backend server that does not check fencing tokens.
func startBackend(t *testing.T, name string, host *Host) *backend.Server {
	t.Helper()
	server, err := backend.New(backend.Options{Secret: []byte("server"), Settings: settings.BackendSettings{
		Name: name, Service: "orders", Region: "norte", Domain: "norte-a", Listen: "127.0.0.1:0", Entries: []string{host.Addr()},
		Slots: 6, Connections: 110, HeartbeatMs: 100, Keyed: true,
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

const (
	partBytes = 100_000
	batchPath = "/v1/services/orders/uploads/swatches-1"
)

var batchContent = bytes.Repeat([]byte("swatch photo "), 3*partBytes/13+1)[:3*partBytes]

func batchPart(number int) string {
	return string(batchContent[number*partBytes : (number+1)*partBytes])
}

func digestOf(content string) string { return wire.FormatDigest(sha256.Sum256([]byte(content))) }

func sendPart(t *testing.T, host *Host, number int, header ...string) callerResponse {
	t.Helper()
	content := batchPart(number)
	header = append([]string{wire.HeaderKey, "k", wire.HeaderContentDigest, digestOf(content)}, header...)
	return call(t, host, "PUT", batchPath+"/parts/"+strconv.Itoa(number*partBytes), content, header...)
}

func commit(t *testing.T, host *Host, header ...string) callerResponse {
	t.Helper()
	header = append([]string{
		wire.HeaderKey, "k", wire.HeaderUploadLength, strconv.Itoa(len(batchContent)), wire.HeaderReprDigest, digestOf(string(batchContent)),
	}, header...)
	return call(t, host, "POST", batchPath+"/commit", "", header...)
}

// expect checks status, outcome and confirmed offset; -1 for no offset.
func (r callerResponse) expect(t *testing.T, what string, status int, outcome string, offset int) {
	t.Helper()
	want := ""
	if offset >= 0 {
		want = strconv.Itoa(offset)
	}
	if got := r.header.Get(wire.HeaderUploadOffset); r.status != status || r.outcome != outcome || got != want {
		t.Errorf("%s: got %d %s, offset %q (%s), want %d %s, offset %q", what, r.status, r.outcome, got, r.body, status, outcome, want)
	}
}

// TestUploadResumes interrupts an upload within a part, resumes it through another entry host, sends a
// part twice, and commits through both hosts.
func TestUploadResumes(t *testing.T) {
	deps := newFakeDependencies()
	first, second := startHost(t, deps, nil), startHost(t, deps, nil)
	server := startBackend(t, "s1", first)
	deps.setOwner(server.Address(), 7)
	status := func(host *Host) callerResponse { return call(t, host, "GET", batchPath, "", wire.HeaderKey, "k") }
	status(first).expect(t, "no part", 200, "answered", 0)
	sendPart(t, first, 0).expect(t, "first part", 200, "answered", partBytes)
	sendHalfPart(t, first, batchPart(1))
	status(second).expect(t, "after the interruption", 200, "answered", partBytes)
	commit(t, second).expect(t, "too early", 409, "not-run", -1)
	<-deps.finished
	sendPart(t, second, 2).expect(t, "gap", 409, "answered", partBytes)
	sendPart(t, second, 1, wire.HeaderContentDigest, digestOf("other")).expect(t, "part with a wrong digest", 422, "not-run", -1)
	sendPart(t, second, 1).expect(t, "second part", 200, "answered", 2*partBytes)
	sendPart(t, first, 1).expect(t, "second part again", 200, "answered", 2*partBytes)
	sendPart(t, first, 2).expect(t, "third part", 200, "answered", 3*partBytes)
	commit(t, first, wire.HeaderReprDigest, digestOf("other")).expect(t, "batch with a wrong digest", 422, "not-run", -1)
	<-deps.finished
	commit(t, first).expect(t, "commit", 200, "answered", 3*partBytes)
	<-deps.finished
	resent := commit(t, second)
	if resent.status != 200 || !strings.Contains(resent.body, `"runs":1`) || server.Runs("swatches-1") != 1 {
		t.Errorf("resent commit: got %+v, %d runs", resent, server.Runs("swatches-1"))
	}
	commit(t, second, wire.HeaderReprDigest, digestOf("other")).expect(t, "another batch with the id", 422, "not-run", -1)
}

// sendHalfPart sends half of a part and closes the connection.
func sendHalfPart(t *testing.T, host *Host, content string) {
	t.Helper()
	c, err := net.Dial("tcp", host.Addr())
	if err != nil {
		t.Fatal(err)
	}
	writeRaw(c, "PUT "+batchPath+"/parts/"+strconv.Itoa(partBytes)+" HTTP/1.1\nHost: x\nGalena-Key: k\nContent-Digest: "+
		digestOf(content)+"\nContent-Length: "+strconv.Itoa(len(content))+"\n\n"+content[:len(content)/2])
	_ = c.Close()
}

// TestUploadOwnerChanges moves the key between two parts. The new owner has no parts, so the upload
// must start again.
func TestUploadOwnerChanges(t *testing.T) {
	deps := newFakeDependencies()
	host := startHost(t, deps, nil)
	before, after := startBackend(t, "s1", host), startBackend(t, "s2", host)
	deps.setOwner(before.Address(), 7)
	sendPart(t, host, 0).expect(t, "first part", 200, "answered", partBytes)
	deps.setOwner(after.Address(), 8)
	sendPart(t, host, 1).expect(t, "second part", 409, "answered", 0)
	commit(t, host).expect(t, "commit", 409, "not-run", -1)
	<-deps.finished
	for number := range 3 {
		sendPart(t, host, number).expect(t, "again", 200, "answered", (number+1)*partBytes)
	}
	commit(t, host).expect(t, "commit", 200, "answered", 3*partBytes)
	if before.Runs("swatches-1") != 0 || after.Runs("swatches-1") != 1 {
		t.Errorf("%d runs at the old owner and %d at the new one", before.Runs("swatches-1"), after.Runs("swatches-1"))
	}
}

// TestPlannedStopFinishesPart shuts an entry host down in the middle of a part. The part must be
// confirmed, and the upload continues through another host.
func TestPlannedStopFinishesPart(t *testing.T) {
	deps := newFakeDependencies()
	first, second := startHost(t, deps, nil), startHost(t, deps, nil)
	server := startBackend(t, "s1", first)
	deps.setOwner(server.Address(), 7)
	content := batchPart(0)
	reader, writer := io.Pipe()
	request, _ := http.NewRequest("PUT", "http://"+first.Addr()+batchPath+"/parts/0", reader)
	request.ContentLength = int64(len(content))
	request.Header.Set(wire.HeaderKey, "k")
	request.Header.Set(wire.HeaderContentDigest, digestOf(content))
	responses := make(chan callerResponse, 1)
	go func() { responses <- do(t, request) }()
	_, _ = io.WriteString(writer, content[:partBytes/2])
	for first.inFlight.Load() == 0 {
		<-pollTick()
	}
	stopped := make(chan error, 1)
	go func() { stopped <- first.Stop(context.Background()) }()
	for dialError(first.Addr()) == nil {
		<-pollTick()
	}
	_, _ = io.WriteString(writer, content[partBytes/2:])
	_ = writer.Close()
	got := <-responses
	got.expect(t, "first part", 200, "answered", partBytes)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	sendPart(t, second, 1).expect(t, "second part", 200, "answered", 2*partBytes)
}

// TestUploadServerSelection checks, for a service that is not partitioned by key, that all entry
// hosts select the same server for a batch, and that they use the server that the caller names.
func TestUploadServerSelection(t *testing.T) {
	deps := newFakeDependencies()
	first, second := startHost(t, deps, nil), startHost(t, deps, nil)
	path := strings.Replace(batchPath, "orders", "photos", 1)
	var servers []Server
	for _, name := range []string{"s1", "s2", "s3"} {
		server := startBackend(t, name, first)
		servers = append(servers, Server{
			Session: uint64(len(servers) + 1), Group: "norte", Name: name, Service: "photos", Address: server.Address(), Region: "norte", Slots: 6, Connections: 110,
		})
	}
	deps.setPhotos(servers)
	content := batchPart(0)
	got := call(t, first, "PUT", path+"/parts/0", content, wire.HeaderContentDigest, digestOf(content))
	got.expect(t, "first part", 200, "answered", partBytes)
	holder := got.header.Get(wire.HeaderUploadServer)
	call(t, second, "GET", path, "").expect(t, "through another host", 200, "answered", partBytes)
	for _, server := range servers {
		want := 0
		if server.Name == holder {
			want = partBytes
		}
		call(t, second, "GET", path, "", wire.HeaderUploadServer, server.Name).expect(t, server.Name, 200, "answered", want)
	}
}

func TestParseUploads(t *testing.T) {
	host := startHost(t, newFakeDependencies(), nil)
	for _, header := range [][]string{
		{wire.HeaderUploadLength, "many"},
		{wire.HeaderReprDigest, "md5=:AA==:"},
		{wire.HeaderIdempotencyKey, "another"},
		{wire.HeaderRepeatable, "true"},
	} {
		commit(t, host, header...).expect(t, header[0], 400, "not-run", -1)
	}
	sendPart(t, host, 0, wire.HeaderContentDigest, "").expect(t, "part", 400, "not-run", -1)
}
