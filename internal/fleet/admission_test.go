package fleet

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against a host that goes on reporting the limits of its last plan after it has lost the leadership.
func TestFormerLeaderReportsNoLimitedGroups(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	leader.metrics.limitedGroups.Set(3)
	leader.onLeader(false, 0)
	if got := testutil.ToFloat64(leader.metrics.limitedGroups); got != 0 {
		t.Errorf("%v limited groups reported by a host that does not lead, want 0", got)
	}
}
