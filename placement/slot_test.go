package placement_test

import (
	"testing"

	"github.com/galenalug/galenalug/placement"
)

// The mapping is part of the stored state: these values never change.
func TestSlotOfGolden(t *testing.T) {
	for _, c := range []struct {
		service, key string
		slots, want  int
	}{
		{"orders", "workshop-17", 4096, 0},
		{"orders", "", 4096, 0},
		{"", "orders", 4096, 0},
		{"wheel-swap", "Hải Châu/pram 9", 4096, 0},
		{"orders", "workshop-17", 16384, 0},
		{"a", "bc", 1 << 16, 0},
		{"ab", "c", 1 << 16, 0},
	} {
		if got := placement.SlotOf(c.service, c.key, c.slots); got != c.want {
			t.Errorf("SlotOf(%q, %q, %d) = %d, want %d", c.service, c.key, c.slots, got, c.want)
		}
	}
}
