package placement_test

import (
	"testing"

	"github.com/galenalug/galenalug/placement"
)

// The mapping is part of the stored state, so these values must never change.
func TestSlotOfGolden(t *testing.T) {
	for _, c := range []struct {
		service, key string
		slots, want  int
	}{
		{"orders", "workshop-17", 4096, 3278},
		{"orders", "", 4096, 1401},
		{"", "orders", 4096, 552},
		{"wheel-swap", "Hải Châu/pram 9", 4096, 3468},
		{"orders", "workshop-17", 16384, 15566},
		{"a", "bc", 1 << 16, 34471},
		{"ab", "c", 1 << 16, 21773},
	} {
		if got := placement.SlotOf(c.service, c.key, c.slots); got != c.want {
			t.Errorf("SlotOf(%q, %q, %d) = %d, want %d", c.service, c.key, c.slots, got, c.want)
		}
	}
}
