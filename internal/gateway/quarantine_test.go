package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/quarantine"
)

// orderFingerprint is the fingerprint of the order "two" that fixture.do sends.
var orderFingerprint = quarantine.Fingerprint([]byte("POST"), []byte("depot.example"), []byte("/order/1"), []byte("7"), nil, []byte("two"))

func (f *fixture) suspectOrder(crashes int64, quarantined time.Duration) {
	f.host.evidence.apply(quarantine.Update{Entries: []quarantine.Entry{
		{Request: orderFingerprint, Crashes: crashes, QuarantineMillis: quarantined.Milliseconds()},
	}})
}

// order sends the order "two" and returns the status.
func (f *fixture) order() int {
	response, _ := f.do(http.MethodPost, "/order/1", strings.NewReader("two"))
	return response.StatusCode
}

func (f *fixture) pendingReport() quarantine.Report {
	report, _ := f.host.evidence.takeReport()
	return report
}

// Guards against a quarantined request that reaches a server. Another body is another request.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	f.suspectOrder(3, time.Minute)
	response, _ := f.do(http.MethodPost, "/order/1", strings.NewReader("two"))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || server.count() != 0 {
		t.Errorf("status %d, %d requests at the server; want a refusal", response.StatusCode, server.count())
	}
	if response, _ := f.do(http.MethodPost, "/order/1", strings.NewReader("three")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d for another order, want 200", response.StatusCode)
	}
}

// The end of a server's process is reported with the requests that it had, so that the leader can combine
// the reports of all gateways.
func TestServerThatEndsIsReportedWithItsRequests(t *testing.T) {
	var server *fakeBackend
	server = newFakeBackend(t, func(net.Conn, *http.Request, []byte) bool {
		_ = server.listener.Close() // the process ends
		return false
	})
	f := newFixture(t)
	f.publish(server)
	if status := f.order(); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the order may have run", status)
	}
	time.Sleep(10 * endCheckDelay)
	crashes := f.pendingReport().Crashes
	if len(crashes) != 1 || crashes[0].ServerID != "s1" || len(crashes[0].Requests) != 1 || crashes[0].Requests[0] != orderFingerprint {
		t.Errorf("reported crashes: %+v", crashes)
	}
}

// Guards against a reset connection that counts as the crash of a server.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	server := newFakeBackend(t, closeConnection)
	f := newFixture(t)
	f.publish(server)
	_ = f.order()
	time.Sleep(10 * endCheckDelay)
	if crashes := f.pendingReport().Crashes; len(crashes) != 0 {
		t.Errorf("reported crashes: %+v, want none", crashes)
	}
}

// A suspected request is sent although no leader can be asked, and its answer is reported, which clears it.
func TestAnswerClearsSuspectedRequest(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	f.suspectOrder(1, 0)
	if status := f.order(); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if answered := f.pendingReport().Answered; len(answered) != 1 || answered[0] != orderFingerprint {
		t.Errorf("reported answers: %v", answered)
	}
}

// Guards against a request that crashes a last server while its gateway can't ask the leader.
func TestRequestAtTwoCrashesWaitsForALeader(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	f.suspectOrder(2, 0)
	if status := f.order(); status != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d, %d requests at the server; want a refusal", status, server.count())
	}
}
