package keyrange

import (
	"testing"
	"time"
)

// Guards against a leave without a start time that marks each later process of the server as leaving, so that it gets no
// requests: the leader passes all recorded leaves on again and again.
func TestLeaveWithoutStartConcernsNoLaterProcess(t *testing.T) {
	const second = 1000 // milliseconds
	for _, known := range []bool{true, false} {
		c := New(Options{Term: 1, Keys: 16, Lease: 4 * time.Second, DrainPeriod: time.Second, HeartbeatTimeout: 4 * time.Second})
		c.SetServices([]KeyedService{{Name: testService}})
		now := time.Minute
		beat := func(startMillis int64) {
			c.Heartbeat(now, Heartbeat{Server: Server{ID: "s1", Service: testService, Address: "10.0.0.1:80", Slots: 4, StartMillis: startMillis}, Sequence: 1})
		}
		draining := func() bool { return c.servers["s1"] != nil && c.servers["s1"].info.Draining }
		if known {
			beat(second)
		}
		leave := c.NameProcess(Leave{ID: "s1", ReceivedMillis: 5 * second})
		c.Leave(now, leave)
		if known && !draining() {
			t.Error("the process that sent the message is not leaving")
		}
		beat(9 * second)
		c.Leave(now, leave)
		if draining() {
			t.Errorf("a later process is leaving; earlier one known to the leader: %v", known)
		}
	}
}

// Guards against a leave without a start time that is lost, because a new leader does not know the process yet.
func TestLeaveOfUnknownProcessConcernsItOnceItIsHeard(t *testing.T) {
	c := New(Options{Term: 1, Keys: 16, Lease: 4 * time.Second, DrainPeriod: time.Second, HeartbeatTimeout: 4 * time.Second})
	c.SetServices([]KeyedService{{Name: testService}})
	leave := c.NameProcess(Leave{ID: "s1", ReceivedMillis: 5000})
	c.Heartbeat(time.Minute, Heartbeat{Server: Server{ID: "s1", Service: testService, Address: "10.0.0.1:80", Slots: 4, StartMillis: 1000}, Sequence: 1})
	c.Leave(time.Minute, leave)
	if !c.servers["s1"].info.Draining {
		t.Error("the process is not leaving, though its message was acknowledged")
	}
}
