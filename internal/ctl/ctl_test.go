package ctl

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/internal/wire"
)

var (
	addresses = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	spaces    = regexp.MustCompile(` +`)
)

// TestSessions runs galenactl against fake control hosts. The command hosts sets one response per
// host, as STATUS BODY; "cut" closes the connection after the request, "down" refuses connections. "BODY || SERVERS" sets
// another body for the list of servers.
// ADDRESS stands for the address of the first host. With the argument no-settings, run leaves out --settings.
func TestSessions(t *testing.T) {
	t.Setenv("GALENACTL_SETTINGS", "")
	dir := t.TempDir()
	secret, list := filepath.Join(dir, "secret"), filepath.Join(dir, "list.yaml")
	routesFile := filepath.Join(dir, "routes.yaml")
	write(t, secret, "0123456789abcdef")
	write(t, list, "version: 2\n")
	write(t, routesFile, `{version: 2, base: 1, limits: {header_bytes: 1, body_bytes: 2, header_ms: 1, idle_ms: 1},
  services: [{name: s, health_path: /health}],
  routes: [{name: r, host: h, path_prefix: /, kind: once, timeout_ms: 9, shares: [{service: s, weight: 1}]}]}`)
	settings := filepath.Join(dir, "ctl.yaml")
	var hosts []string
	datadriven.RunTest(t, "testdata/sessions", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "hosts":
			hosts = nil
			for _, line := range strings.Split(d.Input, "\n") {
				hosts = append(hosts, startHost(t, line))
			}
			write(t, settings, fmt.Sprintf("operator_secret_file: %s\ncontrols: [%s]\n", secret, strings.Join(hosts, ", ")))
			return ""
		case "run":
			arguments := []string{"galenactl"}
			if !d.HasArg("no-settings") {
				arguments = append(arguments, "--settings", settings)
			}
			for _, argument := range strings.Fields(d.Input) {
				arguments = append(arguments, strings.NewReplacer("LIST", list, "ROUTES", routesFile, "ADDRESS", hosts[0]).Replace(argument))
			}
			var output bytes.Buffer
			code := Main(arguments, &output, &output)
			text := strings.ReplaceAll(output.String(), dir+"/", "")
			text = spaces.ReplaceAllString(addresses.ReplaceAllString(text, "HOST"), " ")
			return fmt.Sprintf("%sexit %d\n", text, code)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
	})
}

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func startHost(t *testing.T, line string) string {
	word, body, _ := strings.Cut(line, " ")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer 0123456789abcdef" || word == "cut" {
			panic(http.ErrAbortHandler)
		}
		var status int
		if _, err := fmt.Sscan(word, &status); err != nil {
			t.Error(err)
		}
		w.WriteHeader(status)
		body, servers, both := strings.Cut(body, " || ")
		if both && r.URL.Path == wire.PathFleetServers {
			body = servers
		}
		_, _ = w.Write([]byte(strings.ReplaceAll(body, "OPERATOR", r.Header.Get(headerOperator))))
	}))
	if word == "down" {
		server.Close()
	} else {
		t.Cleanup(server.Close)
	}
	return strings.TrimPrefix(server.URL, "http://")
}
