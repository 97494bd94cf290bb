package routecheck

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/routes"
)

// TestReports compares reports with golden output. The command in-force sets the configuration in force, servers the servers
// as "SERVICE REGION SLOTS..." with a line for each service and region, and check prints the report on a configuration.
// Arguments of check: json, findings (differences are not printed), alone (nothing is known), wait (ms), memory (bytes).
func TestReports(t *testing.T) {
	datadriven.Walk(t, "testdata/reports", func(t *testing.T, path string) {
		var in Input
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "in-force":
				current := decode(t, d.Input).Config
				in.Current = &current
			case "servers":
				in.Fleet = Fleet{ServersKnown: true, Servers: parseServers(t, d.Input)}
			case "check":
				return check(t, d, in)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func check(t *testing.T, d *datadriven.TestData, in Input) string {
	put := decode(t, d.Input)
	if d.HasArg("alone") {
		in = Input{}
	}
	in.Config, in.Base = put.Config, put.Base
	d.MaybeScanArgs(t, "wait", &in.Fleet.ClientWaitMillis)
	d.MaybeScanArgs(t, "memory", &in.Fleet.HostMemoryBytes)
	report := Check(in)
	if d.HasArg("findings") {
		report.InForce = nil
	}
	var text strings.Builder
	write := report.WriteText
	if d.HasArg("json") {
		write = report.WriteJSON
	}
	if err := write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func decode(t *testing.T, text string) routes.Put {
	t.Helper()
	put, err := config.DecodeRoutes([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return put
}

func parseServers(t *testing.T, text string) []Server {
	var list []Server
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		for _, slots := range fields[2:] {
			list = append(list, Server{fields[0], fields[1], int64(len(slots))})
		}
	}
	return list
}

// drawConfig draws a configuration that may be invalid.
func drawConfig(t *rapid.T) routes.Config {
	c := routes.Config{Version: rapid.Uint64Range(0, 4).Draw(t, "version"), Routes: []routes.Route{}}
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	for range rapid.IntRange(1, 2).Draw(t, "services") {
		c.Services = append(c.Services, routes.Service{Name: names.Draw(t, "service"), Keyed: rapid.Bool().Draw(t, "keyed")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		r := routes.Route{
			Name: names.Draw(t, "route"), Host: names.Draw(t, "host"), PathPrefix: rapid.SampledFrom([]string{"/", "/x/", "/x/y/"}).Draw(t, "prefix"),
			Kind: rapid.SampledFrom([]routes.Kind{routes.Idempotent, routes.Once}).Draw(t, "kind"), TimeoutMillis: 9, MaxAttempts: rapid.Int64Range(1, 2).Draw(t, "attempts"),
		}
		for range rapid.IntRange(1, 2).Draw(t, "shares") {
			r.Shares = append(r.Shares, routes.Share{Service: c.Services[0].Name, Weight: rapid.SampledFrom([]int64{0, 1, 2}).Draw(t, "weight")})
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// Guards against errors for configurations that control hosts accept, and against refusals without an error.
func TestErrorsAreRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawConfig(t)
		var store routes.Store
		if store.Apply(routes.Put{Config: first}).Outcome != routes.OutcomeAccepted {
			return
		}
		put := routes.Put{Base: rapid.Uint64Range(0, 4).Draw(t, "base"), Config: drawConfig(t)}
		report := Check(Input{Config: put.Config, Base: put.Base, Current: &first})
		if put.Config.Version == first.Version && len(report.Differences) == 0 {
			return // in force already
		}
		refused := store.Check(put).Outcome != routes.OutcomeAccepted
		if refused != (report.Count(Error) > 0) {
			t.Fatalf("refused: %t, but the findings are %+v", refused, report.Findings)
		}
	})
}

// Guards against reports that depend on the order of entries, which has no meaning.
func TestOrderOfEntriesHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfig(t), drawConfig(t)
		if routes.Validate(before) != nil || routes.Validate(after) != nil {
			return
		}
		in := Input{Config: after, Current: &before, Fleet: Fleet{ServersKnown: true, Servers: []Server{{"a", "r", 1}, {"b", "r", 1}, {"a", "r", 2}}}}
		want := Check(in)
		for _, list := range []*routes.Config{&before, &after} {
			list.Routes, list.Services = slices.Clone(list.Routes), slices.Clone(list.Services)
			slices.Reverse(list.Routes)
			slices.Reverse(list.Services)
		}
		in.Config = after
		slices.Reverse(in.Fleet.Servers)
		if got := Check(in); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
