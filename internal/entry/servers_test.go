package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/galenalug/galenalug/internal/wire"
)

// pollTick returns the delay between two checks of a polling loop.
func pollTick() <-chan time.Time { return time.After(time.Millisecond) }

const goodAnnouncement = `{"name":"s1","service":"orders","region":"norte","domain":"norte-a","incarnation":"i1",` +
	`"address":"10.0.0.1:80","slots":6,"connections":110,"keyed":true,"fencing":true}`

func TestServerEndpoints(t *testing.T) {
	deps := newFakeDependencies()
	host := startHost(t, deps, nil)
	grants := wire.PathGrants + "?name=s1&session=5&after=2"
	cases := []struct {
		method, path, body, secret string
		status                     int
		contains                   string
	}{
		{"POST", wire.PathAnnounce, goodAnnouncement, "server", 200, `"session":5`},
		{"POST", wire.PathAnnounce, goodAnnouncement, "wrong", 401, "credential"},
		{"POST", wire.PathAnnounce, goodAnnouncement, "", 401, "credential"},
		{"POST", wire.PathAnnounce, "{", "server", 400, "JSON"},
		{"POST", wire.PathAnnounce, strings.Replace(goodAnnouncement, "10.0.0.1:80", "host:80", 1), "server", 400, "address"},
		{"POST", wire.PathAnnounce, strings.Replace(goodAnnouncement, `"slots":6`, `"slots":0`, 1), "server", 400, "slots"},
		{"POST", wire.PathAnnounce, strings.Replace(goodAnnouncement, `"s1"`, `"s 1"`, 1), "server", 400, "name"},
		{"POST", wire.PathAnnounce, strings.Repeat(" ", maxAnnouncementBytes+1), "server", 413, "bytes"},
		{"GET", grants, "", "server", 200, `"version":3`},
		{"GET", grants, "", "wrong", 401, "credential"},
		{"GET", wire.PathGrants + "?name=s1&session=0", "", "server", 400, "session"},
		{"GET", grants + "&wait_ms=99999999", "", "server", 400, "wait_ms"},
	}
	for _, tc := range cases {
		got := call(t, host, tc.method, tc.path, tc.body, "Authorization", "Bearer "+tc.secret)
		if got.status != tc.status || !strings.Contains(got.body, tc.contains) {
			t.Errorf("%s %s with credential %q: got %d %s", tc.method, tc.path, tc.secret, got.status, got.body)
		}
	}
	if deps.announced.Slots != 6 || !deps.announced.Fencing {
		t.Errorf("announced %+v", deps.announced)
	}
}

func TestOperatorEndpoints(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	placeOrder(t, host)
	for path, want := range map[string]string{
		"/ready":   "ready",
		"/metrics": `galena_entry_requests_total{class="order",outcome="answered",service="orders"} 1`,
		"/dump":    `"session":7`,
	} {
		request := mustGet(t, "http://"+host.AdminAddr()+path)
		request.Header.Set("Authorization", "Bearer operator")
		if got := do(t, request); got.status != 200 || !strings.Contains(got.body, want) {
			t.Errorf("%s: got %+v", path, got)
		}
	}
	if got := do(t, mustGet(t, "http://"+host.AdminAddr()+"/dump")); got.status != 401 {
		t.Errorf("/dump without a credential: got %d", got.status)
	}
}

// FuzzParseInput checks that no header makes parsing panic, and that accepted requests are within the
// configured limits.
func FuzzParseInput(f *testing.F) {
	f.Add("GET", "/v1/services/orders/a?b=c", "k", "maker", "lookup", "true", "100", "id")
	f.Add("POST", "//v1/services/", "\x00", "a b", "", "", "-1", "")
	config := hostConfig{defaultDeadline: time.Second, maxDeadline: 2 * time.Second, maxBodyBytes: 10, maxUploadBytes: 20}
	f.Fuzz(func(t *testing.T, method, uri, key, customer, class, repeatable, deadline, id string) {
		header := &protocol.RequestHeader{}
		header.SetMethod(method)
		header.SetRequestURI(uri)
		for name, value := range map[string]string{
			wire.HeaderKey: key, wire.HeaderCustomer: customer, wire.HeaderClass: class,
			wire.HeaderRepeatable: repeatable, wire.HeaderDeadlineMillis: deadline, wire.HeaderIdempotencyKey: id,
		} {
			header.Set(name, value)
		}
		now := time.Unix(0, 0)
		in, failure := parseInput(header, now, config)
		if failure != nil {
			if failure.outcome.String() != wire.OutcomeNotRun || failure.status < 400 {
				t.Fatalf("refused with %+v", failure)
			}
			return
		}
		if !validName(in.service) || in.target[0] != '/' || strings.ContainsAny(in.target, " \r\n") {
			t.Fatalf("accepted service %q, target %q", in.service, in.target)
		}
		if in.class.String() != "upload" && in.deadline.Sub(now) > config.maxDeadline {
			t.Fatalf("accepted deadline %v", in.deadline)
		}
	})
}
