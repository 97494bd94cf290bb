package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/serverload"
	"github.com/galenalug/galenalug/warmup"
)

// Guards against a gateway that prefers or avoids a server by a speed that the leader has forgotten, learned from digests
// or from its own requests.
func TestSpeedIsForgottenAfterAMinute(t *testing.T) {
	b := newBackends(backendOptions{digestBytes: prometheus.NewCounter(prometheus.CounterOpts{Name: "bytes"})})
	b.byWork = true
	shared, own := b.get(keyrange.Server{ID: "shared"}), b.get(keyrange.Server{ID: "own"})
	now := time.Hour
	body, err := cbor.Marshal(serverload.Digest{Speeds: []byte{0, 0, 0, 0, 8}})
	if err != nil {
		t.Fatal(err)
	}
	shared.hash, own.newsAt = 0, now
	b.costs.observe(cost.Class{Service: "s", Route: "r"}, &own.speed, time.Second, 100*time.Millisecond, warmup.Warm)
	b.applyDigest(now, body)
	for _, after := range []time.Duration{59 * time.Second, 61 * time.Second} {
		b.sweep(now+after, func(string) bool { return true })
		if known := after < time.Minute; (shared.factor != 1) != known || (own.factor != 1) != known {
			t.Errorf("speeds %.2f and %.2f after %v without news, want 1 from a minute on", shared.factor, own.factor, after)
		}
	}
}
