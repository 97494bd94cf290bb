package fleet

import (
	"testing"
	"time"
)

// With more gateways, updates get less frequent so that their total rate stays limited.
func TestPublishIntervalGrowsWithGateways(t *testing.T) {
	for _, c := range []struct {
		gateways int
		want     time.Duration
	}{
		{0, 20 * time.Millisecond},
		{10, 20 * time.Millisecond},
		{75, 50 * time.Millisecond},
		{440, 100 * time.Millisecond},
	} {
		if got := publishInterval(c.gateways); got != c.want {
			t.Errorf("publish interval for %d gateways: got %v, want %v", c.gateways, got, c.want)
		}
	}
}
