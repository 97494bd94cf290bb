package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

func TestOwnership(t *testing.T) {
	owned := newOwnership("first")
	datadriven.RunTest(t, "testdata/ownership", func(t *testing.T, d *datadriven.TestData) string {
		integer := func(name string) (value int) {
			d.MaybeScanArgs(t, name, &value)
			return value
		}
		now := time.Duration(integer("now")) * time.Millisecond
		grant := wire.Grant{Slot: integer("slot"), Token: uint64(integer("token"))}
		switch d.Cmd {
		case "renewed":
			incarnation := owned.incarnation
			d.MaybeScanArgs(t, "incarnation", &incarnation)
			sent := time.Duration(integer("sent")) * time.Millisecond
			reply := wire.AnnouncementReply{Session: uint64(integer("session")), LeaseMillis: integer("lease")}
			if owned.handleReply(incarnation, sent, reply) {
				owned.reset("second")
			}
			return fmt.Sprintf("session %d, lease until %s, incarnation %s\n", owned.session, owned.leaseEnd, owned.incarnation)
		case "apply":
			grants := wire.Grants{Session: uint64(integer("session")), Version: uint64(integer("version"))}
			grants.Held = parseGrants(t, d, "held")
			grants.Releasing = parseGrants(t, d, "releasing")
			return fmt.Sprintf("%t\n", owned.applyGrants(grants))
		case "begin":
			return resultOf(owned.begin(grant, now))
		case "recheck":
			return resultOf(owned.recheck(grant, now))
		case "end":
			owned.end(grant)
			return ""
		default:
			return fmt.Sprintln(owned.released())
		}
	})
}

func resultOf(reason string) string {
	if reason == "" {
		return "runs\n"
	}
	return reason + "\n"
}

func parseGrants(t *testing.T, d *datadriven.TestData, name string) []wire.Grant {
	var text string
	d.MaybeScanArgs(t, name, &text)
	grants := []wire.Grant{}
	for _, pair := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		var grant wire.Grant
		if _, err := fmt.Sscanf(pair, "%d:%d", &grant.Slot, &grant.Token); err != nil {
			t.Fatal(err)
		}
		grants = append(grants, grant)
	}
	return grants
}

// fakeEntry is an entry host with one session. The test sets the session and its grants.
type fakeEntry struct {
	*httptest.Server
	mu            sync.Mutex
	session       uint64
	grants        wire.Grants
	down          bool // announcements fail
	announcements chan wire.Announcement
}

func startEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{session: 1, announcements: make(chan wire.Announcement, 10000)}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var announcement wire.Announcement
		if err := json.NewDecoder(r.Body).Decode(&announcement); err != nil || r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(wire.AnnouncementReply{Session: e.session, LeaseMillis: 60000})
		e.announcements <- announcement
	})
	mux.HandleFunc(wire.PathGrants, func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.grants)
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// awaitAnnouncement reads announcements until one meets the condition.
func (e *fakeEntry) awaitAnnouncement(condition func(wire.Announcement) bool) wire.Announcement {
	for {
		if announcement := <-e.announcements; condition(announcement) {
			return announcement
		}
	}
}

type fixture struct {
	*Server
	entry *fakeEntry
	now   atomic.Int64
	file  string
}

func startFixture(t *testing.T, change func(*settings.BackendSettings)) *fixture {
	f := &fixture{entry: startEntry(t), file: filepath.Join(t.TempDir(), "history")}
	f.entry.grants = wire.Grants{Session: 1, Version: 1, Held: []wire.Grant{{Slot: 5, Token: 20}}}
	f.now.Store(int64(time.Second))
	s := settings.BackendSettings{
		Name: "server-1", Service: "wheel-swap", Listen: "127.0.0.1:0", Keyed: true, Fencing: true,
		Entries: []string{"127.0.0.1:1", strings.TrimPrefix(f.entry.URL, "http://")}, // nothing listens on the first address
		Slots:   2, Connections: 4, HeartbeatMs: 10, HistoryFile: &f.file,
	}
	if change != nil {
		change(&s)
	}
	logger := &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	server, err := New(Options{Settings: s, Secret: []byte("secret"), Logger: logger, Clock: func() time.Duration { return time.Duration(f.now.Load()) }})
	if err != nil {
		t.Fatal(err)
	}
	f.Server = server
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	f.entry.awaitAnnouncement(func(a wire.Announcement) bool { return a.GrantsVersion == 1 })
	return f
}

func (f *fixture) sendOrder(t *testing.T, token uint64, header ...string) (status int, refused string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.Address()+"/orders", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(wire.HeaderSlot, "5")
	request.Header.Set(wire.HeaderToken, strconv.FormatUint(token, 10))
	request.Header.Set(wire.HeaderIdempotencyKey, "voucher-1")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(wire.HeaderRefused)
}

func TestRequestRunsOnlyUnderHeldGrant(t *testing.T) {
	f := startFixture(t, nil)
	for _, test := range []struct {
		token   uint64
		header  []string
		refused string
	}{
		{token: 20},
		{token: 19, refused: wire.RefusedStaleToken},
		{token: 21, refused: wire.RefusedNotOwner},
		{token: 20, header: []string{wire.HeaderSlot, "6"}, refused: wire.RefusedNotOwner},
		{token: 20, header: []string{wire.HeaderSlot, ""}, refused: wire.RefusedNotOwner},
		{token: 20, header: []string{wire.HeaderDeadlineMillis, "0"}, refused: wire.RefusedDeadline},
	} {
		status, refused := f.sendOrder(t, test.token, test.header...)
		if refused != test.refused || (refused == "") != (status == http.StatusOK) {
			t.Errorf("%+v: got status %d, refusal reason %q", test, status, refused)
		}
	}
	content, err := os.ReadFile(f.file)
	if err != nil {
		t.Fatal(err)
	}
	if f.Runs("voucher-1") != 1 || strings.Count(string(content), "\n") != 1 || !strings.Contains(string(content), `"token":20`) {
		t.Fatalf("got %d runs, want 1 with token 20 in the history: %s", f.Runs("voucher-1"), content)
	}
}

// A request that waits while the server is frozen must not run if the lease expired in the meantime.
func TestFrozenServerLosesLease(t *testing.T) {
	f := startFixture(t, nil)
	f.entry.set(func() { f.entry.down = true })
	f.Freeze()
	refused := make(chan string, 1)
	go func() {
		_, reason := f.sendOrder(t, 20)
		refused <- reason
	}()
	f.now.Add(int64(2 * time.Minute))
	f.Unfreeze()
	if reason := <-refused; reason != wire.RefusedNotOwner {
		t.Fatalf("refusal reason after the lease expired: got %q, want %q", reason, wire.RefusedNotOwner)
	}
	if runs := f.Runs("voucher-1"); runs != 0 {
		t.Fatalf("the refused request ran %d times", runs)
	}
}

func TestNewIncarnationAfterSessionEnd(t *testing.T) {
	f := startFixture(t, nil)
	former := (<-f.entry.announcements).Incarnation
	f.entry.set(func() { f.entry.session = 0 })
	f.entry.awaitAnnouncement(func(a wire.Announcement) bool { return a.Incarnation != former && a.Session == 0 })
	if _, refused := f.sendOrder(t, 20); refused != wire.RefusedNotOwner {
		t.Fatalf("refusal reason after the session ended: got %q, want %q", refused, wire.RefusedNotOwner)
	}
}

// Requests beyond the connection limit are shed. A draining server reports its releasing grants as
// released and stops once it has no grants.
func TestSheddingAndDrain(t *testing.T) {
	f := startFixture(t, func(s *settings.BackendSettings) { s.Slots, s.Connections = 1, 2 })
	f.Freeze()
	refused := make(chan string, 2)
	for range 2 {
		go func() {
			_, reason := f.sendOrder(t, 20)
			refused <- reason
		}()
	}
	for f.currentLoad() < 2 {
		time.Sleep(time.Millisecond)
	}
	if reason := f.admit(); reason != wire.RefusedShedding {
		t.Fatalf("refusal reason at the connection limit: got %q, want %q", reason, wire.RefusedShedding)
	}
	f.Unfreeze()
	refusals := []string{<-refused, <-refused}
	sort.Strings(refusals)
	if refusals[0] != "" || refusals[1] != "" {
		t.Fatalf("refusal reasons of the queued requests: got %q, want none", refusals)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.Stop(context.Background()) }()
	f.entry.awaitAnnouncement(func(a wire.Announcement) bool { return a.Draining && len(a.Released) == 0 })
	grant := wire.Grant{Slot: 5, Token: 20}
	f.entry.set(func() { f.entry.grants = wire.Grants{Session: 1, Version: 2, Releasing: []wire.Grant{grant}} })
	f.entry.awaitAnnouncement(func(a wire.Announcement) bool { return len(a.Released) == 1 && a.Released[0] == grant })
	f.entry.set(func() { f.entry.grants = wire.Grants{Session: 1, Version: 3} })
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

func (s *Server) currentLoad() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}
