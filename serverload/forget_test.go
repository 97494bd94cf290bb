package serverload

import (
	"testing"
	"time"
)

// Guards against gateways that go on with the learned speed of a server that the leader has forgotten, and against a
// leader that forgets a server, and knows its old speed when it is back.
func TestSpeedIsForgottenByLeaderAndGateways(t *testing.T) {
	var tracker Tracker
	var view View
	now := time.Second
	run := func(until time.Duration, ids ...string) {
		for ; now < until; now += 500 * time.Millisecond {
			for _, id := range ids {
				tracker.Observe(now, Observation{ServerID: id, Slots: 6, Reported: true, Samples: 3, SpeedSum: 3})
			}
			if d, due := tracker.Changes(now, 10); due {
				if err := view.Apply(now, d); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	speed := func(id string) float64 { return view.Server(Hash(id)).Speed }
	run(10*time.Second, "silent", "busy")
	run(60*time.Second, "busy")
	if speed("silent") < 1.5 || speed("busy") < 1.5 {
		t.Errorf("speeds %.2f and %.2f before a minute without news, want about 2", speed("silent"), speed("busy"))
	}
	run(72*time.Second, "busy")
	if speed("silent") != 0 || speed("busy") < 1.5 || len(view.servers) != 1 || len(tracker.servers) != 1 {
		t.Errorf("speeds %.2f and %.2f, want the first one forgotten; %d servers in the view, %d in the tracker",
			speed("silent"), speed("busy"), len(view.servers), len(tracker.servers))
	}
	if view.Expire(now+serverMemory-time.Second) || !view.Expire(now+serverMemory+time.Second) || speed("busy") != 0 {
		t.Error("without digests the view does not expire after a minute")
	}
}
