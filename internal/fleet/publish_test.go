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

// Guards against gateways that take themselves for one of few, and so use too many connections and retries: the
// table that is kept for all that subscribe names their number. Also guards against one that states warm-ups for long.
func TestKeptTableNamesTheNumberOfGateways(t *testing.T) {
	kept := fullTable{version: 3, gateways: 100, body: []byte{0}}
	for gateways, want := range map[int]bool{1: false, 80: false, 95: true, 100: true, 110: true, 120: false, 195: false} {
		if got := kept.current(3, gateways); got != want {
			t.Errorf("%d gateways: kept table current %v, want %v", gateways, got, want)
		}
	}
	if kept.current(4, 100) || (fullTable{}).current(0, 0) {
		t.Error("a table of another version, or none, counts as current")
	}
	if counting := (fullTable{encodedAt: time.Second}); !counting.outdated(2*time.Second) || kept.outdated(time.Hour) {
		t.Error("want a table outdated after a second that states warm-ups, and no other")
	}
}
