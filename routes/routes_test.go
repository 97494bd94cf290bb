package routes

import (
	"testing"
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
		"negative weight":    func(c *Config) { c.Routes[1].Shares[0].Weight = -1 },
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
