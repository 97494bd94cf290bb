package routes

import (
	"slices"
	"testing"
)

// Guards against keys at servers to which one of the routes of their service may send nothing.
func TestRegionsOfServiceAreAllowedByAllItsRoutes(t *testing.T) {
	share := []Share{{Service: "stock", Weight: 0}, {Service: "other", Weight: 1}}
	for _, c := range []struct {
		routes     []Route
		want       []string
		restricted bool
	}{
		{[]Route{{Shares: share}}, nil, false},
		{[]Route{{Shares: share}, {Shares: share, AllowedRegions: []string{"a", "b"}}}, []string{"a", "b"}, true},
		{[]Route{{Shares: share, AllowedRegions: []string{"a", "b"}}, {Shares: share, AllowedRegions: []string{"b", "c"}}}, []string{"b"}, true},
		{[]Route{{Shares: share, AllowedRegions: []string{"a"}}, {Shares: share, AllowedRegions: []string{"b"}}}, nil, true},
		{[]Route{{Shares: share[1:], AllowedRegions: []string{"a"}}}, nil, false},
	} {
		got, restricted := Config{Routes: c.routes}.RegionsOfService("stock")
		if !slices.Equal(got, c.want) || restricted != c.restricted {
			t.Errorf("%+v: got %v, restricted %v; want %v, %v", c.routes, got, restricted, c.want, c.restricted)
		}
	}
}
