package config

import (
	"reflect"
	"testing"

	"github.com/galenalug/galenalug/routes"
)

// A configuration printed by galenactl can be edited and submitted again, so formatting and parsing
// must preserve every field.
func TestRoutesSurviveFormatAndParse(t *testing.T) {
	want := routes.Config{
		Version: 7,
		Routes: []routes.Route{
			{Name: "r1", Host: "a.example", PathPrefix: "/x/", Kind: routes.Once, TimeoutMillis: 800, TargetMillis: 400, Priority: 1, MaxAttempts: 2, Shares: []routes.Share{{Service: "s1", Weight: 1}}},
			{Name: "r2", Host: "a.example", PathPrefix: "/y/", Kind: routes.Idempotent, TimeoutMillis: 1200, MaxAttempts: 1, Shares: []routes.Share{{Service: "s1", Weight: 0}, {Service: "s2", Weight: 10}}},
			{Name: "r3", Host: "b.example", PathPrefix: "/", Kind: routes.Upload, TimeoutMillis: 1200, MaxAttempts: 1, AllowedRegions: []string{"sudo", "dar"}, Shares: []routes.Share{{Service: "s2", Weight: 4}}},
		},
		Services: []routes.Service{
			{Name: "s1", HealthPath: "/health", MaxConnections: 110, Keyed: true, WarmMillis: 2000, WarmupMillis: 3000, WarmupPerSecond: 5.5},
			{Name: "s2"},
		},
		Limits: routes.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderMillis: 3000, IdleMillis: 15000},
	}
	text, err := FormatRoutes(want)
	if err != nil {
		t.Fatal(err)
	}
	put, err := ParseRoutes("text", text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(put.Config, want) {
		t.Errorf("got  %+v\nwant %+v\n%s", put.Config, want, text)
	}
	if put.Base != want.Version {
		t.Errorf("base %d, want the version in force, %d", put.Base, want.Version)
	}
}
