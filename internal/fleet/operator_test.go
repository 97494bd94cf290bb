package fleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

const routesText = `base: 0
version: 4
routes:
- {name: stock, host: a.example, path_prefix: /stock/, kind: idempotent, timeout_ms: 1200, max_attempts: 2, shares: [{service: stock, weight: 1}]}
services:
- {name: stock, health_path: /health, keyed: true}
limits: {header_bytes: 16384, body_bytes: 67108864, header_ms: 3000, idle_ms: 15000}
`

// operatorCall sends one HTTP request and returns the status and body of the response.
func operatorCall(t *testing.T, server *httptest.Server, method, credential, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+"/galena/v1/routes", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+credential)
	return send(t, server, r)
}

// send sends a request and returns the status and body of the response.
func send(t *testing.T, server *httptest.Server, r *http.Request) (int, string) {
	t.Helper()
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

func TestOperatorsReadAndReplaceRoutesAtAnyHost(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	for _, h := range c.hosts {
		server := httptest.NewServer(h.OperatorAPI(nil, true))
		t.Cleanup(server.Close)
		// Putting an accepted change again is accepted at every host.
		c.wait("change to be accepted at "+h.name, func() bool {
			status, body := operatorCall(t, server, "PUT", "", routesText)
			return status == http.StatusOK && body == `{"outcome":"accepted","version":4}`
		})
		status, body := operatorCall(t, server, "GET", "", "")
		if status != http.StatusOK || !strings.Contains(body, "version: 4") || !strings.Contains(body, "base: 4") {
			t.Errorf("GET at %s: got %d %s, want 200 with version 4 and base 4", h.name, status, body)
		}
		conflicting := strings.Replace(routesText, "version: 4", "version: 5", 1)
		status, body = operatorCall(t, server, "PUT", "", conflicting)
		if status != http.StatusConflict || !strings.Contains(body, "another version is in force: 4") {
			t.Errorf("PUT on an old base: got %d %s, want 409 that names version 4", status, body)
		}
		status, body = operatorCall(t, server, "PUT", "", strings.Replace(routesText, "kind: idempotent", "kind: safe", 1))
		if status != http.StatusBadRequest || !strings.Contains(body, "kind") {
			t.Errorf("PUT with an invalid kind: got %d %s, want 400 that names the field", status, body)
		}
	}
}

// Guards against a list without the servers that only the leader hears, and against servers without their region: the check of a
// route configuration would report services without servers.
func TestOperatorsReadServersAtAnyHost(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader, sequence := c.leader(), int64(0)
	want := `{"servers":[` +
		`{"domain":"d2","draining":false,"id":"s1","region":"r1","service":"stock","slots":4},` +
		`{"domain":"d9","draining":false,"id":"s2","region":"","service":"stock","slots":6}]}`
	for _, h := range c.hosts {
		server := httptest.NewServer(h.OperatorAPI(nil, true))
		t.Cleanup(server.Close)
		c.wait("the servers at "+h.name, func() bool {
			sequence++
			for _, s := range []keyrange.Server{
				{ID: "s1", Service: "stock", Domain: "d2", Address: "s1:80", Slots: 4, StartMillis: 1},
				{ID: "s2", Service: "stock", Domain: "d9", Address: "s2:80", Slots: 6, StartMillis: 1},
			} {
				_, _ = leader.Heartbeat(t.Context(), keyrange.Heartbeat{Server: s, Sequence: sequence})
			}
			r, err := http.NewRequest(http.MethodGet, server.URL+wire.PathFleetServers, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, body := send(t, server, r)
			if strings.Contains(body, `"s2"`) && body != want {
				t.Errorf("%s: got %s, want %s", h.name, body, want)
			}
			return body == want
		})
	}
}

func TestOperatorAPIRequiresCredential(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	for _, e := range []struct {
		name       string
		secret     string
		open       bool
		credential string
		want       int
	}{
		{"right", "0123456789abcdef", true, "0123456789abcdef", http.StatusOK},
		{"wrong", "0123456789abcdef", true, "0123456789abcdeX", http.StatusUnauthorized},
		{"missing", "0123456789abcdef", true, "", http.StatusUnauthorized},
		{"none set, closed network", "", false, "", http.StatusUnauthorized},
		{"none set, open network", "", true, "", http.StatusOK},
	} {
		server := httptest.NewServer(c.hosts["127.0.0.1"].OperatorAPI([]byte(e.secret), e.open))
		if status, body := operatorCall(t, server, "PUT", e.credential, routesText); status != e.want {
			t.Errorf("%s: got %d %s, want %d", e.name, status, body, e.want)
		}
		server.Close()
	}
}
