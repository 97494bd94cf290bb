package routes

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func validConfig(version uint64) Config {
	return Config{
		Version:  version,
		Services: []Service{{Name: "stock", MaxConnections: 10, Keyed: true}, {Name: "photos", MaxConnections: 10}},
		Routes: []Route{
			{Name: "all", Host: "Depot.example", PathPrefix: "/", Kind: Idempotent, TimeoutMillis: 800, TargetMillis: 300, MaxAttempts: 2, Shares: []Share{{Service: "stock", Weight: 1}}},
			{Name: "orders", Host: "depot.example", PathPrefix: "/orders/", Kind: Once, TimeoutMillis: 800, TargetMillis: 300, MaxAttempts: 1, Shares: []Share{{Service: "stock", Weight: 9}, {Service: "photos", Weight: 1}}},
		},
	}
}

func TestStoreAcceptsOneChangeOnTopOfAVersion(t *testing.T) {
	var s Store
	first := Put{Base: 0, Config: validConfig(5)}
	concurrent := Put{Base: 0, Config: validConfig(7)}
	notAbove := Put{Base: 5, Config: validConfig(5)}
	next := Put{Base: 5, Config: validConfig(9)}
	for _, step := range []struct {
		name    string
		put     Put
		outcome Outcome
		current uint64
	}{
		{"first change", first, OutcomeAccepted, 5},
		{"concurrent change on the same base", concurrent, OutcomeConflict, 5},
		{"first change repeated", first, OutcomeAccepted, 5},
		{"other change whose version is not above the one in force", notAbove, OutcomeInvalid, 5},
		{"next change", next, OutcomeAccepted, 9},
		{"first change repeated after the next change", first, OutcomeAccepted, 9},
		{"concurrent change repeated", concurrent, OutcomeConflict, 9},
	} {
		if reply := s.Apply(step.put); reply.Outcome != step.outcome || reply.Current != step.current {
			t.Errorf("%s: got %+v, want %s with version %d in force", step.name, reply, step.outcome, step.current)
		}
	}
}

func TestStoreRestoresItsHistory(t *testing.T) {
	var s, restored Store
	first := Put{Config: validConfig(5), Document: []byte("first")}
	s.Apply(first)
	s.Apply(Put{Base: 5, Config: validConfig(6), Document: []byte("second")})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if reply := restored.Apply(first); reply.Outcome != OutcomeAccepted || reply.Current != 6 {
		t.Errorf("accepted change repeated after a restore: got %+v", reply)
	}
	if string(restored.Document()) != "second" {
		t.Errorf("document %q, want %q", restored.Document(), "second")
	}
}

func TestValidateRejectsInvalidConfigs(t *testing.T) {
	for name, corrupt := range map[string]func(*Config){
		"unknown service":    func(c *Config) { c.Routes[0].Shares[0].Service = "nobody" },
		"weights of 0":       func(c *Config) { c.Routes[1].Shares[0].Weight, c.Routes[1].Shares[1].Weight = 0, 0 },
		"negative warm-up":   func(c *Config) { c.Services[0].WarmupMillis = -1 },
		"endless warm-up":    func(c *Config) { c.Services[0].WarmupMillis = math.MaxInt64 },
		"warm-up rate":       func(c *Config) { c.Services[0].WarmupPerSecond = -0.5 },
		"odd warm-up rate":   func(c *Config) { c.Services[0].WarmupPerSecond = math.NaN() },
		"negative weight":    func(c *Config) { c.Routes[1].Shares[0].Weight = -1 },
		"empty region":       func(c *Config) { c.Routes[1].AllowedRegions = []string{""} },
		"duplicate region":   func(c *Config) { c.Routes[1].AllowedRegions = []string{"a", "a"} },
		"timeout of 0":       func(c *Config) { c.Routes[0].TimeoutMillis = 0 },
		"objective too high": func(c *Config) { c.Routes[0].TargetMillis = 60_800 },
		"no attempts":        func(c *Config) { c.Routes[0].MaxAttempts = 0 },
		"relative prefix":    func(c *Config) { c.Routes[0].PathPrefix = "orders/" },
		"unknown kind":       func(c *Config) { c.Routes[0].Kind = "" },
		"same match twice":   func(c *Config) { c.Routes[0].PathPrefix = "/orders/" },
		"same name twice":    func(c *Config) { c.Routes[0].Name = "orders" },
		"version of 0":       func(c *Config) { c.Version = 0 },
	} {
		c := validConfig(1)
		corrupt(&c)
		if Validate(c) == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if err := Validate(validConfig(1)); err != nil {
		t.Error(err)
	}
}

// Guards against reasons for a refusal that are not listed, and against other texts of errors than those that operators know.
func TestProblemsListsAllReasons(t *testing.T) {
	c := validConfig(0)
	c.Services = append(c.Services, Service{Name: "stock", WarmMillis: -1, WarmupMillis: -1, WarmupPerSecond: -1, Grants: "mail"}, Service{})
	c.Routes[0] = Route{Name: "orders", Host: "DEPOT.example", PathPrefix: "orders", TargetMillis: -1, AllowedRegions: []string{"a", "a"}, Shares: []Share{{Service: "maps", Weight: -1}, {Service: "stock", Weight: 1}}}
	c.Routes[1].Shares = nil
	c.Routes = append(c.Routes, Route{Name: "last", Host: "depot.example", PathPrefix: "/orders/", Kind: Once, TimeoutMillis: 1, MaxAttempts: 1, Shares: []Share{{Service: "photos", Weight: 1}}})
	want := []string{
		`invalid-version: version is 0`,
		`invalid-service-name: service name "stock" is empty or a duplicate`,
		`invalid-service-limit: service "stock" has a negative limit`,
		`invalid-warmup-time: service "stock" has a warm-up time of -1 ms`,
		`invalid-warmup-rate: service "stock" has -1 requests a second for a cold server`,
		`unknown-grant-mode: service "stock" has the unknown grant mode "mail"`,
		`invalid-service-name: service name "" is empty or a duplicate`,
		`unknown-kind: route "orders": unknown kind ""`,
		`invalid-path-prefix: route "orders": prefix "orders" must begin and end with a slash`,
		`invalid-timeout: route "orders": timeout 0 ms must be positive`,
		`invalid-target: route "orders": latency objective -1 ms is negative or too far above the timeout 0 ms`,
		`invalid-attempts: route "orders": maximum number of attempts 0 must be positive`,
		`invalid-region: route "orders": allowed region "a" is empty or a duplicate`,
		`unknown-service: route "orders": unknown service "maps"`,
		`negative-weight: route "orders": service "maps" has a negative weight`,
		`invalid-route-name: route name "orders" is empty or a duplicate`,
		`no-weight: route "orders": the weights of all shares add up to 0`,
		`same-host-and-prefix: route "last" has the same host and path prefix as another route`,
	}
	var got []string
	for _, p := range Problems(c) {
		got = append(got, strings.TrimSuffix(string(p.Code)+": "+p.Err().Error(), ": "+ErrInvalid.Error()))
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if first := Validate(c); !errors.Is(first, ErrInvalid) || first.Error() != Problems(c)[0].Err().Error() {
		t.Errorf("Validate: %v, want the first problem", first)
	}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(validConfig(1))
	for _, c := range []struct{ host, path, want string }{
		{"depot.example", "/orders/7", "orders"},
		{"DEPOT.example:8080", "/orders/7/8", "orders"},
		{"depot.example", "/orders", "all"},
		{"depot.example", "/", "all"},
		{"other.example", "/orders/7", ""},
		{"depot.example", "", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickerFollowsTheWeights(t *testing.T) {
	var p Picker
	r := &validConfig(1).Routes[1]
	counts := map[string]int{}
	for range 100 {
		counts[p.Pick(1, r)]++
	}
	if counts["stock"] != 90 || counts["photos"] != 10 {
		t.Errorf("weights 9 and 1 distributed 100 requests as %v", counts)
	}
}

// A replica that applies deltas has what the leader's store has, and answers repeated changes like it.
func TestReplicasFollowByDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, replica Store
		for version := uint64(1); version <= 8; version++ {
			p := Put{Base: version - 1, Config: drawConfig(t, version), Document: rapid.SliceOf(rapid.Byte()).Draw(t, "document")}
			for i := range p.Config.Routes {
				p.Config.Routes[i].Kind, p.Config.Routes[i].MaxAttempts = Idempotent, 1
			}
			d, err := leader.Delta(p)
			if err != nil {
				t.Fatal(err)
			}
			if leader.Check(p).Outcome != OutcomeAccepted {
				t.Fatalf("version %d: %+v", version, leader.Check(p))
			}
			for name, s := range map[string]*Store{"leader": &leader, "replica": &replica} {
				for range 2 { // the second time it is a repeated change
					if reply := s.ApplyDelta(d); reply.Outcome != OutcomeAccepted || reply.Current != version {
						t.Fatalf("%s, version %d: got %+v", name, version, reply)
					}
				}
			}
			if rapid.Bool().Draw(t, "restored") {
				image, err := replica.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				replica = Store{}
				if err := replica.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(replica.Current(), p.Config) || !bytes.Equal(replica.Document(), p.Document) {
				t.Fatalf("version %d: the replica has %+v, want %+v", version, replica.Current(), p.Config)
			}
		}
	})
}

func TestDeltaOfAnotherConfigurationChangesNothing(t *testing.T) {
	var s, other Store
	s.Apply(Put{Config: validConfig(5), Document: []byte("five")})
	other.Apply(Put{Config: validConfig(5), Document: []byte("another five")})
	d, err := other.Delta(Put{Base: 5, Config: validConfig(6), Document: []byte("another six")})
	if err != nil {
		t.Fatal(err)
	}
	if reply := s.ApplyDelta(d); reply.Outcome == OutcomeAccepted || s.Current().Version != 5 {
		t.Errorf("a delta from another configuration: got %+v with version %d in force", reply, s.Current().Version)
	}
	d.Base = 4
	if reply := s.ApplyDelta(d); reply.Outcome != OutcomeConflict {
		t.Errorf("a delta from an older version: got %+v, want a conflict", reply)
	}
}

// Guards against two different changes on one version that are both acknowledged, since they decode to the same
// configuration (review/8): the second one would be lost.
func TestChangesThatDecodeAlikeAreDifferent(t *testing.T) {
	first := Put{Config: validConfig(5), Document: []byte(`{"tls":false}`)}
	second := Put{Config: validConfig(5), Document: []byte(`{"tls":true}`)}
	var s, restored Store
	late, err := s.Delta(second)
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(first)
	image, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(image); err != nil {
		t.Fatal(err)
	}
	for name, store := range map[string]*Store{"store": &s, "restored store": &restored} {
		for call, reply := range map[string]PutReply{"Check": store.Check(second), "Apply": store.Apply(second), "ApplyDelta": store.ApplyDelta(late)} {
			if reply.Outcome != OutcomeConflict {
				t.Errorf("%s of the second change by the %s: %+v, want a conflict", call, name, reply)
			}
		}
		if reply := store.Check(first); reply.Outcome != OutcomeAccepted || string(store.Document()) != string(first.Document) {
			t.Errorf("first change sent again to the %s: %+v, with document %s", name, reply, store.Document())
		}
	}
}

// Guards against refusals of changes that an earlier release has accepted, and against acknowledgements of others that look
// like them. Of the change in force the store has what was sent, of the ones before it only a digest of what was decoded.
func TestHistoryOfAnEarlierRelease(t *testing.T) {
	older := Put{Config: validConfig(5), Document: []byte("older")}
	inForce := Put{Base: 5, Config: validConfig(6), Document: []byte("in force")}
	var s Store
	s.Apply(older)
	s.Apply(inForce)
	for i := range s.history {
		s.history[i].Sent = 0
	}
	image, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(image); err != nil {
		t.Fatal(err)
	}
	likeInForce := Put{Base: 5, Config: validConfig(6), Document: []byte("another one")}
	unlike := Put{Config: validConfig(5)}
	unlike.Config.Limits.BodyBytes++
	for name, step := range map[string]struct {
		put  Put
		want Outcome
	}{
		"the change in force": {inForce, OutcomeAccepted}, "one that looks like it": {likeInForce, OutcomeConflict},
		"an older change": {older, OutcomeUnclear}, "one that differs from it": {unlike, OutcomeConflict},
	} {
		if reply := s.Check(step.put); reply.Outcome != step.want {
			t.Errorf("%s: %+v, want %s", name, reply, step.want)
		}
	}
}

// Guards against replicas that disagree on log entries of an earlier release: they hold no digest of what was sent, and a
// change may stand in the log twice.
func TestLogOfAnEarlierRelease(t *testing.T) {
	p := Put{Config: validConfig(5), Document: []byte("first")}
	var s Store
	d, err := s.Delta(p)
	if err != nil {
		t.Fatal(err)
	}
	d.Sent = 0
	for range 2 {
		if reply := s.ApplyDelta(d); reply.Outcome != OutcomeAccepted || reply.Current != 5 {
			t.Errorf("entry without the digest: %+v", reply)
		}
	}
	if reply := s.Check(p); reply.Outcome != OutcomeAccepted {
		t.Errorf("the same change sent again: %+v", reply)
	}
}

// Snapshots of earlier releases hold the decoded configuration and the document.
func TestRestoreOfCompleteSnapshot(t *testing.T) {
	first := Put{Config: validConfig(5), Document: []byte("first")}
	digest, err := digest(first.Config)
	if err != nil {
		t.Fatal(err)
	}
	image, err := cbor.Marshal(Snapshot{Current: &first.Config, Document: first.Document, History: []Accepted{{Version: 5, Digest: digest}}})
	if err != nil {
		t.Fatal(err)
	}
	var s, applied Store
	if err := s.Restore(image); err != nil {
		t.Fatal(err)
	}
	applied.Apply(first)
	if !bytes.Equal(s.encoded, applied.encoded) || string(s.Document()) != "first" || s.Apply(first).Outcome != OutcomeAccepted {
		t.Errorf("restored %+v with document %q", s.Current(), s.Document())
	}
}
