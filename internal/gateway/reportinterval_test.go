package gateway

import (
	"testing"
	"time"
)

// Guards against a leader that the reports of hundreds of gateways keep busy (issue 34, large): their rate grew with
// their number.
func TestReportsOfAllGatewaysAreLimited(t *testing.T) {
	for _, c := range []struct {
		gateways int64
		want     time.Duration
	}{
		{0, reportInterval},
		{87, reportInterval},
		{195, 487500 * time.Microsecond},
		{440, 1100 * time.Millisecond},
	} {
		if got := intervalFor(c.gateways, reportInterval); got != c.want {
			t.Errorf("interval of load reports of %d gateways: %v, want %v", c.gateways, got, c.want)
		}
	}
}
