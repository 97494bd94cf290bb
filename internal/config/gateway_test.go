package config

import (
	"strings"
	"testing"
)

const fleetText = "{name: c1, domain: d1, ip: 127.0.0.1, peer_port: 1, admin_port: 2, seeds: ['127.0.0.1:3'], " +
	"control_listen: '127.0.0.1:4', data_dir: data, open_network: true"

// Guards against control hosts that do not start on a platform without a bound for evacuations, and against a bound that they
// could not keep.
func TestEvacuationSettings(t *testing.T) {
	for _, c := range []struct{ added, problem string }{
		{"", ""},
		{", evacuate_ms: ", ""},
		{", evacuate_ms: 0", ""},
		{", evacuate_ms: 5000.5, domains: {d1: r1}", ""},
		{", evacuate_ms: 5000", "domains: must be set"},
		{", evacuate_ms: 2000, domains: {d1: r1}", "evacuate_ms: is 2000; must be 0 or at least config_apply_ms, 2500"},
		{", evacuate_ms: soon", "evacuate_ms: is a string"},
	} {
		err := CheckText(KindFleet, "settings", []byte(fleetText+c.added+"}"))
		if c.problem == "" && err != nil || c.problem != "" && (err == nil || !strings.Contains(err.Error(), c.problem)) {
			t.Errorf("%q: %v, want %q", c.added, err, c.problem)
		}
	}
}
